//! Revisions and the log entries that make them.

use crate::state::{ContentHash, KEY_MAX, VALUE_MAX};
use serde::{Deserialize, Serialize};

/// Entries of one change at the most.
pub const PARTS_MAX: u32 = 96;
/// Longest encoded entry, in bytes: one datagram carries it. A change that takes more is published as several
/// entries, of which all but the last are partial.
pub const ENTRY_MAX: usize = 900;

/// A position in the log. Numbers rise by one; the epoch is that of the leader that made the entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Position {
    pub epoch: u64,
    pub number: u64,
}

/// A position and the content there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Revision {
    pub position: Position,
    pub hash: ContentHash,
}

/// One key set, or removed where the value is absent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    pub key: String,
    pub value: Option<String>,
}

impl Change {
    pub fn set(key: &str, value: &str) -> Change {
        Change { key: key.to_string(), value: Some(value.to_string()) }
    }

    pub fn remove(key: &str) -> Change {
        Change { key: key.to_string(), value: None }
    }

    /// What is wrong with it, where something is.
    pub fn fault(&self) -> Option<String> {
        if self.key.is_empty() || self.key.len() > KEY_MAX {
            return Some(format!("a key of 1 to {KEY_MAX} bytes, not {}", self.key.len()));
        }
        let value = self.value.as_ref().map_or(0, String::len);
        (value > VALUE_MAX)
            .then(|| format!("{:?}: a value of {VALUE_MAX} bytes at most, not {value}", self.key))
    }
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub revision: Revision,
    pub changes: Vec<Change>,
    /// More of the same change follows: not to be in force by itself.
    pub partial: bool,
}

impl Entry {
    /// Its size as it is encoded, in bytes.
    pub fn size(&self) -> usize {
        postcard::experimental::serialized_size(self).unwrap_or(usize::MAX)
    }

    pub fn is_within_bounds(&self) -> bool {
        self.size() <= ENTRY_MAX && self.changes.iter().all(|change| change.fault().is_none())
    }
}

/// Changes split so that each part fits an entry.
pub fn split(changes: Vec<Change>) -> Vec<Vec<Change>> {
    let empty = Entry { revision: Revision::default(), changes: Vec::new(), partial: true };
    // Numbers and the hash grow as they are encoded: ten bytes each at most.
    let room = ENTRY_MAX - empty.size() - 2 * 10 - 4 * 10;
    let mut parts: Vec<Vec<Change>> = vec![Vec::new()];
    let mut held = 0;
    for change in changes {
        let size = postcard::experimental::serialized_size(&change).unwrap_or(usize::MAX);
        if held + size > room && held > 0 {
            parts.push(Vec::new());
            held = 0;
        }
        held += size;
        parts.last_mut().expect("never empty").push(change);
    }
    parts
}
