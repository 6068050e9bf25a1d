//! A set of keys that expire. The expired keys are found without visiting the other keys.

use crate::Nanos;
use std::collections::{BTreeSet, HashMap};

/// Expiry time of a key. Values are ordered by time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Expiry {
    at: Nanos,
    key: u64,
}

/// A set of keys. Each key has an expiry time.
#[derive(Debug, Default)]
pub struct ExpiringKeys {
    expiry_times: HashMap<u64, Nanos>,
    by_time: BTreeSet<Expiry>,
}

impl ExpiringKeys {
    /// Returns the number of keys in the set, including expired keys that have not been removed.
    pub fn len(&self) -> usize {
        self.expiry_times.len()
    }

    /// Whether the set has no keys.
    pub fn is_empty(&self) -> bool {
        self.expiry_times.is_empty()
    }

    /// Adds a key that expires at the time `at`. If the key is already in the set, changes its expiry time.
    pub fn insert(&mut self, key: u64, at: Nanos) {
        self.remove(key);
        self.expiry_times.insert(key, at);
        self.by_time.insert(Expiry { at, key });
    }

    /// Removes a key, whether or not it has expired.
    pub fn remove(&mut self, key: u64) {
        if let Some(at) = self.expiry_times.remove(&key) {
            self.by_time.remove(&Expiry { at, key });
        }
    }

    /// Removes all keys whose expiry time is `now` or earlier.
    pub fn expire(&mut self, now: Nanos) {
        while let Some(expiry) = self.by_time.first().copied().filter(|expiry| expiry.at <= now) {
            self.remove(expiry.key);
        }
    }
}
