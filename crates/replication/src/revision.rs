//! Positions in the log, and revisions, which are positions with the hash of the configuration there.

use crate::content_hash::ContentHash;
use serde::{Deserialize, Serialize};

/// A position in the log. Positions are compared by epoch first, then by number. Of several logs, the one
/// with the highest last position is the most advanced.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Position {
    /// Epoch of the leader that created the entry: the ballot in Paxos, the term in Raft. Never decreases
    /// from one entry to the next.
    pub epoch: u64,
    /// Number of the entry: 1 for the first, and one more for each further entry. The index in Raft.
    pub number: u64,
}

/// A position in the log with the hash of the configuration at that position.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Revision {
    /// Position in the log.
    pub position: Position,
    /// Hash of the configuration's content after all entries up to and including the position.
    pub hash: ContentHash,
}

impl Revision {
    /// Number of the position.
    pub fn number(&self) -> u64 {
        self.position.number
    }
}
