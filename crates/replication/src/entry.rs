//! Entries of the replicated log. Each entry fits into one datagram. A change to the configuration that is
//! too large for one entry is split over several entries.

use crate::change::Change;
use crate::revision::{Position, Revision};
use serde::{Deserialize, Serialize};

/// Maximum number of parts in which an operator may submit a change. The limit does not apply to the log
/// entries of the change: the leader joins the parts and splits the change into entries again.
pub const PARTS_MAX: u32 = 96;
/// Maximum length of an encoded entry, in bytes.
pub const ENTRY_BYTES_MAX: usize = 900;
/// Maximum length of an encoded 64-bit integer, in bytes.
const INTEGER_BYTES_MAX: usize = 10;
/// Number of integers at the start of an encoded entry: the entry's epoch, the entry's number, and the four
/// lanes of the configuration hash.
const HEAD_INTEGERS: usize = 6;

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position of the entry in the log, and hash of the configuration after the entry.
    pub revision: Revision,
    /// The changes to keys of the configuration, in the order in which they are applied.
    pub changes: Vec<Change>,
    /// Whether more entries of the same change follow. The configuration is applied only after the last entry
    /// of a change.
    pub partial: bool,
}

impl Entry {
    /// Returns the number of this entry in the log. The first entry has number 1.
    pub fn number(&self) -> u64 {
        self.revision.position.number
    }

    /// Returns the position of this entry in the log: its epoch and its number.
    pub fn position(&self) -> Position {
        self.revision.position
    }

    /// Returns the length of the encoded entry, in bytes.
    pub fn size(&self) -> usize {
        postcard::experimental::serialized_size(self).unwrap_or(usize::MAX)
    }

    /// Returns whether the encoded entry takes at most [`ENTRY_BYTES_MAX`] bytes, and all its changes have
    /// keys and values of allowed lengths.
    pub fn is_within_bounds(&self) -> bool {
        self.size() <= ENTRY_BYTES_MAX && self.changes.iter().all(|change| change.check().is_ok())
    }
}

/// Splits a list of changes into parts that each fit into one entry. Always returns at least one part, which
/// is empty if `changes` is empty.
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
