//! Names of tenants and what stands for them.

use siphasher::sip128::{Hasher128, SipHasher13};
use std::hash::Hasher;

/// A tenant's name as it stands in calls, and its weight: a ratio above 0.
pub type NamedTenant = (Vec<u8>, f64);

/// 128 bits of a keyed hash of a name, which stand for the name whatever its length. The bits are uniform and
/// independent, so each structure uses those parts that it needs as hashes of its own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Bits 0 to 63.
    pub fn low_half(self) -> u64 {
        self.0 as u64
    }

    /// Bits 32 to 95.
    pub fn middle_half(self) -> u64 {
        (self.0 >> 32) as u64
    }

    /// Bits 64 to 127.
    pub fn high_half(self) -> u64 {
        (self.0 >> 64) as u64
    }
}

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
        Fingerprint(hasher.finish128().as_u128())
    }
}
