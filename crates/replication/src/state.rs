//! The content of the configuration: a map of keys to values. The map is a persistent data structure. A copy
//! of the map, such as a checkpoint or a copy for a check on another thread, therefore shares memory with the
//! original.

use crate::change::Change;
use crate::content_hash::ContentHash;
use imbl::OrdMap;
use serde::{Deserialize, Serialize};
use std::ops::Bound;
use std::sync::Arc;

/// The text of a key or of a value. Copies of the configuration share the memory of the text.
pub type Text = Arc<str>;

/// Maximum number of keys in one configuration.
pub const KEYS_MAX: usize = 100_000;
/// Maximum size of the length prefix that is encoded before a key or a value, in bytes.
const LENGTH_BYTES: usize = 2;

/// A key with its value. Encoded in the same way as a tuple `(key, value)`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pair {
    /// The key.
    pub key: Text,
    /// The value.
    pub value: Text,
}

/// A part of a [`State`]: some of its key-value pairs, consecutive in the order of the keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// The pairs, ordered by key.
    pub pairs: Vec<Pair>,
    /// Whether this is the last chunk of the state, so that no pairs follow it.
    pub is_last: bool,
}

/// All keys and values of the configuration at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    pairs: OrdMap<Text, Text>,
    /// Hash of all key-value pairs in `pairs`. Updated with every change of a key.
    hash: ContentHash,
}

impl State {
    /// Returns the hash of all key-value pairs.
    pub fn hash(&self) -> ContentHash {
        self.hash
    }

    /// Number of keys.
    pub fn len(&self) -> usize {
        self.pairs.len()
    }

    /// Whether the state has no keys.
    pub fn is_empty(&self) -> bool {
        self.pairs.is_empty()
    }

    /// Returns the value of a key; `None` if the key does not exist.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.pairs.get(key).map(|value| &**value)
    }

    /// Returns all keys with their values, in ascending order of the keys.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.pairs.iter().map(|(key, value)| (&**key, &**value))
    }

    /// Sets a key to a value.
    pub fn set(&mut self, key: &str, value: &str) {
        let before = self.pairs.insert(key.into(), value.into());
        if let Some(before) = before {
            self.hash.remove(key, &before);
        }
        self.hash.add(key, value);
    }

    /// Removes a key if it exists.
    pub fn remove(&mut self, key: &str) {
        if let Some(before) = self.pairs.remove(key) {
            self.hash.remove(key, &before);
        }
    }

    /// Applies changes of keys to this state, in the order of the list.
    pub fn apply(&mut self, changes: &[Change]) {
        for Change { key, value } in changes {
            match value {
                Some(value) => self.set(key, value),
                None => self.remove(key),
            }
        }
    }

    /// Returns changes that restore all keys in `changes` to their values in this state. A key that does not
    /// exist in this state is removed by its change.
    pub fn inverse(&self, changes: &[Change]) -> Vec<Change> {
        changes.iter().map(|change| self.restore_change(&change.key)).collect()
    }

    /// Returns the change that gives a key the value that it has in this state. If the key does not exist in
    /// this state, the change removes it.
    pub fn restore_change(&self, key: &str) -> Change {
        Change { key: key.to_string(), value: self.get(key).map(str::to_string) }
    }

    /// Returns the pairs whose keys follow the key `after`, as many as fit into `bytes_max` encoded bytes. If
    /// `after` is `None`, starts with the first pair.
    pub fn chunk(&self, after: Option<&Text>, bytes_max: usize) -> Chunk {
        let start = after.map_or(Bound::Unbounded, |key| Bound::Excluded(key.clone()));
        let mut rest = self.pairs.range((start, Bound::Unbounded)).peekable();
        let mut pairs = Vec::new();
        let mut bytes = 0;
        while let Some((key, value)) = rest.peek() {
            bytes += key.len() + value.len() + 2 * LENGTH_BYTES;
            if bytes > bytes_max {
                break;
            }
            pairs.push(Pair { key: (*key).clone(), value: (*value).clone() });
            rest.next();
        }
        Chunk { pairs, is_last: rest.peek().is_none() }
    }
}

/// The form in which a [`State`] is serialized to disk. In messages, a state is sent in chunks instead.
#[derive(Serialize, Deserialize)]
struct Pairs(Vec<Pair>);

impl Serialize for State {
    fn serialize<S: serde::Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        let pair = |(key, value): (&Text, &Text)| Pair { key: key.clone(), value: value.clone() };
        Pairs(self.pairs.iter().map(pair).collect()).serialize(to)
    }
}

impl<'de> Deserialize<'de> for State {
    fn deserialize<D: serde::Deserializer<'de>>(from: D) -> Result<State, D::Error> {
        let Pairs(pairs) = Pairs::deserialize(from)?;
        let mut state = State::default();
        pairs.iter().for_each(|pair| state.set(&pair.key, &pair.value));
        Ok(state)
    }
}
