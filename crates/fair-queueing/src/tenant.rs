//! Names of tenants and what stands for them.

use siphasher::sip128::{Hasher128, SipHasher13};
use std::hash::Hasher;

/// A tenant's name as it stands in calls, and its weight: a ratio above 0.
pub type NamedTenant = (Vec<u8>, f64);

/// 128 bits of a keyed hash, which stand for a name whatever its length.
pub type Fingerprint = u128;

/// Who sends an invocation.
#[derive(Clone, Copy, Debug)]
pub struct TenantKey<'a> {
    /// The tenant's name as it stands in the call; a sender may make it up.
    pub name: &'a [u8],
    /// Where the call comes from, which a sender cannot make up.
    pub origin: u64,
}

/// Key of the fingerprints of one process, so that nobody can make up names whose fingerprints collide.
#[derive(Clone, Copy, Debug)]
pub struct FingerprintKey {
    first: u64,
    second: u64,
}

impl FingerprintKey {
    /// The key of a seed.
    pub fn new(seed: u64) -> Self {
        Self { first: seed, second: !seed.rotate_left(17) }
    }

    /// The fingerprint of a name.
    pub fn fingerprint(&self, name: &[u8]) -> Fingerprint {
        let mut hasher = SipHasher13::new_with_keys(self.first, self.second);
        hasher.write(name);
        hasher.finish128().as_u128()
    }
}
