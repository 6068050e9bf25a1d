//! Entries of the log. One entry fits a datagram; a larger change is split over several.

use crate::change::Change;
use crate::revision::{Position, Revision};
use serde::{Deserialize, Serialize};

/// Most parts in which an operator may submit a change. It does not bound the entries of a change in the log,
/// which the leader splits anew.
pub const PARTS_MAX: u32 = 96;
/// Longest encoded entry, in bytes.
pub const ENTRY_BYTES_MAX: usize = 900;
/// Longest encoding of a 64-bit integer, in bytes.
const INTEGER_BYTES_MAX: usize = 10;
/// Integers at the head of an entry: epoch, number, four lanes of the hash.
const HEAD_INTEGERS: usize = 6;

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its position, and the content once it is applied.
    pub revision: Revision,
    /// Applied in this order.
    pub changes: Vec<Change>,
    /// More entries of the same change follow: it is not applied by itself.
    pub partial: bool,
}

impl Entry {
    /// Its number in the log.
    pub fn number(&self) -> u64 {
        self.revision.position.number
    }

    /// Its position in the log.
    pub fn position(&self) -> Position {
        self.revision.position
    }

    /// Its size as it is encoded, in bytes.
    pub fn size(&self) -> usize {
        postcard::experimental::serialized_size(self).unwrap_or(usize::MAX)
    }

    /// Whether its size and all its changes are within their bounds.
    pub fn is_within_bounds(&self) -> bool {
        self.size() <= ENTRY_BYTES_MAX && self.changes.iter().all(|change| change.check().is_ok())
    }
}

/// Changes split so that each part fits an entry; never empty.
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
