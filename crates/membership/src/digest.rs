//! The digest of a member's view of the fleet. The members in the view are divided into 64 buckets, and the
//! digest has one hash per bucket. Two members compare their digests to find the buckets in which their views
//! differ, without sending the members themselves.

use crate::MemberId;
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};

/// Number of buckets in a digest. A set of buckets is represented by the bits of a `u64`: bit `n` stands for
/// bucket `n`.
pub const BUCKETS: usize = 64;

/// Returns the index of the bucket that contains a member. The index depends only on the member's address, so
/// all incarnations of a member are in the same bucket.
pub fn bucket(id: &MemberId) -> usize {
    let mut hasher = SipHasher13::new();
    id.addr.hash(&mut hasher);
    (hasher.finish() % BUCKETS as u64) as usize
}

/// Returns true if the bucket of the member `id` is in the set `buckets`. Bit `n` of `buckets` stands for
/// bucket `n`.
pub fn is_in_buckets(buckets: u64, id: &MemberId) -> bool {
    buckets & (1 << bucket(id)) != 0
}

/// Hashes a member's address and incarnation. The digest of a view combines these hashes, so a member's new
/// incarnation changes the digest.
fn hash(id: &MemberId) -> u32 {
    let mut hasher = SipHasher13::new();
    (id.addr, id.incarnation).hash(&mut hasher);
    hasher.finish() as u32
}

/// Computes the digest of a view: one hash per bucket. A bucket's hash combines the hashes of its members by
/// exclusive or, so the order of the members does not affect the digest.
pub fn digest<'a>(members: impl Iterator<Item = &'a MemberId>) -> Vec<u32> {
    let mut hashes = vec![0; BUCKETS];
    for id in members {
        hashes[bucket(id)] ^= hash(id);
    }
    hashes
}

/// Returns the set of buckets whose hashes differ between two digests, as a bit set.
pub fn differing_buckets(ours: &[u32], theirs: &[u32]) -> u64 {
    let mut buckets = 0;
    for bucket in 0..BUCKETS {
        if ours.get(bucket) != theirs.get(bucket) {
            buckets |= 1 << bucket;
        }
    }
    buckets
}
