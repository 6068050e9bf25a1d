//! The content of the configuration: keys with their values, in a persistent map, so that a copy for a
//! checkpoint or for a check on another thread shares its memory.

use crate::change::Change;
use crate::content_hash::ContentHash;
use imbl::OrdMap;
use serde::{Deserialize, Serialize};
use std::ops::Bound;
use std::sync::Arc;

/// A key or a value, shared between copies of the content.
pub type Text = Arc<str>;

/// Most keys of one configuration.
pub const KEYS_MAX: usize = 100_000;
/// Bytes that the length of a key or a value takes at most as it is encoded.
const LENGTH_BYTES: usize = 2;

/// A key with its value. Its encoding is that of the pair.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pair {
    /// The key.
    pub key: Text,
    /// Its value.
    pub value: Text,
}

/// Consecutive pairs of a content, in the order of keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// The pairs.
    pub pairs: Vec<Pair>,
    /// No pair follows these.
    pub is_last: bool,
}

/// All keys and values of one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    pairs: OrdMap<Text, Text>,
    /// Always that of `pairs`.
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

    /// Whether there is no key.
    pub fn is_empty(&self) -> bool {
        self.pairs.is_empty()
    }

    /// The value of a key.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.pairs.get(key).map(|value| &**value)
    }

    /// Keys with their values, in the order of keys.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.pairs.iter().map(|(key, value)| (&**key, &**value))
    }

    /// Sets a key.
    pub fn set(&mut self, key: &str, value: &str) {
        let before = self.pairs.insert(key.into(), value.into());
        if let Some(before) = before {
            self.hash.remove(key, &before);
        }
        self.hash.add(key, value);
    }

    /// Removes a key, where it is there.
    pub fn remove(&mut self, key: &str) {
        if let Some(before) = self.pairs.remove(key) {
            self.hash.remove(key, &before);
        }
    }

    /// Applies changes in their order.
    pub fn apply(&mut self, changes: &[Change]) {
        for Change { key, value } in changes {
            match value {
                Some(value) => self.set(key, value),
                None => self.remove(key),
            }
        }
    }

    /// The changes that bring the keys of `changes` back to their values here.
    pub fn inverse(&self, changes: &[Change]) -> Vec<Change> {
        changes.iter().map(|change| self.restoring(&change.key)).collect()
    }

    /// The change that brings a key back to its value here.
    pub fn restoring(&self, key: &str) -> Change {
        Change { key: key.to_string(), value: self.get(key).map(str::to_string) }
    }

    /// The pairs that follow `after`, from the first where it is `None`, as many as take `bytes_max` bytes
    /// encoded.
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

/// The form on disk; in datagrams content travels in chunks.
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
