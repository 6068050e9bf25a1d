//! Positions in the replicated log, and revisions. A revision is a position together with the hash of the
//! configuration at this position.

use crate::content_hash::ContentHash;
use serde::{Deserialize, Serialize};

/// A position in the replicated log. Positions are compared by epoch first, then by number. The most advanced
/// of several logs is the one whose last entry has the highest position.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Position {
    /// Epoch of the leader that created the entry (the ballot in Paxos, the term in Raft). Epochs never
    /// decrease from one entry to the next.
    pub epoch: u64,
    /// Number of the entry in the log (the index in Raft). The first entry has number 1, and each further
    /// entry the next number.
    pub number: u64,
}

/// A position in the replicated log, together with the hash of the configuration at this position.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Revision {
    /// Position in the log.
    pub position: Position,
    /// Hash of the configuration after all entries up to and including this position.
    pub hash: ContentHash,
}

impl Revision {
    /// Returns the entry number of this revision's position.
    pub fn number(&self) -> u64 {
        self.position.number
    }
}
