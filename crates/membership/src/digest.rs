//! Digest of a view: the members are divided into 64 buckets, and each bucket is hashed. By comparing
//! digests, two members find the buckets in which their views differ without sending the members themselves.

use crate::MemberId;
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};

/// Number of buckets in a digest. A set of buckets is represented by the bits of a `u64`.
pub const BUCKETS: usize = 64;

/// Bucket of a member. The bucket depends only on the address, so that all incarnations of a member are in
/// the same bucket.
pub fn bucket(id: &MemberId) -> usize {
    let mut hasher = SipHasher13::new();
    id.addr.hash(&mut hasher);
    (hasher.finish() % BUCKETS as u64) as usize
}

/// Whether the bucket of a member is in the set `buckets`.
pub fn is_in_buckets(buckets: u64, id: &MemberId) -> bool {
    buckets & (1 << bucket(id)) != 0
}

/// Hash of a member in one incarnation.
fn hash(id: &MemberId) -> u32 {
    let mut hasher = SipHasher13::new();
    (id.addr, id.incarnation).hash(&mut hasher);
    hasher.finish() as u32
}

/// Computes the digest of a view. The hash of each bucket is the exclusive or of the hashes of its members,
/// so that their order does not matter.
pub fn digest<'a>(members: impl Iterator<Item = &'a MemberId>) -> Vec<u32> {
    let mut hashes = vec![0; BUCKETS];
    for id in members {
        hashes[bucket(id)] ^= hash(id);
    }
    hashes
}

/// Returns the set of buckets in which two digests differ.
pub fn differing_buckets(ours: &[u32], theirs: &[u32]) -> u64 {
    let mut buckets = 0;
    for bucket in 0..BUCKETS {
        if ours.get(bucket) != theirs.get(bucket) {
            buckets |= 1 << bucket;
        }
    }
    buckets
}
