//! A hash of the whole configuration that is updated incrementally with each changed key.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Number of 64-bit lanes in a SHA-256 digest.
const LANES: usize = 4;
const LANE_BYTES: usize = 8;

/// Lane-wise wrapping sum of the SHA-256 digests of all key-value pairs.
///
/// The time of an update does not depend on the size of the content. The hash detects contents that differ by
/// accident or through a fault. It does not protect against an attacker who holds the fleet's key: that key
/// authenticates datagrams, so its holder can send any content.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ContentHash([u64; LANES]);

impl ContentHash {
    /// Digest of a pair. The hashed length of the key separates key and value unambiguously.
    fn of_pair(key: &str, value: &str) -> [u64; LANES] {
        let mut hasher = Sha256::new();
        hasher.update((key.len() as u64).to_le_bytes());
        hasher.update(key);
        hasher.update(value);
        let digest = hasher.finalize();
        std::array::from_fn(|lane| {
            let start = lane * LANE_BYTES;
            let bytes = digest[start..start + LANE_BYTES].try_into();
            u64::from_le_bytes(bytes.expect("a lane is a slice of 8 bytes"))
        })
    }

    /// Updates the hash for a pair added to the content.
    pub(crate) fn add(&mut self, key: &str, value: &str) {
        for (lane, added) in self.0.iter_mut().zip(Self::of_pair(key, value)) {
            *lane = lane.wrapping_add(added);
        }
    }

    /// Updates the hash for a pair removed from the content. The pair must have been added before.
    pub(crate) fn remove(&mut self, key: &str, value: &str) {
        for (lane, removed) in self.0.iter_mut().zip(Self::of_pair(key, value)) {
            *lane = lane.wrapping_sub(removed);
        }
    }
}
