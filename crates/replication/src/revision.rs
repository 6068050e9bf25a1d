//! Positions in the log, and the content at a position.

use crate::content_hash::ContentHash;
use serde::{Deserialize, Serialize};

/// A position in the log. Positions compare by epoch first: the log whose last position is highest is the
/// furthest one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Position {
    /// That of the leader that made the entry: the ballot of Paxos, the term of Raft. It never falls along
    /// the log.
    pub epoch: u64,
    /// Rises by one from entry to entry, from 1: the index of Raft.
    pub number: u64,
}

/// A position and the content there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Revision {
    /// Where in the log.
    pub position: Position,
    /// Of the content after all entries up to the position.
    pub hash: ContentHash,
}

impl Revision {
    /// The number of its position.
    pub fn number(&self) -> u64 {
        self.position.number
    }
}
