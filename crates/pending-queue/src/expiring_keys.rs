//! Keys that expire: what has expired is found without looking at the rest.

use crate::Nanos;
use std::collections::{BTreeSet, HashMap};

/// When a key expires; ordered by that time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Expiry {
    at: Nanos,
    key: u64,
}

/// Keys, each with the time at which it expires.
#[derive(Debug, Default)]
pub struct ExpiringKeys {
    expiry_times: HashMap<u64, Nanos>,
    by_time: BTreeSet<Expiry>,
}

impl ExpiringKeys {
    /// Keys that have not expired.
    pub fn len(&self) -> usize {
        self.expiry_times.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.expiry_times.is_empty()
    }

    /// Adds a key that expires at this time; a key that is there already gets the new time.
    pub fn insert(&mut self, key: u64, at: Nanos) {
        self.remove(key);
        self.expiry_times.insert(key, at);
        self.by_time.insert(Expiry { at, key });
    }

    /// Removes a key before it expires.
    pub fn remove(&mut self, key: u64) {
        if let Some(at) = self.expiry_times.remove(&key) {
            self.by_time.remove(&Expiry { at, key });
        }
    }

    /// Removes all keys that expire at `now` or before.
    pub fn expire(&mut self, now: Nanos) {
        while let Some(expiry) = self.by_time.first().copied().filter(|expiry| expiry.at <= now) {
            self.remove(expiry.key);
        }
    }
}
