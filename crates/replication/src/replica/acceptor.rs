//! Acceptor role of a replica: it promises epochs to candidates for leadership and stores the leader's
//! entries.

use super::{Replica, Role};
use crate::committed_log::CommittedLog;
use crate::entry::Entry;
use crate::message::Message;
use crate::revision::Position;

/// A request from the leader to store log entries. The fields are those of [`Message::Append`].
pub(super) struct AppendRequest {
    pub(super) epoch: u64,
    pub(super) previous: Position,
    pub(super) entries: Vec<Entry>,
    pub(super) committed: u64,
}

impl Replica {
    /// Handles a candidate's request for a promise. Promises the candidate's epoch, and sends the candidate
    /// the log entries after number `after`. If this replica has already promised a later epoch, rejects the
    /// request.
    pub(super) fn on_prepare(&mut self, from: &str, epoch: u64, after: u64, log: &CommittedLog) {
        if epoch < self.promised {
            return self.send(from, Message::EpochRejected { promised: self.promised });
        }
        self.adopt_epoch(epoch);
        // Send no promise if this replica no longer holds entry number `after`. In this case, this replica
        // may also lack later entries, which the candidate requests. The candidate receives these entries by
        // gossip, and then repeats its request with a higher `after`.
        if self.position(after, log).is_none() && after < log.number() {
            return;
        }
        let last = self.last_position(log);
        let entries = self.entries_after(after, log);
        self.send(from, Message::Promise { epoch, last, after, entries });
    }

    /// Stores entries that the leader sent. Returns the stored entries that the leader reports as committed,
    /// in ascending order.
    pub(super) fn on_append(&mut self, from: &str, request: AppendRequest, log: &CommittedLog) -> Vec<Entry> {
        let AppendRequest { epoch, previous, entries, committed } = request;
        if epoch < self.promised {
            self.send(from, Message::EpochRejected { promised: self.promised });
            return Vec::new();
        }
        self.adopt_epoch(epoch);
        self.role = Role::Follower;
        if !self.holds(previous, log) {
            let last = self.last_position(log).number;
            let matched = last.min(previous.number.saturating_sub(1)).max(log.number());
            self.send(from, Message::AppendRejected { epoch, matched });
            return Vec::new();
        }
        let matched = self.store_entries(previous.number, entries, log).max(log.number());
        self.send(from, Message::Appended { epoch, number: matched });
        let committed = committed.min(matched);
        let is_committed = |entry: &&Entry| entry.number() <= committed;
        self.uncommitted.iter().take_while(is_committed).cloned().collect()
    }

    /// Returns whether this replica's log has an entry at `position`. If the entry is committed, only its
    /// number is compared: committed entries are the same on all replicas.
    fn holds(&self, position: Position, log: &CommittedLog) -> bool {
        let is_committed = position.number <= log.number();
        let agrees = is_committed || self.position(position.number, log) == Some(position);
        agrees && position.number <= self.last_position(log).number
    }

    /// Stores the leader's entries, which directly follow entry number `previous`. Returns the number of the
    /// last entry up to which this replica's log is equal to the leader's log.
    fn store_entries(&mut self, previous: u64, entries: Vec<Entry>, log: &CommittedLog) -> u64 {
        let mut matched = previous;
        for entry in entries {
            let number = entry.number();
            if number != matched + 1 || !entry.is_within_bounds() {
                break;
            }
            matched = number;
            if number <= log.number() || self.position(number, log) == Some(entry.position()) {
                continue;
            }
            // If an entry with this number is stored, it differs from the leader's entry. Drop it and all
            // entries after it. None of the dropped entries was ever committed.
            self.uncommitted.truncate((number - log.number() - 1) as usize);
            self.uncommitted.push(entry);
            self.is_unsaved = true;
        }
        matched
    }
}
