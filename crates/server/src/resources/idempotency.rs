//! Stores the idempotency keys of invocations in bounded memory. The outcome of each invocation is stored
//! with its key, so that a repeated call receives this outcome without a second run. The table does no I/O
//! and reads no clock.

use meadowstream_overload_control::Nanos;
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Maximum length of an idempotency key, in bytes.
pub const KEY_MAX: usize = 128;
/// Maximum memory that one entry of the table uses, in bytes, without the result of the invocation. An entry
/// has two copies of the idempotency key, and slots in several maps.
///
/// The memory of waiting repeated calls is not included, because this memory is counted for the connections
/// of these calls.
pub const ENTRY_BYTES: usize = 2 * KEY_MAX + 256;

/// An idempotency key together with its operation. The same key can be used for different operations.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Key {
    operation: usize,
    key: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq)]
enum EntryState {
    /// The invocation is pending or running. The list contains the ids of the repeated calls that wait for
    /// the invocation's outcome.
    Open(Vec<u64>),
    /// The invocation with this idempotency key succeeded, and its result is stored here.
    Succeeded(Vec<u8>),
    /// The invocation failed, or it succeeded but its result is not stored. The run may have had its effect.
    Failed,
}

struct Entry {
    key: Key,
    /// Hash of the body of the invocation. A call with the same idempotency key but a different body is not a
    /// repeat of the invocation.
    body_hash: u64,
    /// End of the idempotency window of a key. A call with this key is a repeat if the call arrived before
    /// this time.
    window_end: Nanos,
    state: EntryState,
}

/// Result of looking up the idempotency key of a call in the table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Lookup {
    /// The call is not a repeat, because its idempotency key is not stored or the key's idempotency window
    /// has ended.
    New,
    /// The call repeats the invocation with this id. The invocation has the same idempotency key and the same
    /// body.
    Repeat(u64),
    /// The call has the idempotency key of an earlier invocation but a different body, which is an error.
    BodyMismatch,
    /// The call is not a repeat, but the table has no space for the call's idempotency key. The call must not
    /// run, because its repeats could not be recognized.
    TableFull,
}

/// Answer to a repeated call.
#[derive(Debug, PartialEq)]
pub enum Replay {
    /// The original invocation has not ended. The repeated call waits for the outcome of the original
    /// invocation.
    Pending,
    /// The original invocation succeeded with this result, which answers the repeated call.
    Result(Vec<u8>),
    /// The original invocation failed, or its result is not stored. The repeated call therefore fails.
    Failed,
}

/// Table of idempotency keys. The number of keys and the total size of the stored results are limited.
pub struct IdempotencyTable {
    entries: HashMap<u64, Entry>,
    by_key: HashMap<Key, u64>,
    /// Expiry time of each entry, paired with the id of the entry's invocation. Sorted by the expiry time.
    by_expiry: BTreeSet<(Nanos, u64)>,
    /// Ids of the invocations whose results are stored, from the oldest to the newest result.
    results: VecDeque<u64>,
    result_bytes: usize,
    entries_max: usize,
    result_bytes_max: usize,
    /// Maximum time from the arrival of a call until its key is looked up. Each entry is kept for this time
    /// after the end of its idempotency window. During this time, repeats that arrived within the window may
    /// still be looked up.
    unread_max: Nanos,
}

impl IdempotencyTable {
    /// Creates an empty table with space for `entries_max` keys and for `result_bytes_max` bytes of results.
    pub fn new(entries_max: usize, result_bytes_max: usize, unread_max: Nanos) -> Self {
        Self {
            entries: HashMap::new(),
            by_key: HashMap::new(),
            by_expiry: BTreeSet::new(),
            results: VecDeque::new(),
            result_bytes: 0,
            entries_max,
            result_bytes_max,
            unread_max,
        }
    }

    /// Looks up the idempotency key of a call. The call arrived at the time `arrived_at`.
    pub fn find(
        &mut self,
        now: Nanos,
        arrived_at: Nanos,
        operation: usize,
        key: &[u8],
        body_hash: u64,
    ) -> Lookup {
        self.expire(now);
        let found = self
            .by_key
            .get(&Key { operation, key: key.to_vec() })
            .map(|invocation| (*invocation, &self.entries[invocation]));
        match found {
            Some((invocation, entry)) if arrived_at < entry.window_end => {
                if entry.body_hash == body_hash {
                    Lookup::Repeat(invocation)
                } else {
                    Lookup::BodyMismatch
                }
            }
            // The call is not a repeat: its key is not stored, or the key's idempotency window has ended. The
            // call needs a new entry in the table. A key that is already stored is later assigned to the new
            // invocation.
            _ if self.entries.len() >= self.entries_max => Lookup::TableFull,
            _ => Lookup::New,
        }
    }

