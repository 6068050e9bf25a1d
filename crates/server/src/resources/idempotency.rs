//! Stores the keys of invocations that are idempotent with a key, in bounded memory. Each key is stored with
//! its invocation and the outcome, so that a repeated call is answered from the outcome and does not run. The
//! table does no I/O and reads no clock.

use meadowstream_overload_control::Nanos;
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Maximum length of a key, in bytes.
pub const KEY_MAX: usize = 128;
/// Maximum memory of an entry without its result, in bytes: two copies of the key, and the slots in the maps.
/// Waiting repeated calls are counted with their connections.
pub const ENTRY_BYTES: usize = 2 * KEY_MAX + 256;

/// An idempotency key, which is scoped to an operation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Key {
    operation: usize,
    key: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq)]
enum EntryState {
    /// The invocation is pending or running; these repeated calls wait for its outcome.
    Open(Vec<u64>),
    /// The invocation succeeded with this result.
    Succeeded(Vec<u8>),
    /// The invocation failed, or its result was evicted. It may have had its effect.
    Failed,
}

struct Entry {
    key: Key,
    /// Hash of the invocation's body. A call with the same key and a different body is not a repeat.
    body_hash: u64,
    /// End of the idempotency window. Calls with the key that arrived before this time are repeats.
    window_end: Nanos,
    state: EntryState,
}

/// Result of looking up a key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Lookup {
    /// The key is not in use.
    New,
    /// The key belongs to this invocation, with the same body.
    Repeat(u64),
    /// The key is in use with a different body.
    BodyMismatch,
    /// The key is not in use, but the table is full. The invocation must not run, since its key could not be
    /// stored.
    TableFull,
}

/// Answer to a repeated call.
#[derive(Debug, PartialEq)]
pub enum Replay {
    /// The original invocation has not ended; the repeated call waits for it.
    Pending,
    /// The original invocation succeeded with this result.
    Result(Vec<u8>),
    /// The original invocation failed.
    Failed,
}

/// The stored keys, bounded in number and in the size of their results.
pub struct IdempotencyTable {
    entries: HashMap<u64, Entry>,
    by_key: HashMap<Key, u64>,
    /// Expiry time and invocation of each entry.
    by_expiry: BTreeSet<(Nanos, u64)>,
    /// Invocations whose results are stored, oldest first.
    results: VecDeque<u64>,
    result_bytes: usize,
    entries_max: usize,
    result_bytes_max: usize,
    /// Maximum time between the arrival of a call and its lookup. Entries are kept this long after their
    /// window ends.
    unread_max: Nanos,
}

impl IdempotencyTable {
    /// Creates an empty table with limits on the number of keys and the total size of results in bytes.
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

    /// Looks up the key of a call that arrived at `arrived_at`.
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
            // The window of a stored entry may have ended; a new invocation then replaces the key's entry.
            _ if self.entries.len() >= self.entries_max => Lookup::TableFull,
            _ => Lookup::New,
        }
    }

    /// Stores the key of an invocation. Calls with this key that arrive before `window_end` are repeats of
    /// it.
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

    /// Removes the key of an invocation, for example because it never ran. Returns the repeated calls that
    /// wait for it.
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

    /// Returns the answer to a repeated call. If it has to wait, [`Self::run_ended`] returns it when the
    /// original's run ends.
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

    /// Removes a repeated call that no longer waits for the original invocation.
    pub fn stop_waiting(&mut self, original: u64, repeat: u64) {
        if let Some(EntryState::Open(waiting)) = self.entries.get_mut(&original).map(|entry| &mut entry.state)
        {
            waiting.retain(|other| *other != repeat);
        }
    }

    /// Records the end of a run, with its result if it succeeded. Returns the repeated calls that wait for
    /// it.
    pub fn run_ended(&mut self, invocation: u64, result: Option<&[u8]>) -> Vec<u64> {
        let Some(entry) = self.entries.get_mut(&invocation) else { return Vec::new() };
        let state = result.map_or(EntryState::Failed, |result| EntryState::Succeeded(result.to_vec()));
        let EntryState::Open(waiting) = std::mem::replace(&mut entry.state, state) else { return Vec::new() };
        if let Some(result) = result {
            self.result_bytes += result.len();
            self.results.push_back(invocation);
        }
        self.evict_results();
        waiting
    }

    /// Evicts the oldest results while their total size exceeds the limit. Their keys stay, since these
    /// invocations must not run again.
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

    /// Removes expired keys, which no repeated call can match any more. The key of an unfinished invocation
    /// stays until its run ends.
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
