//! Names of tenants and the fingerprints that replace them internally.

use siphasher::sip128::{Hasher128, SipHasher13};
use std::hash::Hasher;

/// A tenant's name as sent in invocations, and its weight, a ratio greater than 0.
pub type NamedTenant = (Vec<u8>, f64);

/// A 128-bit keyed hash of a tenant's name, used instead of the name. The bits are uniform and independent,
/// so each data structure can use a different part of them as its own hash.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Returns bits 0 to 63.
    pub fn low_half(self) -> u64 {
        self.0 as u64
    }

    /// Returns bits 32 to 95.
    pub fn middle_half(self) -> u64 {
        (self.0 >> 32) as u64
    }

    /// Returns bits 64 to 127.
    pub fn high_half(self) -> u64 {
        (self.0 >> 64) as u64
    }
}

/// The tenant and origin of an invocation.
#[derive(Clone, Copy, Debug)]
pub struct TenantKey<'a> {
    /// Name of the tenant as sent in the invocation. A sender can invent it.
    pub name: &'a [u8],
    /// Origin of the invocation. A sender cannot forge it.
    pub origin: u64,
}

/// Key of the fingerprints of one process. The key is secret, so that a sender cannot construct names whose
/// fingerprints collide.
#[derive(Clone, Copy, Debug)]
pub struct FingerprintKey {
    first: u64,
    second: u64,
}

impl FingerprintKey {
    /// Derives a key from a seed.
    pub fn new(seed: u64) -> Self {
        Self { first: seed, second: !seed.rotate_left(17) }
    }

    /// Returns the fingerprint of a name.
    pub fn fingerprint(&self, name: &[u8]) -> Fingerprint {
        let mut hasher = SipHasher13::new_with_keys(self.first, self.second);
        hasher.write(name);
        Fingerprint(hasher.finish128().as_u128())
    }
}
