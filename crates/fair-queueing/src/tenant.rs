//! Names of tenants, and the fingerprints (keyed hashes of names) that identify tenants internally.

use siphasher::sip128::{Hasher128, SipHasher13};
use std::hash::Hasher;

/// A tenant's name, as sent in invocations, and the tenant's weight. The weight is greater than 0, and a
/// tenant's share is proportional to its weight.
pub type NamedTenant = (Vec<u8>, f64);

/// A 128-bit keyed hash of a tenant's name, which identifies the tenant internally. The bits of the hash are
/// uniform and independent. Each data structure can therefore use a different range of bits as its own hash.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Returns bits 0 to 63 of the fingerprint.
    pub fn low_half(self) -> u64 {
        self.0 as u64
    }

    /// Returns bits 32 to 95 of the fingerprint.
    pub fn middle_half(self) -> u64 {
        (self.0 >> 32) as u64
    }

    /// Returns bits 64 to 127 of the fingerprint.
    pub fn high_half(self) -> u64 {
        (self.0 >> 64) as u64
    }
}

/// Identifies the sender of an invocation by two values: the tenant's name and the origin.
#[derive(Clone, Copy, Debug)]
pub struct TenantKey<'a> {
    /// Name of the tenant, as sent in the invocation. The name is not trustworthy, since a sender can invent
    /// names.
    pub name: &'a [u8],
    /// Origin of the invocation: the peer of the connection, or a sender that the operator trusts. A sender
    /// cannot forge its origin.
    pub origin: u64,
}

/// Secret key for computing the fingerprints of tenant names. A sender that does not know the key cannot
/// construct names whose fingerprints collide. Each process has its own key.
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

    /// Returns the fingerprint of a tenant name.
    pub fn fingerprint(&self, name: &[u8]) -> Fingerprint {
        let mut hasher = SipHasher13::new_with_keys(self.first, self.second);
        hasher.write(name);
        Fingerprint(hasher.finish128().as_u128())
    }
}
