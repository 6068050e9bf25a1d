//! A hash of the whole content that is updated with each changed key.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// A SHA-256 digest is four lanes of 64 bits.
const LANES: usize = 4;
const LANE_BYTES: usize = 8;

/// The lane-wise wrapping sum of the SHA-256 digests of all pairs of key and value.
///
/// An update takes time independent of the size of the content. Contents that differ by accident or fault
/// differ in their hash. It is no protection against a holder of the fleet's key, who may send any content:
/// datagrams are authenticated by that key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ContentHash([u64; LANES]);

impl ContentHash {
    /// The digest of a pair; the length of the key separates it from the value.
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

    /// Adds a pair that is not in the content yet.
    pub(crate) fn add(&mut self, key: &str, value: &str) {
        for (lane, added) in self.0.iter_mut().zip(Self::of_pair(key, value)) {
            *lane = lane.wrapping_add(added);
        }
    }

    /// Removes a pair that is in the content.
    pub(crate) fn remove(&mut self, key: &str, value: &str) {
        for (lane, removed) in self.0.iter_mut().zip(Self::of_pair(key, value)) {
            *lane = lane.wrapping_sub(removed);
        }
    }
}
