//! Election of the log's leader (Paxos phase 1). An external lease selects the replica that tries to
//! lead. This replica, called the candidate, chooses an epoch, requests promises of that epoch from the
//! other replicas, and becomes leader once a majority has promised.

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

/// Number of times that a candidate repeats its requests for promises. After that, it restarts the election
/// with a later epoch.
const REPEATS_MAX: u32 = 10;

/// The log of a replica that has promised the candidate's epoch, as far as the candidate has received it.
#[derive(Debug)]
struct PromisedLog {
    /// Position of the last entry of the replica's log.
    last: Position,
    /// Entries of the replica's log that follow the candidate's committed log, as far as received. The
    /// candidate checks that each message starts where the previous one ended. Within one message, it relies
    /// on the sending replica to leave no gaps.
    entries: Vec<Entry>,
}

impl PromisedLog {
    /// Number of the last entry received.
    fn reached(&self, log: &CommittedLog) -> u64 {
        self.entries.last().map_or(log.number(), Entry::number)
    }
}

/// State of a replica that has chosen an epoch and waits for promises from a majority.
#[derive(Debug)]
pub(super) struct Candidate {
    /// Promises received, by replica name; includes the candidate's promise to itself.
    promises: BTreeMap<String, PromisedLog>,
    /// When promises were last requested.
    requested_at: Nanos,
    /// Number of times that the requests for promises were repeated.
    repeats: u32,
}

impl Candidate {
    /// When the candidate is to repeat its requests for promises, in Unix nanoseconds.
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

/// State at the end of a log whose last change may be incomplete.
struct LogEnd {
    /// State after the last entry.
    state: State,
    /// Changes that undo the incomplete change; empty if the last change is complete.
    undo: Vec<Change>,
}

impl Replica {
    /// The next epoch reserved for this replica. Each replica takes every n-th epoch, where n is the number
    /// of replicas, so that no two replicas ever choose the same epoch.
    fn next_epoch(&self) -> u64 {
        let count = self.replicas.len() as u64;
        let own = self.replicas.iter().position(|replica| *replica == self.name).unwrap_or(0) as u64;
        (self.promised / count + 1) * count + own
    }

    /// Starts an election: chooses a new epoch, promises it to itself, and requests promises from the other
    /// replicas.
    pub(super) fn campaign(&mut self, now: Nanos, log: &CommittedLog) {
        self.promised = self.next_epoch();
        self.is_unsaved = true;
        let own = PromisedLog { last: self.last_position(log), entries: self.uncommitted.clone() };
        let promises = BTreeMap::from([(self.name.clone(), own)]);
        self.role = Role::Candidate(Candidate { promises, requested_at: now, repeats: 0 });
        self.send_prepares(log);
        self.lead_if_promised(now, log);
    }

    /// Repeats the requests for promises when due. Abandons the epoch after [`REPEATS_MAX`] repetitions.
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

    /// Requests a promise from each replica that has not given one, and the rest of the log from each replica
    /// that has promised but not yet sent its whole log.
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

    /// Records a replica's promise and the log entries that came with it. Requests the rest of the replica's
    /// log if the candidate has not received it completely.
    pub(super) fn on_promise(&mut self, now: Nanos, from: &str, promise: Promise, log: &CommittedLog) {
        let Role::Candidate(candidate) = &mut self.role else { return };
        let Promise { epoch, last, after, entries } = promise;
        if epoch != self.promised {
            return;
        }
        let empty = || PromisedLog { last, entries: Vec::new() };
        let known = candidate.promises.entry(from.to_string()).or_insert_with(empty);
        if known.last != last {
            // The log of the replica `from` ends at another position than in its previous message, because
            // committed entries have replaced its uncommitted ones. Discard the entries received so far, so
            // that they are requested again.
            *known = empty();
        }
        if after == known.reached(log) {
            known.entries.extend(entries);
        }
        // Drop the entries that have been committed in the meantime: the committed log contains them.
        known.entries.retain(|entry| entry.number() > log.number());
        self.send_prepares(log);
        self.lead_if_promised(now, log);
    }

    /// Becomes the leader once a majority has promised and the most advanced log has been received in full.
    /// The most advanced log is the one with the highest last position among the replicas that have promised.
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
        // Entries of earlier epochs are committed only together with an entry of the leader's own epoch
        // (Raft, section 5.4.2). The leader therefore appends an entry at once. The appended changes also
        // undo an incomplete change, whose last entries the previous leader never appended.
        self.append_parts(split(undo), log);
        self.replicate(now, log);
    }

    /// State at the end of this replica's log, including uncommitted entries.
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
