//! The keys of invocations that are idempotent with a key, in bounded memory: which invocation came with a
//! key, and how it ended, so that a repeat is answered from it and never run. Without I/O or clock.

use meadowstream_overload_control::Nanos;
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Longest key, in bytes.
pub const KEY_MAX: usize = 128;
/// Most memory of an entry beside its result: the key twice and places in the tables. The repeats that wait
/// for it are counted with their connections.
pub const ENTRY_BYTES: usize = 2 * KEY_MAX + 256;

/// A key counts for one operation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Key {
    operation: usize,
    key: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq)]
enum EntryState {
    /// It is pending or runs; these repeats wait for it.
    Open(Vec<u64>),
    /// It succeeded with this result.
    Succeeded(Vec<u8>),
    /// It failed, or its result was evicted. It may have had its effect.
    Failed,
}

struct Entry {
    key: Key,
    /// A call with the key and another body is no repeat.
    body_hash: u64,
    /// Calls with the key that reached the machine before this are repeats of it.
    window_end: Nanos,
    state: EntryState,
}

/// What is known of a key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Lookup {
    /// It has not been used.
    New,
    /// It is that of this invocation.
    Repeat(u64),
    /// It is in use with another body.
    BodyMismatch,
    /// It has not been used, and no more keys can be remembered: the invocation must not run.
    TableFull,
}

/// How a repeat is answered.
#[derive(Debug, PartialEq)]
pub enum Replay {
    /// When the invocation that it repeats has ended.
    Pending,
    /// With its result.
    Result(Vec<u8>),
    /// With a failure.
    Failed,
}

/// All keys that are remembered.
pub struct IdempotencyTable {
    entries: HashMap<u64, Entry>,
    by_key: HashMap<Key, u64>,
    /// When each may be dropped, and which it is.
    by_expiry: BTreeSet<(Nanos, u64)>,
    /// Invocations whose results are kept, the oldest first.
    results: VecDeque<u64>,
    result_bytes: usize,
    entries_max: usize,
    result_bytes_max: usize,
    /// Longest time that a call may stay unread after it reached the machine.
    unread_max: Nanos,
}

impl IdempotencyTable {
    /// An empty table for so many keys and bytes of results.
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

    /// What is known of the key of a call that reached the machine at `reached`.
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
            // Its window is over though it is still remembered; the new one takes its place.
            _ if self.entries.len() >= self.entries_max => Lookup::TableFull,
            _ => Lookup::New,
        }
    }

    /// Calls with this key that reach the machine before `until` are repeats of this invocation.
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

    /// Makes the key of an invocation new again, as it never ran. Returns the repeats that wait for it.
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

    /// How a repeat is answered. One that is to wait is returned when the run of the original ends.
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

    /// A repeat is over and does not wait any more.
    pub fn stop_waiting(&mut self, original: u64, repeat: u64) {
        if let Some(EntryState::Open(waiting)) = self.entries.get_mut(&original).map(|entry| &mut entry.state)
        {
            waiting.retain(|other| *other != repeat);
        }
    }

    /// A run has ended, with a result where it succeeded. Returns the repeats that wait for it.
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

    /// Drops the oldest results over the limit, not their keys: they must not run again.
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

    /// Drops the keys that no repeat can have any more. One whose run goes on stays until that ends.
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
