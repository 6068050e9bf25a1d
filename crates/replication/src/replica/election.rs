//! The candidate's part: how a replica with the lease becomes leader (phase 1 of Paxos).

use super::leader::Leader;
use super::{REPEAT_AFTER_NS, Replica, Role};
use crate::change::Change;
use crate::committed_log::CommittedLog;
use crate::entry::{Entry, split};
use crate::message::Message;
use crate::revision::Position;
use crate::state::State;
use crate::time::Nanos;
use std::collections::BTreeMap;

/// A candidate that has repeated its requests so often starts again with a later epoch.
const REPEATS_MAX: u32 = 10;

/// What a replica has shown of its log.
#[derive(Debug)]
struct PromisedLog {
    /// The end of its log.
    last: Position,
    /// Its entries after this candidate's committed end, as far as they have come. Each message begins where
    /// the one before it ended; that its own entries follow one another is left to the replica that sent
    /// them.
    entries: Vec<Entry>,
}

impl PromisedLog {
    /// The last number that has come.
    fn reached(&self, log: &CommittedLog) -> u64 {
        self.entries.last().map_or(log.number(), Entry::number)
    }
}

/// A replica that has taken an epoch and waits for a majority's promises.
#[derive(Debug)]
pub(super) struct Candidate {
    /// By the name of the replica; its own included.
    promises: BTreeMap<String, PromisedLog>,
    /// When promises were last requested.
    requested_at: Nanos,
    /// How often the requests were repeated.
    repeats: u32,
}

impl Candidate {
    /// When requests are repeated, in nanoseconds.
    pub(super) fn next_due(&self) -> Nanos {
        self.requested_at + REPEAT_AFTER_NS
    }
}

/// The fields of [`Message::Promise`].
pub(super) struct Promise {
    pub(super) epoch: u64,
    pub(super) last: Position,
    pub(super) after: u64,
    pub(super) entries: Vec<Entry>,
}

/// The end of a log, which may lack the rest of its last change.
struct LogEnd {
    /// Content after the last entry.
    state: State,
    /// Changes that bring it back to the end of the last complete change.
    undo: Vec<Change>,
}

impl Replica {
    /// The next epoch that is this replica's own: no two replicas ever take the same one.
    fn next_epoch(&self) -> u64 {
        let count = self.replicas.len() as u64;
        let own = self.replicas.iter().position(|replica| *replica == self.name).unwrap_or(0) as u64;
        (self.promised / count + 1) * count + own
    }

    /// Takes an epoch, promises it to itself, and requests the others' promises.
    pub(super) fn campaign(&mut self, now: Nanos, log: &CommittedLog) {
        self.promised = self.next_epoch();
        self.is_unsaved = true;
        let own = PromisedLog { last: self.last_position(log), entries: self.uncommitted.clone() };
        let promises = BTreeMap::from([(self.name.clone(), own)]);
        self.role = Role::Candidate(Candidate { promises, requested_at: now, repeats: 0 });
        self.send_prepares(log);
        self.lead_if_promised(now, log);
    }

    /// Repeats requests that are due, or gives up this epoch.
    pub(super) fn repeat_campaign(&mut self, now: Nanos, log: &CommittedLog) {
        let Role::Candidate(candidate) = &mut self.role else { return };
        if candidate.repeats >= REPEATS_MAX {
            self.role = Role::Follower;
        } else if now >= candidate.next_due() {
            candidate.requested_at = now;
            candidate.repeats += 1;
            self.send_prepares(log);
        }
    }

    /// Requests promises, and from those that have promised the rest of their logs.
    fn send_prepares(&mut self, log: &CommittedLog) {
        let Role::Candidate(candidate) = &self.role else { return };
        let mut requests = Vec::new();
        for replica in self.others() {
            let after = match candidate.promises.get(replica) {
                None => log.number(),
                Some(promise) if promise.reached(log) >= promise.last.number => continue,
                Some(promise) => promise.reached(log),
            };
            requests.push((replica.clone(), after));
        }
        for (replica, after) in requests {
            self.send(&replica, Message::Prepare { epoch: self.promised, after });
        }
    }

    /// Adds what a replica has shown of its log. One whose log is not complete here yet is asked again.
    pub(super) fn on_promise(&mut self, now: Nanos, from: &str, promise: Promise, log: &CommittedLog) {
        let Role::Candidate(candidate) = &mut self.role else { return };
        let Promise { epoch, last, after, entries } = promise;
        if epoch != self.promised {
            return;
        }
        let empty = || PromisedLog { last, entries: Vec::new() };
        let known = candidate.promises.entry(from.to_string()).or_insert_with(empty);
        if known.last != last {
            // Its log has been replaced by what was committed.
            *known = empty();
        }
        if after == known.reached(log) {
            known.entries.extend(entries);
        }
        // Entries that have been committed meanwhile are in the committed log.
        known.entries.retain(|entry| entry.number() > log.number());
        self.send_prepares(log);
        self.lead_if_promised(now, log);
    }

    /// Becomes the leader where a majority has promised and all of the furthest log among theirs has come.
    fn lead_if_promised(&mut self, now: Nanos, log: &CommittedLog) {
        let Role::Candidate(candidate) = &self.role else { return };
        if candidate.promises.len() < self.majority() {
            return;
        }
        let furthest = candidate.promises.values().max_by_key(|promise| promise.last);
        let Some(PromisedLog { last, entries }) = furthest else { return };
        let is_uncommitted = |entry: &&Entry| entry.number() > log.number();
        let entries: Vec<Entry> = entries.iter().filter(is_uncommitted).cloned().collect();
        let reached = entries.last().map_or(log.number(), Entry::number);
        if reached < last.number {
            return;
        }
        self.uncommitted = entries;
        let LogEnd { state, undo } = self.log_end(log);
        self.role = Role::Leader(Leader::new(state));
        // An entry of the leader's own epoch is what commits those before it (Raft, 5.4.2). It undoes a
        // change whose last entry its leader never appended.
        self.append_parts(split(undo), log);
        self.replicate(now, log);
    }

    /// The end of this replica's log, uncommitted entries included.
    fn log_end(&self, log: &CommittedLog) -> LogEnd {
        let mut complete = log.complete().state.clone();
        let mut state = complete.clone();
        let mut incomplete: Vec<Change> = Vec::new();
        for entry in log.incomplete().chain(&self.uncommitted) {
            state.apply(&entry.changes);
            if entry.partial {
                incomplete.extend(entry.changes.iter().cloned());
            } else {
                incomplete.clear();
                complete = state.clone();
            }
        }
        LogEnd { state, undo: complete.inverse(&incomplete) }
    }
}