    /// Stores the idempotency key of an invocation. Afterwards, a call with the same key is a repeat of this
    /// invocation if the call arrives before `window_end`.
    pub fn insert(
        &mut self,
        invocation: u64,
        operation: usize,
        key: &[u8],
        body_hash: u64,
        window_end: Nanos,
    ) {
        let key = Key { operation, key: key.to_vec() };
        self.by_key.insert(key.clone(), invocation);
        self.by_expiry.insert((window_end.saturating_add(self.unread_max), invocation));
        self.entries
            .insert(invocation, Entry { key, body_hash, window_end, state: EntryState::Open(Vec::new()) });
    }

    /// Removes the idempotency key of an invocation, for example because the invocation never ran. Returns
    /// the ids of the repeated calls that were waiting for the invocation's outcome.
    pub fn forget(&mut self, invocation: u64) -> Vec<u64> {
        let Some(entry) = self.entries.remove(&invocation) else { return Vec::new() };
        self.by_expiry.remove(&(entry.window_end.saturating_add(self.unread_max), invocation));
        if self.by_key.get(&entry.key) == Some(&invocation) {
            self.by_key.remove(&entry.key);
        }
        match entry.state {
            EntryState::Open(waiting) => waiting,
            EntryState::Succeeded(result) => {
                self.result_bytes -= result.len();
                self.results.retain(|other| *other != invocation);
                Vec::new()
            }
            EntryState::Failed => Vec::new(),
        }
    }

    /// Returns the answer to the repeated call with the id `repeat`. If the original invocation has not
    /// ended, the repeated call must wait. When the original invocation ends, [`Self::run_ended`] returns the
    /// ids of all waiting calls.
    pub fn replay(&mut self, original: u64, repeat: u64) -> Replay {
        match self.entries.get_mut(&original).map(|entry| &mut entry.state) {
            Some(EntryState::Open(waiting)) => {
                waiting.push(repeat);
                Replay::Pending
            }
            Some(EntryState::Succeeded(result)) => Replay::Result(result.clone()),
            Some(EntryState::Failed) | None => Replay::Failed,
        }
    }

    /// Returns whether no call can be a repeat of an invocation any more, because the window of its key has
    /// ended. Returns false if the key is not stored.
    pub fn has_expired(&self, invocation: u64, now: Nanos) -> bool {
        let entry = self.entries.get(&invocation);
        entry.is_some_and(|entry| now >= entry.window_end.saturating_add(self.unread_max))
    }

    /// Stops a repeated call from waiting for the outcome of the original invocation.
    pub fn stop_waiting(&mut self, original: u64, repeat: u64) {
        if let Some(EntryState::Open(waiting)) = self.entries.get_mut(&original).map(|entry| &mut entry.state)
        {
            waiting.retain(|other| *other != repeat);
        }
    }

    /// Records that the run of an invocation has ended. `result` is `None` if the run did not succeed or its
    /// result is too long to be stored. Returns the ids of the repeated calls that were waiting for the
    /// invocation's outcome. The first outcome of an invocation is final.
    pub fn run_ended(&mut self, invocation: u64, result: Option<&[u8]>) -> Vec<u64> {
        let Some(entry) = self.entries.get_mut(&invocation) else { return Vec::new() };
        let EntryState::Open(waiting) = &mut entry.state else { return Vec::new() };
        let waiting = std::mem::take(waiting);
        entry.state = result.map_or(EntryState::Failed, |result| EntryState::Succeeded(result.to_vec()));
        if let Some(result) = result {
            self.result_bytes += result.len();
            self.results.push_back(invocation);
        }
        self.evict_results();
        waiting
    }

    /// Removes the oldest results until the total size of the stored results is within the limit. The keys of
    /// the removed results stay in the table, because their invocations must not run again.
    fn evict_results(&mut self) {
        while self.result_bytes > self.result_bytes_max {
            let Some(oldest) = self.results.pop_front() else { break };
            let state = self.entries.get_mut(&oldest).map(|entry| &mut entry.state);
            if let Some(EntryState::Succeeded(result)) =
                state.map(|state| std::mem::replace(state, EntryState::Failed))
            {
                self.result_bytes -= result.len();
            }
        }
    }

    /// Removes expired keys. A key expires so long after the end of its idempotency window that no repeated
    /// call can still be looked up. The key of an invocation whose run has not ended stays in the table.
    fn expire(&mut self, now: Nanos) {
        let expired: Vec<u64> = self.by_expiry.range(..(now, 0)).map(|(_, invocation)| *invocation).collect();
        for invocation in expired {
            if !matches!(self.entries[&invocation].state, EntryState::Open(_)) {
                self.forget(invocation);
            }
        }
    }
}

#[cfg(test)]
mod tests;
