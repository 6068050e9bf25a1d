//! Leader role of a replica: appends entries, replicates them, and determines which are committed (Paxos
//! phase 2, Raft log replication).

use super::{ProposeError, REPEAT_AFTER_NS, Replica, Role};
use crate::change::Change;
use crate::committed_log::CommittedLog;
use crate::entry::{Entry, split};
use crate::message::Message;
use crate::revision::{Position, Revision};
use crate::state::{KEYS_MAX, State};
use crate::time::{Nanos, SECOND_NS};
use std::collections::BTreeMap;

/// Maximum number of uncommitted entries; further changes are rejected as [`ProposeError::Busy`].
const UNCOMMITTED_MAX: usize = 128;
/// Interval after which the leader sends a replica a message even if the replica lacks no entries.
const HEARTBEAT_NS: Nanos = SECOND_NS;

/// Replication progress of one replica, as known to the leader.
#[derive(Debug, Default)]
struct FollowerProgress {
    /// Number up to which the replica has stored the leader's log; for the leader itself, the number up to
    /// which its log is on disk.
    matched: Option<u64>,
    /// When entries were last sent to the replica; `None` if a message is to be sent at once.
    sent_at: Option<Nanos>,
}

/// State of a replica in the leader role.
#[derive(Debug)]
pub(super) struct Leader {
    /// Progress by replica name, including the leader's own.
    progress: BTreeMap<String, FollowerProgress>,
    /// State after the last entry of the leader's log.
    end_state: State,
    /// Number of the last entry that this leader appended.
    last_number: u64,
}

impl Leader {
    /// Creates the leader state for a log that ends with the state `end_state`.
    pub(super) fn new(end_state: State) -> Leader {
        Leader { progress: BTreeMap::new(), end_state, last_number: 0 }
    }

    fn progress_mut(&mut self, replica: &str) -> &mut FollowerProgress {
        self.progress.entry(replica.to_string()).or_default()
    }

    fn matched(&self, replica: &str) -> Option<u64> {
        self.progress.get(replica)?.matched
    }

    /// Records that a replica has stored the leader's log up to `number`.
    pub(super) fn set_matched(&mut self, replica: &str, number: u64) {
        self.progress_mut(replica).matched = Some(number);
    }

    /// When the next message to a replica is due, in nanoseconds: [`REPEAT_AFTER_NS`] after the last
    /// message if the replica lacks entries, otherwise [`HEARTBEAT_NS`] after the last message; 0
    /// means now.
    pub(super) fn next_due(&self, replica: &str) -> Nanos {
        let Some(progress) = self.progress.get(replica) else { return 0 };
        let Some(sent_at) = progress.sent_at else { return 0 };
        let is_complete = progress.matched.is_some_and(|matched| matched >= self.last_number);
        sent_at + if is_complete { HEARTBEAT_NS } else { REPEAT_AFTER_NS }
    }
}

impl Replica {
    /// Appends a change to the log and sends it to the other replicas. Returns the number of the change's
    /// last entry; the change is committed under this number if this replica remains the leader.
    ///
    /// # Errors
    /// If this replica is not the leader, too many entries are uncommitted, or the change is out of bounds.
    pub fn propose(
        &mut self,
        changes: Vec<Change>,
        now: Nanos,
        log: &CommittedLog,
    ) -> Result<u64, ProposeError> {
        let Role::Leader(leader) = &self.role else { return Err(ProposeError::NotLeader) };
        changes.iter().try_for_each(Change::check)?;
        let mut end_state = leader.end_state.clone();
        end_state.apply(&changes);
        if end_state.len() > KEYS_MAX {
            return Err(ProposeError::TooManyKeys { keys: end_state.len() });
        }
        let parts = split(changes);
        if self.uncommitted.len() + parts.len() > UNCOMMITTED_MAX {
            return Err(ProposeError::Busy);
        }
        self.append_parts(parts, log);
        // Make a message to each replica due, so that the new entries are sent at once and not with the next
        // heartbeat.
        if let Role::Leader(leader) = &mut self.role {
            leader.progress.values_mut().for_each(|progress| progress.sent_at = None);
        }
        self.replicate(now, log);
        Ok(self.last_position(log).number)
    }

