//! The leader's part: appending entries, replicating them, and counting which are committed (phase 2 of
//! Paxos, log replication of Raft).

use super::{ProposeError, REPEAT_AFTER_NS, Replica, Role};
use crate::change::Change;
use crate::committed_log::CommittedLog;
use crate::entry::{Entry, split};
use crate::message::Message;
use crate::revision::{Position, Revision};
use crate::state::{KEYS_MAX, State};
use crate::time::{Nanos, SECOND_NS};
use std::collections::BTreeMap;

/// Most entries that wait for a majority.
const UNCOMMITTED_MAX: usize = 128;
/// Each replica is sent a message this often at the least.
const HEARTBEAT_NS: Nanos = SECOND_NS;

/// What the leader knows of one replica.
#[derive(Debug, Default)]
struct FollowerProgress {
    /// The replica has stored the leader's log up to this number. The leader's own is what it has on disk.
    matched: Option<u64>,
    /// When it was last sent entries; `None` where new entries wait to be sent.
    sent_at: Option<Nanos>,
}

/// The state of a replica that leads.
#[derive(Debug)]
pub(super) struct Leader {
    /// By the name of the replica; the leader's own included.
    progress: BTreeMap<String, FollowerProgress>,
    /// Content after the last entry of its log.
    end_state: State,
    /// Number of the last entry that it appended.
    last_number: u64,
}

impl Leader {
    /// A leader whose log ends with this content.
    pub(super) fn new(end_state: State) -> Leader {
        Leader { progress: BTreeMap::new(), end_state, last_number: 0 }
    }

    fn progress_mut(&mut self, replica: &str) -> &mut FollowerProgress {
        self.progress.entry(replica.to_string()).or_default()
    }

    fn matched(&self, replica: &str) -> Option<u64> {
        self.progress.get(replica)?.matched
    }

    /// A replica has stored the leader's log up to a number.
    pub(super) fn set_matched(&mut self, replica: &str, number: u64) {
        self.progress_mut(replica).matched = Some(number);
    }

    /// When a replica is to be sent to again, in nanoseconds: soon where it lacks entries, else for a
    /// heartbeat; 0 for at once.
    pub(super) fn next_due(&self, replica: &str) -> Nanos {
        let Some(progress) = self.progress.get(replica) else { return 0 };
        let Some(sent_at) = progress.sent_at else { return 0 };
        let is_complete = progress.matched.is_some_and(|matched| matched >= self.last_number);
        sent_at + if is_complete { HEARTBEAT_NS } else { REPEAT_AFTER_NS }
    }
}

impl Replica {
    /// Appends a change to the log and sends it to the other replicas. Returns the number that it is
    /// committed at, if this replica stays the leader.
    ///
    /// # Errors
    /// Where this replica does not lead, too many entries wait for a majority, or the change is out of
    /// bounds.
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
        // New entries are sent at once, without waiting for the next heartbeat.
        if let Role::Leader(leader) = &mut self.role {
            leader.progress.values_mut().for_each(|progress| progress.sent_at = None);
        }
        self.replicate(now, log);
        Ok(self.last_position(log).number)
    }

    /// Appends the parts of one change, an entry each; all but the last are partial.
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

    /// Sends each replica that is due the entries that it lacks, or a heartbeat.
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

    /// Sends a replica the entries after the number up to which its log is known to match.
    fn send_append(&mut self, replica: &str, matched: u64, log: &CommittedLog) {
        // A replica that lags more than the entries held here is sent the end alone; what is committed comes
        // to it by gossip, as to all members.
        let matched = if self.position(matched, log).is_some() { matched } else { log.number() };
        let Some(previous) = self.position(matched, log) else { return };
        let entries = self.entries_after(matched, log);
        let (epoch, committed) = (self.promised, log.number());
        self.send(replica, Message::Append { epoch, previous, entries, committed });
    }

    /// The uncommitted entries that a majority has stored, in order; none on a follower.
    ///
    /// Copies of an entry of an earlier epoch prove nothing, since a leader with another entry of an epoch
    /// between may replace it. It is committed with the first entry of this leader's own epoch.
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

    /// A replica has stored entries; it is sent the next ones at once.
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

    /// A replica lacks the entry before those sent; it is sent entries from further back.
    pub(super) fn on_append_rejected(&mut self, from: &str, epoch: u64, matched: u64, log: &CommittedLog) {
        // Entries that are not held any more come to it by gossip; the next heartbeat finds it further on.
        let is_held = self.position(matched, log).is_some();
        if epoch == self.promised && self.is_leader() && is_held {
            self.send_append(from, matched, log);
        }
    }
}
