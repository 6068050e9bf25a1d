//! The digest of a view: a hash for each of 64 buckets of members, by which two members find out in which
//! buckets their views differ without sending them.

use crate::MemberId;
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};

/// Buckets of a digest; a bit of a `u64` stands for each.
pub const BUCKETS: usize = 64;

/// The bucket of a member, by its address alone: all incarnations of a member are in the same one.
pub fn bucket(id: &MemberId) -> usize {
    let mut hasher = SipHasher13::new();
    id.addr.hash(&mut hasher);
    (hasher.finish() % BUCKETS as u64) as usize
}

/// Whether the bit of a member's bucket is set in `buckets`.
pub fn is_in(buckets: u64, id: &MemberId) -> bool {
    buckets & (1 << bucket(id)) != 0
}

/// The hash of one member in one incarnation.
fn hash(id: &MemberId) -> u32 {
    let mut hasher = SipHasher13::new();
    (id.addr, id.incarnation).hash(&mut hasher);
    hasher.finish() as u32
}

/// The digest of a view: for each bucket the exclusive or of its members' hashes, so that their order does
/// not matter.
pub fn digest<'a>(members: impl Iterator<Item = &'a MemberId>) -> Vec<u32> {
    let mut hashes = vec![0; BUCKETS];
    for id in members {
        hashes[bucket(id)] ^= hash(id);
    }
    hashes
}

/// A bit for each bucket in which two digests differ.
pub fn differing_buckets(ours: &[u32], theirs: &[u32]) -> u64 {
    let mut buckets = 0;
    for bucket in 0..BUCKETS {
        if ours.get(bucket) != theirs.get(bucket) {
            buckets |= 1 << bucket;
        }
    }
    buckets
}
