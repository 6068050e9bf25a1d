//! Leader role of a replica. The leader appends entries, sends them to the other replicas, and determines
//! which entries are committed (Paxos phase 2, Raft log replication).

use super::{ProposeError, REPEAT_AFTER_NS, Replica, Role};
use crate::change::Change;
use crate::committed_log::CommittedLog;
use crate::entry::{Entry, split};
use crate::message::Message;
use crate::revision::{Position, Revision};
use crate::state::{KEYS_MAX, State};
use crate::time::{Nanos, SECOND_NS};
use std::collections::BTreeMap;

/// Maximum number of uncommitted entries in the leader's log. A change that would exceed this maximum is
/// rejected as [`ProposeError::Busy`].
const UNCOMMITTED_MAX: usize = 128;
/// Maximum time between two messages of the leader to the same replica. If the replica lacks no entries, the
/// message is a heartbeat without entries.
const HEARTBEAT_NS: Nanos = SECOND_NS;

/// How far a replica has stored the leader's log, as known to the leader.
#[derive(Debug, Default)]
struct FollowerProgress {
    /// Number of the last entry up to which the replica has stored the leader's log; `None` if not known yet.
    /// For the leader itself, the number of the last entry that is on its own disk.
    matched: Option<u64>,
    /// Time at which the leader last sent a message to the replica. `None` if a message is to be sent at
    /// once.
    sent_at: Option<Nanos>,
}

/// The state that a replica has only while it is the leader.
#[derive(Debug)]
pub(super) struct Leader {
    /// How far each replica has stored the leader's log, by the name of the replica. The leader itself is
    /// included.
    progress: BTreeMap<String, FollowerProgress>,
    /// The configuration after the last entry of the leader's log, including uncommitted entries.
    end_state: State,
    /// Number of the last entry that this replica has appended as the leader; 0 if none yet.
    last_number: u64,
}

impl Leader {
    /// Creates the state of a new leader. `end_state` is the configuration after the last entry of its log.
    pub(super) fn new(end_state: State) -> Leader {
        Leader { progress: BTreeMap::new(), end_state, last_number: 0 }
    }

    fn progress_mut(&mut self, replica: &str) -> &mut FollowerProgress {
        self.progress.entry(replica.to_string()).or_default()
    }

    fn matched(&self, replica: &str) -> Option<u64> {
        self.progress.get(replica)?.matched
    }

    /// Records that a replica has stored all entries of the leader's log up to `number`.
    pub(super) fn set_matched(&mut self, replica: &str, number: u64) {
        self.progress_mut(replica).matched = Some(number);
    }

    /// Returns the time at which the next message to a replica is due, in nanoseconds; 0 means now. If the
    /// replica lacks entries, the next message is due [`REPEAT_AFTER_NS`] after the last one, otherwise
    /// [`HEARTBEAT_NS`] after the last one.
    pub(super) fn next_due(&self, replica: &str) -> Nanos {
        let Some(progress) = self.progress.get(replica) else { return 0 };
        let Some(sent_at) = progress.sent_at else { return 0 };
        let is_complete = progress.matched.is_some_and(|matched| matched >= self.last_number);
        sent_at + if is_complete { HEARTBEAT_NS } else { REPEAT_AFTER_NS }
    }
}

impl Replica {
    /// Appends a change to the log and sends it to the other replicas. Returns the number of the change's
    /// last entry. If this replica remains the leader, the change will be committed under this number.
    ///
    /// # Errors
    /// Returns an error if this replica is not the leader, if too many entries are uncommitted, or if the
    /// change exceeds a limit.
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
        // Mark a message to each replica as due now. Otherwise, the new entries would be sent only with the
        // next heartbeat.
        if let Role::Leader(leader) = &mut self.role {
            leader.progress.values_mut().for_each(|progress| progress.sent_at = None);
        }
        self.replicate(now, log);
        Ok(self.last_position(log).number)
    }

    /// Appends one entry for each part of a change. All entries except the last are marked as partial.
    pub(super) fn append_parts(&mut self, parts: Vec<Vec<Change>>, log: &CommittedLog) {
        let count = parts.len();
        for (part, changes) in (1..).zip(parts) {
            self.append_entry(changes, part < count, log);
        }
    }

    /// Appends one entry to the log, with the epoch of this leader.
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

    /// Sends a message to each replica whose next message is due. The message contains the entries that the
    /// replica lacks; without entries, the message is a heartbeat.
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

    /// Sends a replica the entries after number `matched`, as many as fit into one message. The replica
    /// rejects the message if its log does not contain the entry directly before these entries.
    fn send_append(&mut self, replica: &str, matched: u64, log: &CommittedLog) {
        // If the leader no longer holds entry number `matched`, send only the uncommitted entries. The
        // replica receives the missing committed entries by gossip, like every member.
        let matched = if self.position(matched, log).is_some() { matched } else { log.number() };
        let Some(previous) = self.position(matched, log) else { return };
        let entries = self.entries_after(matched, log);
        let (epoch, committed) = (self.promised, log.number());
        self.send(replica, Message::Append { epoch, previous, entries, committed });
    }

    /// Returns the entries that have become committed but are not in the committed log yet, in ascending
    /// order. Returns no entries if this replica is not the leader.
    ///
    /// An entry of an earlier epoch is not committed just because a majority has stored it: a leader with a
    /// different entry, from an epoch in between, could still replace it. The entry is committed together
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

    /// Handles a replica's confirmation that it has stored entries. If the replica lacks further entries,
    /// sends them at once.
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

    /// Handles a replica's rejection of entries. A replica rejects entries if its log lacks the entry
    /// directly before the first of them. Sends the entries after the lower number `matched` instead. Up to
    /// this number, the replica's log may be equal to the leader's log.
    pub(super) fn on_append_rejected(&mut self, from: &str, epoch: u64, matched: u64, log: &CommittedLog) {
        // If the leader no longer holds the entry at `matched`, send nothing: the replica catches up by
        // gossip, and accepts a later heartbeat.
        let is_held = self.position(matched, log).is_some();
        if epoch == self.promised && self.is_leader() && is_held {
            self.send_append(from, matched, log);
        }
    }
}