    /// Appends one entry for each part of a change; all entries but the last are marked partial.
    pub(super) fn append_parts(&mut self, parts: Vec<Vec<Change>>, log: &CommittedLog) {
        let count = parts.len();
        for (part, changes) in (1..).zip(parts) {
            self.append_entry(changes, part < count, log);
        }
    }

    /// Appends one entry in this leader's epoch.
    fn append_entry(&mut self, changes: Vec<Change>, partial: bool, log: &CommittedLog) {
        let number = self.last_position(log).number + 1;
        let position = Position { epoch: self.promised, number };
        let Role::Leader(leader) = &mut self.role else { return };
        leader.end_state.apply(&changes);
        leader.last_number = number;
        let revision = Revision { position, hash: leader.end_state.hash() };
        self.uncommitted.push(Entry { revision, changes, partial });
        self.is_unsaved = true;
    }

    /// Sends the missing entries, or a heartbeat, to each replica whose next message is due.
    pub(super) fn replicate(&mut self, now: Nanos, log: &CommittedLog) {
        let others: Vec<String> = self.others().cloned().collect();
        for replica in others {
            let Role::Leader(leader) = &mut self.role else { return };
            if now < leader.next_due(&replica) {
                continue;
            }
            let progress = leader.progress_mut(&replica);
            progress.sent_at = Some(now);
            let matched = progress.matched.unwrap_or(log.number());
            self.send_append(&replica, matched, log);
        }
    }

    /// Sends a replica the entries after number `matched`, up to which the replica's log is known to match
    /// the leader's log.
    fn send_append(&mut self, replica: &str, matched: u64, log: &CommittedLog) {
        // If the replica lags behind the oldest entry held here, send only the uncommitted entries: like
        // every member, the replica receives committed entries by gossip.
        let matched = if self.position(matched, log).is_some() { matched } else { log.number() };
        let Some(previous) = self.position(matched, log) else { return };
        let entries = self.entries_after(matched, log);
        let (epoch, committed) = (self.promised, log.number());
        self.send(replica, Message::Append { epoch, previous, entries, committed });
    }

    /// Returns, in order, the entries that have become committed but are not in the committed log yet.
    /// Returns none if this replica is not the leader.
    ///
    /// An entry of an earlier epoch is not committed by being stored on a majority, since a leader with a
    /// different entry from an epoch in between may still replace it. Such an entry is committed together
    /// with the first entry of this leader's own epoch.
    pub fn newly_committed(&self, log: &CommittedLog) -> Vec<Entry> {
        let Role::Leader(leader) = &self.role else { return Vec::new() };
        let matched = |replica: &String| leader.matched(replica).unwrap_or(0);
        let mut stored: Vec<u64> = self.replicas.iter().map(matched).collect();
        stored.sort_unstable_by(|a, b| b.cmp(a));
        let by_majority = stored[self.majority() - 1];
        let is_own = |position: Position| position.epoch == self.promised;
        if !self.position(by_majority, log).is_some_and(is_own) {
            return Vec::new();
        }
        let is_stored = |entry: &&Entry| entry.number() <= by_majority;
        self.uncommitted.iter().take_while(is_stored).cloned().collect()
    }

    /// Handles a replica's acknowledgement that it has stored entries, and sends it the next missing entries
    /// at once.
    pub(super) fn on_appended(
        &mut self,
        now: Nanos,
        from: &str,
        epoch: u64,
        number: u64,
        log: &CommittedLog,
    ) {
        let last = self.last_position(log).number;
        let Role::Leader(leader) = &mut self.role else { return };
        if epoch != self.promised || number > last {
            return;
        }
        let progress = leader.progress_mut(from);
        let matched = progress.matched.unwrap_or(0).max(number);
        progress.matched = Some(matched);
        if matched < last {
            progress.sent_at = Some(now);
            self.send_append(from, matched, log);
        }
    }

    /// Handles a rejection from a replica that lacks the entry preceding those that were sent: sends the
    /// entries after `matched` instead, which is a lower number.
    pub(super) fn on_append_rejected(&mut self, from: &str, epoch: u64, matched: u64, log: &CommittedLog) {
        // If the leader no longer holds the entry at `matched`, the replica catches up by gossip and the next
        // heartbeat succeeds.
        let is_held = self.position(matched, log).is_some();
        if epoch == self.promised && self.is_leader() && is_held {
            self.send_append(from, matched, log);
        }
    }
}
