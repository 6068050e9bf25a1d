//! Hash of the whole configuration. When a key changes, the hash is updated without hashing the other keys
//! again.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Number of 64-bit parts (lanes) into which a SHA-256 digest is divided.
const LANES: usize = 4;
const LANE_BYTES: usize = 8;

/// Hash of the configuration's content: the sum of the SHA-256 digests of all key-value pairs. The digests
/// are added in 64-bit lanes, with wrap-around.
///
/// The time to update the hash does not depend on the size of the configuration. The hash detects contents
/// that differ by accident or through a fault. It does not protect against an attacker who holds the fleet's
/// key: the key authenticates datagrams, so an attacker who holds it can send any content.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ContentHash([u64; LANES]);

impl ContentHash {
    /// Returns the SHA-256 digest of a key-value pair. The length of the key is hashed too. Without the
    /// length, two pairs with the same concatenation of key and value would have the same digest.
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

    /// Updates the hash after a key-value pair is added to the configuration.
    pub(crate) fn add(&mut self, key: &str, value: &str) {
        for (lane, added) in self.0.iter_mut().zip(Self::of_pair(key, value)) {
            *lane = lane.wrapping_add(added);
        }
    }

    /// Updates the hash after a key-value pair is removed from the configuration. The pair must have been
    /// added before.
    pub(crate) fn remove(&mut self, key: &str, value: &str) {
        for (lane, removed) in self.0.iter_mut().zip(Self::of_pair(key, value)) {
            *lane = lane.wrapping_sub(removed);
        }
    }
}
