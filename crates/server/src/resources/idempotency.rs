//! Stores the idempotency keys of invocations in bounded memory. Each key is stored with its invocation and
//! the outcome, so that a repeated call is answered with the outcome and does not run again. The table does
//! no I/O and reads no clock.

use meadowstream_overload_control::Nanos;
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Maximum length of an idempotency key, in bytes.
pub const KEY_MAX: usize = 128;
/// Upper bound of the memory of one entry without its result, in bytes: two copies of the key, and the
/// slots in the maps. Repeated calls that wait for the entry are counted with their connections.
pub const ENTRY_BYTES: usize = 2 * KEY_MAX + 256;

/// An idempotency key. Equal keys of different operations are distinct.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Key {
    operation: usize,
    key: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq)]
enum EntryState {
    /// The invocation is pending or running. The repeated calls with these ids wait for its outcome.
    Open(Vec<u64>),
    /// The invocation succeeded with this result.
    Succeeded(Vec<u8>),
    /// The invocation failed, or its result was evicted. The run may have had its effect.
    Failed,
}

struct Entry {
    key: Key,
    /// Hash of the invocation's body. A call with the stored key and a different body is not a repeat.
    body_hash: u64,
    /// End of the idempotency window. Calls with the stored key that arrived before this time are repeats.
    window_end: Nanos,
    state: EntryState,
}

/// Result of looking up the idempotency key of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Lookup {
    /// The key is not stored, or its idempotency window has ended.
    New,
    /// The key is stored for the invocation with this id, with the same body.
    Repeat(u64),
    /// The key is stored with a different body.
    BodyMismatch,
    /// The key is not stored and the table is full. The call must not run, since its key cannot be stored.
    TableFull,
}

/// Answer to a repeated call.
#[derive(Debug, PartialEq)]
pub enum Replay {
    /// The original invocation has not ended, and the repeated call waits for its outcome.
    Pending,
    /// The original invocation succeeded with this result.
    Result(Vec<u8>),
    /// The original invocation failed.
    Failed,
}

/// The stored idempotency keys. Their number and the total size of their results are bounded.
pub struct IdempotencyTable {
    entries: HashMap<u64, Entry>,
    by_key: HashMap<Key, u64>,
    /// Expiry time and invocation id of each entry.
    by_expiry: BTreeSet<(Nanos, u64)>,
    /// Ids of the invocations whose results are stored, oldest result first.
    results: VecDeque<u64>,
    result_bytes: usize,
    entries_max: usize,
    result_bytes_max: usize,
    /// Maximum time between the arrival of a call and the lookup of its key. Entries are kept for this time
    /// after their idempotency window has ended.
    unread_max: Nanos,
}

impl IdempotencyTable {
    /// Creates an empty table for at most `entries_max` keys and `result_bytes_max` bytes of results.
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

    /// Looks up the idempotency key of a call that arrived at `arrived_at`.
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
            // The table may also contain this key with a window that has ended; a new invocation then
            // replaces its entry.
            _ if self.entries.len() >= self.entries_max => Lookup::TableFull,
            _ => Lookup::New,
        }
    }

    /// Stores the idempotency key of an invocation. Calls with this key that arrive before `window_end` are
    /// repeats of the invocation.
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
    /// the ids of the repeated calls that wait for its outcome.
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

    /// Returns the answer to the repeated call `repeat`. If the original invocation has not ended, the
    /// repeated call is recorded as waiting; [`Self::run_ended`] returns its id when the run of the
    /// original ends.
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

    /// Removes a repeated call from those that wait for the original invocation.
    pub fn stop_waiting(&mut self, original: u64, repeat: u64) {
        if let Some(EntryState::Open(waiting)) = self.entries.get_mut(&original).map(|entry| &mut entry.state)
        {
            waiting.retain(|other| *other != repeat);
        }
    }

    /// Records the end of an invocation's run, with its result if it succeeded. Returns the ids of the
    /// repeated calls that wait for the outcome.
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

    /// Evicts the oldest results while the total size of the results exceeds the limit. The keys of these
    /// results stay, since their invocations must not run again.
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

    /// Removes the keys whose idempotency window ended so long ago that no call can be a repeat any more.
    /// The key of an unfinished invocation stays until its run ends.
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
