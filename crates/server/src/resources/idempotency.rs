//! What is remembered of tokened invocations, in bounded memory: which invocation a token came with, and what
//! became of it, so that a repeat is answered from its forerunner and never run. It decides nothing of what
//! runs; times are passed in, and all of it can be played without a server.

use meadowstream_overload_control::Nanos;
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Longest token, in bytes.
pub const TOKEN_MAX: usize = 128;
/// What an entry takes at most beside its result: the token twice and places in the tables. Those that wait
/// for it are open on a connection, which answers for them.
pub const ENTRY_BYTES: usize = 2 * TOKEN_MAX + 256;

/// What a token is known by.
type Key = (usize, Vec<u8>);

#[derive(Clone, Debug, PartialEq)]
enum EntryState {
    /// It waits or runs; these repeats wait for it.
    Open(Vec<u64>),
    Succeeded(Vec<u8>),
    /// It came to nothing, or its result had to go: it has run all the same.
    Failed,
}

struct Entry {
    key: Key,
    /// A hash of the body: another call with the token is no repeat.
    body: u64,
    /// Repeats that reached the machine before this are repeats of it.
    until: Nanos,
    state: EntryState,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Lookup {
    New,
    /// Of this invocation.
    Repeat(u64),
    /// The token is in use with another body.
    OtherBody,
    /// Nothing more can be remembered, so it must not run.
    Full,
}

#[derive(Debug, PartialEq)]
pub enum Replay {
    Pending,
    Result(Vec<u8>),
    Failed,
}

pub struct IdempotencyTable {
    entries: HashMap<u64, Entry>,
    by_key: HashMap<Key, u64>,
    /// When each may be dropped, and the results kept, the oldest first.
    by_end: BTreeSet<(Nanos, u64)>,
    results: VecDeque<u64>,
    kept: usize,
    most: usize,
    most_bytes: usize,
    /// How long one may lie unread after it reached the machine.
    unread: Nanos,
}

impl IdempotencyTable {
    pub fn new(most: usize, most_bytes: usize, unread: Nanos) -> Self {
        Self {
            entries: HashMap::new(),
            by_key: HashMap::new(),
            by_end: BTreeSet::new(),
            results: VecDeque::new(),
            kept: 0,
            most,
            most_bytes,
            unread,
        }
    }

    /// One came with this token and reached the machine at `reached`.
    pub fn find(&mut self, now: Nanos, reached: Nanos, operation: usize, token: &[u8], body: u64) -> Lookup {
        self.age(now);
        let found = self.by_key.get(&(operation, token.to_vec())).map(|inv| (*inv, &self.entries[inv]));
        match found {
            Some((inv, entry)) if reached < entry.until => {
                if entry.body == body {
                    Lookup::Repeat(inv)
                } else {
                    Lookup::OtherBody
                }
            }
            // Its window is over though it is still remembered; the new one takes its place.
            _ if self.entries.len() >= self.most => Lookup::Full,
            _ => Lookup::New,
        }
    }

    /// This invocation is the one that a later repeat belongs to.
    pub fn insert(&mut self, inv: u64, operation: usize, token: &[u8], body: u64, until: Nanos) {
        let key = (operation, token.to_vec());
        self.by_key.insert(key.clone(), inv);
        self.by_end.insert((until.saturating_add(self.unread), inv));
        self.entries.insert(inv, Entry { key, body, until, state: EntryState::Open(Vec::new()) });
    }

    /// It never ran: one with its token is new again. Who waits for it is returned.
    pub fn forget(&mut self, inv: u64) -> Vec<u64> {
        let Some(entry) = self.entries.remove(&inv) else { return Vec::new() };
        self.by_end.remove(&(entry.until.saturating_add(self.unread), inv));
        if self.by_key.get(&entry.key) == Some(&inv) {
            self.by_key.remove(&entry.key);
        }
        match entry.state {
            EntryState::Open(waiting) => waiting,
            EntryState::Succeeded(result) => {
                self.kept -= result.len();
                self.results.retain(|other| *other != inv);
                Vec::new()
            }
            EntryState::Failed => Vec::new(),
        }
    }

    /// What the repeat is answered with; where it is to wait, it is returned when its forerunner ends.
    pub fn replay(&mut self, forerunner: u64, repeat: u64) -> Replay {
        match self.entries.get_mut(&forerunner).map(|entry| &mut entry.state) {
            Some(EntryState::Open(waiting)) => {
                waiting.push(repeat);
                Replay::Pending
            }
            Some(EntryState::Succeeded(result)) => Replay::Result(result.clone()),
            Some(EntryState::Failed) | None => Replay::Failed,
        }
    }

    /// The repeat is over, whatever becomes of its forerunner.
    pub fn stop_waiting(&mut self, forerunner: u64, repeat: u64) {
        if let Some(EntryState::Open(waiting)) =
            self.entries.get_mut(&forerunner).map(|entry| &mut entry.state)
        {
            waiting.retain(|other| *other != repeat);
        }
    }

    /// A run has ended, with a result where it succeeded. Who waits for it is returned.
    pub fn run_ended(&mut self, inv: u64, result: Option<&[u8]>) -> Vec<u64> {
        let Some(entry) = self.entries.get_mut(&inv) else { return Vec::new() };
        let state = result.map_or(EntryState::Failed, |result| EntryState::Succeeded(result.to_vec()));
        let EntryState::Open(waiting) = std::mem::replace(&mut entry.state, state) else { return Vec::new() };
        if let Some(result) = result {
            self.kept += result.len();
            self.results.push_back(inv);
        }
        // The oldest results go first; that they ran is remembered on.
        while self.kept > self.most_bytes {
            let Some(oldest) = self.results.pop_front() else { break };
            let state = self.entries.get_mut(&oldest).map(|entry| &mut entry.state);
            if let Some(EntryState::Succeeded(result)) =
                state.map(|state| std::mem::replace(state, EntryState::Failed))
            {
                self.kept -= result.len();
            }
        }
        waiting
    }

    /// Drops what no repeat can belong to any more. One that still runs stays until it has ended.
    fn age(&mut self, now: Nanos) {
        let over: Vec<u64> = self.by_end.range(..(now, 0)).map(|(_, inv)| *inv).collect();
        for inv in over {
            if !matches!(self.entries[&inv].state, EntryState::Open(_)) {
                self.forget(inv);
            }
        }
    }
}

#[cfg(test)]
mod tests;
