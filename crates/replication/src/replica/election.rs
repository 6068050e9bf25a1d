//! Election of the leader of the log (Paxos phase 1). The replica that holds an external lease tries to
//! become the leader and is called the candidate. The candidate chooses an epoch and requests promises for
//! this epoch from the other replicas. It becomes the leader once a majority has promised.

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

/// Number of times that a candidate repeats its requests for promises. If the candidate does not become the
/// leader even then, it starts a new election with a later epoch.
const REPEATS_MAX: u32 = 10;

/// The log of a replica that has promised the candidate's epoch, as far as the candidate has received it. A
/// long log is received in several messages.
#[derive(Debug)]
struct PromisedLog {
    /// Position of the last entry in the log of the replica that made the promise.
    last: Position,
    /// Entries received from the replica that made the promise, starting after the candidate's committed log.
    /// The candidate checks that each message starts where the previous one ended. It relies on the sender to
    /// leave no gaps within a message.
    entries: Vec<Entry>,
}

impl PromisedLog {
    /// Returns the number of the last entry up to which the candidate has this log. If `entries` is empty,
    /// this is the last entry in the candidate's committed log.
    fn reached(&self, log: &CommittedLog) -> u64 {
        self.entries.last().map_or(log.number(), Entry::number)
    }
}

/// State of a candidate: a replica that has chosen an epoch and waits until a majority has promised it.
#[derive(Debug)]
pub(super) struct Candidate {
    /// Promises received, by the name of the replica that made the promise. Includes the candidate's promise
    /// to itself.
    promises: BTreeMap<String, PromisedLog>,
    /// Time at which the candidate last sent requests for promises.
    requested_at: Nanos,
    /// Number of times that the candidate has repeated its requests for promises.
    repeats: u32,
}

impl Candidate {
    /// Returns the time at which the candidate repeats its requests for promises, in Unix nanoseconds.
    pub(super) fn next_due(&self) -> Nanos {
        self.requested_at + REPEAT_AFTER_NS
    }
}

/// A replica's answer to a request for a promise. The fields are those of [`Message::Promise`].
pub(super) struct Promise {
    pub(super) epoch: u64,
    pub(super) last: Position,
    pub(super) after: u64,
    pub(super) entries: Vec<Entry>,
}

/// The configuration at the end of a log. The last change in the log may be incomplete.
struct LogEnd {
    /// The configuration after the last entry of the log.
    state: State,
    /// Changes that undo the last change if only some of its entries are in the log. Empty if the last change
    /// is complete.
    undo: Vec<Change>,
}

impl Replica {
    /// Returns the next epoch that this replica may choose in an election. Each of the `n` replicas uses
    /// every n-th number, so two replicas never choose the same epoch.
    fn next_epoch(&self) -> u64 {
        let count = self.replicas.len() as u64;
        let own = self.replicas.iter().position(|replica| *replica == self.name).unwrap_or(0) as u64;
        (self.promised / count + 1) * count + own
    }

    /// Starts an election as the candidate. Chooses a new epoch, promises it to itself, and requests promises
    /// from the other replicas.
    pub(super) fn campaign(&mut self, now: Nanos, log: &CommittedLog) {
        self.promised = self.next_epoch();
        self.is_unsaved = true;
        let own = PromisedLog { last: self.last_position(log), entries: self.uncommitted.clone() };
        let promises = BTreeMap::from([(self.name.clone(), own)]);
        self.role = Role::Candidate(Candidate { promises, requested_at: now, repeats: 0 });
        self.send_prepares(log);
        self.lead_if_promised(now, log);
    }

    /// Repeats the requests for promises, if a repetition is due. After [`REPEATS_MAX`] repetitions, makes
    /// the replica a follower instead, which ends this election.
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

    /// Sends requests to the replicas that still have to answer in this election. A replica that has not
    /// promised gets a request for a promise. A replica that has promised, but not yet sent its whole log,
    /// gets a request for the rest.
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

    /// Records a replica's promise and the log entries that came with it. If the candidate does not have the
    /// replica's whole log yet, requests the rest.
    pub(super) fn on_promise(&mut self, now: Nanos, from: &str, promise: Promise, log: &CommittedLog) {
        let Role::Candidate(candidate) = &mut self.role else { return };
        let Promise { epoch, last, after, entries } = promise;
        if epoch != self.promised {
            return;
        }
        let empty = || PromisedLog { last, entries: Vec::new() };
        let known = candidate.promises.entry(from.to_string()).or_insert_with(empty);
        if known.last != last {
            // The log of the replica `from` now ends at another position than in its previous message,
            // because committed entries have replaced uncommitted ones. Discard the entries received so far,
            // and request the log again.
            *known = empty();
        }
        if after == known.reached(log) {
            known.entries.extend(entries);
        }
        // Some of the received entries may have been committed in the meantime. Drop them, because the
        // committed log contains them.
        known.entries.retain(|entry| entry.number() > log.number());
        self.send_prepares(log);
        self.lead_if_promised(now, log);
    }

    /// Makes the candidate the leader once two conditions hold: a majority has promised, and the most
    /// advanced log has been received completely. Among the replicas that have promised, the most advanced
    /// log is the one with the highest last position.
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
        // The leader appends an entry of its own epoch at once, because entries of earlier epochs can be
        // committed only together with such an entry (Raft, section 5.4.2). The new entry also undoes a
        // change that the previous leader left incomplete.
        self.append_parts(split(undo), log);
        self.replicate(now, log);
    }

    /// Returns the configuration at the end of this replica's log, including uncommitted entries.
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
