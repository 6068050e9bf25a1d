//! The content of the configuration: keys with their values, in a persistent map, so that a copy for a
//! checkpoint or for a check on another thread costs nothing.

use crate::revision::Change;
use imbl::OrdMap;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::ops::Bound;
use std::sync::Arc;

pub type Text = Arc<str>;

/// Longest key and value, in bytes, and most keys of one configuration.
pub const KEY_MAX: usize = 128;
pub const VALUE_MAX: usize = 512;
pub const KEYS_MAX: usize = 100_000;
const LANES: usize = 4;
/// Bytes that the length of a key or a value takes at most as it is encoded.
const LENGTH_BYTES: usize = 2;

/// A hash of the whole content: the lane-wise sum of each pair's SHA-256. It follows a change in time that
/// does not grow with the content, and tells contents apart that differ by accident or by a fault. It is no
/// protection against those who hold the fleet's key: datagrams are authenticated by that key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ContentHash([u64; LANES]);

impl ContentHash {
    fn of_pair(key: &str, value: &str) -> [u64; LANES] {
        let mut hasher = Sha256::new();
        hasher.update((key.len() as u64).to_le_bytes());
        hasher.update(key);
        hasher.update(value);
        let digest = hasher.finalize();
        std::array::from_fn(|lane| {
            u64::from_le_bytes(digest[lane * 8..lane * 8 + 8].try_into().expect("32 bytes"))
        })
    }

    fn add(&mut self, key: &str, value: &str) {
        let pair = Self::of_pair(key, value);
        self.0.iter_mut().zip(pair).for_each(|(lane, more)| *lane = lane.wrapping_add(more));
    }

    fn remove(&mut self, key: &str, value: &str) {
        let pair = Self::of_pair(key, value);
        self.0.iter_mut().zip(pair).for_each(|(lane, less)| *lane = lane.wrapping_sub(less));
    }
}

/// All keys and values of one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    pairs: OrdMap<Text, Text>,
    hash: ContentHash,
}

impl State {
    pub fn hash(&self) -> ContentHash {
        self.hash
    }

    pub fn len(&self) -> usize {
        self.pairs.len()
    }

    pub fn is_empty(&self) -> bool {
        self.pairs.is_empty()
    }

    pub fn get(&self, key: &str) -> Option<&str> {
        self.pairs.get(key).map(|value| &**value)
    }

    /// In the order of keys.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.pairs.iter().map(|(key, value)| (&**key, &**value))
    }

    pub fn set(&mut self, key: &str, value: &str) {
        let before = self.pairs.insert(key.into(), value.into());
        if let Some(before) = before {
            self.hash.remove(key, &before);
        }
        self.hash.add(key, value);
    }

    pub fn remove(&mut self, key: &str) {
        if let Some(before) = self.pairs.remove(key) {
            self.hash.remove(key, &before);
        }
    }

    pub fn apply(&mut self, changes: &[Change]) {
        for Change { key, value } in changes {
            match value {
                Some(value) => self.set(key, value),
                None => self.remove(key),
            }
        }
    }

    /// What brings the keys of `changes` back to what they are here.
    pub fn inverse(&self, changes: &[Change]) -> Vec<Change> {
        let before = |change: &Change| Change {
            key: change.key.clone(),
            value: self.get(&change.key).map(str::to_string),
        };
        changes.iter().map(before).collect()
    }

    /// The pairs that follow a key, from the first where there is none, as many as take `room` bytes encoded;
    /// and whether these are the last.
    pub fn chunk(&self, after: Option<&Text>, room: usize) -> (Vec<(Text, Text)>, bool) {
        let from = after.map_or(Bound::Unbounded, |key| Bound::Excluded(key.clone()));
        let mut rest = self.pairs.range((from, Bound::Unbounded)).peekable();
        let mut chunk: Vec<(Text, Text)> = Vec::new();
        let mut held = 0;
        while let Some((key, value)) = rest.peek() {
            held += key.len() + value.len() + 2 * LENGTH_BYTES;
            if held > room {
                break;
            }
            chunk.push(((*key).clone(), (*value).clone()));
            rest.next();
        }
        let is_last = rest.peek().is_none();
        (chunk, is_last)
    }
}

/// On disk and in tests; in datagrams content travels in parts.
#[derive(Serialize, Deserialize)]
struct Pairs(Vec<(Text, Text)>);

impl Serialize for State {
    fn serialize<S: serde::Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        Pairs(self.pairs.iter().map(|(key, value)| (key.clone(), value.clone())).collect()).serialize(to)
    }
}

impl<'de> Deserialize<'de> for State {
    fn deserialize<D: serde::Deserializer<'de>>(from: D) -> Result<State, D::Error> {
        let Pairs(pairs) = Pairs::deserialize(from)?;
        let mut state = State::default();
        pairs.iter().for_each(|(key, value)| state.set(key, value));
        Ok(state)
    }
}
