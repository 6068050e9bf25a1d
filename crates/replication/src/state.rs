//! The content of the configuration: a map of keys to values. The map is a persistent data structure, so that
//! a copy for a checkpoint or for a check on another thread shares memory with the original.

use crate::change::Change;
use crate::content_hash::ContentHash;
use imbl::OrdMap;
use serde::{Deserialize, Serialize};
use std::ops::Bound;
use std::sync::Arc;

/// A key or a value, shared between copies of the content.
pub type Text = Arc<str>;

/// Maximum number of keys in one configuration.
pub const KEYS_MAX: usize = 100_000;
/// Maximum encoded size of the length prefix of a key or value, in bytes.
const LENGTH_BYTES: usize = 2;

/// A key with its value. The encoding is the same as that of a tuple `(key, value)`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pair {
    /// The key.
    pub key: Text,
    /// The value.
    pub value: Text,
}

/// A part of a [`State`]: consecutive pairs of a key and its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// The pairs, ordered by key.
    pub pairs: Vec<Pair>,
    /// Whether no pairs of the state follow this chunk.
    pub is_last: bool,
}

/// All keys and values of one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    pairs: OrdMap<Text, Text>,
    /// Hash of `pairs`, updated with every change.
    hash: ContentHash,
}

impl State {
    /// The hash of all pairs.
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

    /// The value of a key, if the key exists.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.pairs.get(key).map(|value| &**value)
    }

    /// All keys with their values, ordered by key.
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

    /// Applies changes in order.
    pub fn apply(&mut self, changes: &[Change]) {
        for Change { key, value } in changes {
            match value {
                Some(value) => self.set(key, value),
                None => self.remove(key),
            }
        }
    }

    /// Returns the changes that reset all keys of `changes` to their values in this state; keys without a
    /// value here are removed.
    pub fn inverse(&self, changes: &[Change]) -> Vec<Change> {
        changes.iter().map(|change| self.restore_change(&change.key)).collect()
    }

    /// Returns the change that resets a key to its value in this state, or removes it if it has none.
    pub fn restore_change(&self, key: &str) -> Change {
        Change { key: key.to_string(), value: self.get(key).map(str::to_string) }
    }

    /// Returns the pairs that follow the key `after`, or the first pairs if it is `None`, as many as fit into
    /// `bytes_max` encoded bytes.
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

/// Serialized form of a [`State`] on disk. In datagrams a state is sent in chunks instead.
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
