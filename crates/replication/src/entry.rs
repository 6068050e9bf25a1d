//! Entries of the log. An entry fits into one datagram; a larger change is split over several entries.

use crate::change::Change;
use crate::revision::{Position, Revision};
use serde::{Deserialize, Serialize};

/// Maximum number of parts in which an operator may submit a change. The number of log entries of a change is
/// not limited by this, because the leader splits the change again.
pub const PARTS_MAX: u32 = 96;
/// Longest encoded entry, in bytes.
pub const ENTRY_BYTES_MAX: usize = 900;
/// Longest encoding of a 64-bit integer, in bytes.
const INTEGER_BYTES_MAX: usize = 10;
/// Number of integers at the start of an entry: epoch, number, and four lanes of the hash.
const HEAD_INTEGERS: usize = 6;

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position of the entry, and the hash of the configuration after the entry is applied.
    pub revision: Revision,
    /// The changes to keys, in the order in which they are applied.
    pub changes: Vec<Change>,
    /// Whether further entries of the same change follow. A partial entry does not take effect by itself.
    pub partial: bool,
}

impl Entry {
    /// Number of the entry in the log.
    pub fn number(&self) -> u64 {
        self.revision.position.number
    }

    /// Position of the entry in the log.
    pub fn position(&self) -> Position {
        self.revision.position
    }

    /// Encoded size of the entry, in bytes.
    pub fn size(&self) -> usize {
        postcard::experimental::serialized_size(self).unwrap_or(usize::MAX)
    }

    /// Whether the size of the entry and all its changes are within their bounds.
    pub fn is_within_bounds(&self) -> bool {
        self.size() <= ENTRY_BYTES_MAX && self.changes.iter().all(|change| change.check().is_ok())
    }
}

/// Splits changes into parts that each fit into one entry. Returns at least one part, which may be empty.
pub fn split(changes: Vec<Change>) -> Vec<Vec<Change>> {
    let empty = Entry { revision: Revision::default(), changes: Vec::new(), partial: true };
    let bytes_max = ENTRY_BYTES_MAX - empty.size() - HEAD_INTEGERS * INTEGER_BYTES_MAX;
    let mut parts = Vec::new();
    let mut part: Vec<Change> = Vec::new();
    let mut bytes = 0;
    for change in changes {
        let size = postcard::experimental::serialized_size(&change).unwrap_or(usize::MAX);
        if bytes + size > bytes_max && bytes > 0 {
            parts.push(std::mem::take(&mut part));
            bytes = 0;
        }
        bytes += size;
        part.push(change);
    }
    parts.push(part);
    parts
}
