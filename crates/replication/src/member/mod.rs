//! One member of the fleet: the state machine for replication that every server runs. A member holds the end
//! of the committed log and spreads it by gossip. If it lags too far to receive the missing entries, it
//! fetches a checkpoint. It passes complete revisions to its host, and reports the applied revisions to the
//! leader. On a control machine it also runs a [`Replica`].
//!
//! The host calls [`Member::receive`] for each message and [`Member::advance`] at [`Member::next_due`]. After
//! each call the host writes [`Member::unsaved_state`] to disk, applies [`Member::next_to_apply`], and sends
//! the messages of [`Member::take_outgoing`].

mod applier;
mod control;
mod gossip;
mod operator;
mod reports;
mod settings;
mod snapshot_fetch;

use crate::change::Change;
use crate::committed_log::{AppendOutcome, CommittedLog};
use crate::entry::Entry;
use crate::message::{Freshness, Message, Rejection};
use crate::peers::Peers;
use crate::persistence::PersistedState;
use crate::progress::{LaggingMember, ProgressTracker};
use crate::replica::{ProposeError, Replica};
use crate::revision::Revision;
use crate::snapshot::Snapshot;
use crate::snapshot_transfer::SnapshotTransfer;
use crate::time::{MILLISECOND_NS, Nanos};
use applier::Applier;
use control::Control;
use meadowstream_rate_limit::SlidingWindow;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use reports::REPORT_INTERVAL_NS;
pub use settings::{Settings, SettingsError};
use std::sync::Arc;

/// The byte budget of a control machine is this many times the budget of a server. A control machine only
/// keeps the log, so replication has no other traffic there to compete with.
const CONTROL_BYTES_FACTOR: u64 = 16;

/// Counters of one member since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Counts {
    /// Number of messages sent.
    pub sent: u64,
    /// Total size of the messages sent, in bytes, without the headers that the datagram layer adds.
    pub sent_bytes: u64,
    /// Number of messages that were not sent because the byte budget was used up.
    pub over_budget: u64,
    /// Number of received messages that could not be decoded or that exceeded a limit.
    pub malformed: u64,
    /// Number of received entries and checkpoints that were invalid, for example because their content did
    /// not match their hash.
    pub mismatched: u64,
    /// Number of checkpoint transfers that this member has started.
    pub transfers: u64,
    /// Number of received parts of operators' changes that were rejected, because too many changes were
    /// incomplete.
    pub incomplete_rejected: u64,
}

/// How a member learned that entries of the log are committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EntrySource {
    /// This member's replica, as the leader, found that a majority of the replicas has stored the entries.
    OwnMajority,
    /// Another member sent the entries as committed, by gossip or as the leader.
    OtherMember,
}

/// An encoded message that is to be sent to another member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Name of the receiving member.
    pub to: String,
    /// The encoded message.
    pub body: Vec<u8>,
}

/// One member of the fleet.
pub struct Member {
    name: String,
    settings: Settings,
    log: CommittedLog,
    peers: Peers,
    /// Limits the bytes sent per second. Messages between replicas are exempt from the limit.
    budget: SlidingWindow,
    /// The checkpoint transfer that this member is receiving, if any.
    transfer: Option<SnapshotTransfer>,
    /// Earliest time of the next request for a chunk of a checkpoint, in Unix nanoseconds. Set to a later
    /// time when the byte budget is used up.
    chunk_due: Nanos,
    /// The state of a control machine; `None` on a server, which has no replica.
    control: Option<Control>,
    /// The newest freshness statement that this member has adopted. Such a statement gives the number of the
    /// last entry in the leader's committed log at a given time. A member adopts a statement only if its own
    /// log has all entries up to the number in the statement.
    freshness: Freshness,
    applier: Applier,
    /// Name of the last known leader.
    leader: Option<String>,
    /// Time of the next pull. In a pull, this member sends a digest of its log to a random member, which
    /// answers with missing entries.
    pull_due: Nanos,
    /// Time at which this member next reports to the leader which revisions it has applied or rejected.
    report_due: Nanos,
    outgoing: Vec<Outgoing>,
    /// Counters since the start.
    pub counts: Counts,
    rng: ChaCha8Rng,
}

impl Member {
    /// Creates a member. `disk` is the state read from the member's disk. If it is `None`, the member starts
    /// with an empty log. The state on disk is one that [`Member::unsaved_state`] or
    /// [`Member::state_to_persist`] returned before the restart. On a server, the state always comes from
    /// [`Member::state_to_persist`].
    ///
    /// # Errors
    /// Returns an error if a setting is invalid.
    pub fn new(
        name: &str,
        settings: Settings,
        seed: u64,
        now: Nanos,
        disk: Option<PersistedState>,
    ) -> Result<Member, SettingsError> {
        settings.check()?;
        let is_replica = settings.replicas.iter().any(|replica| replica == name);
        let mut replica = Replica::new(name, settings.replicas.clone());
        let mut log = CommittedLog::default();
        if let Some(PersistedState { promised, committed, entries }) = disk {
            log = CommittedLog::from_snapshot(committed);
            replica.restore(promised, entries);
        }
        let control = is_replica.then(|| Control::new(replica, log.number(), now));
        let bytes_factor = if is_replica { CONTROL_BYTES_FACTOR } else { 1 };
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // The time of the first pull is random. Otherwise, members that start together would all pull at the
        // same times.
        let first_pull = rng.next_u64() % settings.pull_period;
        Ok(Member {
            name: name.to_string(),
            peers: Peers::new(name),
            budget: SlidingWindow::new(settings.bytes_per_second * bytes_factor, now),
            transfer: None,
            chunk_due: 0,
            control,
            freshness: Freshness::default(),
            applier: Applier::new(log.number() > 0),
            leader: None,
            pull_due: now + first_pull,
            report_due: now + REPORT_INTERVAL_NS,
            outgoing: Vec::new(),
            counts: Counts::default(),
            rng,
            settings,
            log,
        })
    }

    /// Returns the revision at the end of the committed log, as far as this member has it.
    pub fn revision(&self) -> Revision {
        self.log.revision()
    }

    /// Returns the part of the committed log that this member holds.
    pub fn log(&self) -> &CommittedLog {
        &self.log
    }

    /// Returns the number of the last revision that the host has applied since the start; 0 if it has applied
    /// none.
    pub fn applied(&self) -> u64 {
        self.applier.applied()
    }

    /// Returns the last revision that the host rejected. Returns `None` if the host has rejected none, or has
    /// since applied a later revision.
    pub fn rejected(&self) -> Option<&Rejection> {
        self.applier.rejected()
    }

    /// Returns whether this member is the leader, which appends changes to the replicated log.
    pub fn is_leader(&self) -> bool {
        self.control.as_ref().is_some_and(|control| control.replica.is_leader())
    }

    /// Returns whether this member is a control machine, which keeps a replica of the log.
    pub fn is_replica(&self) -> bool {
        self.control.is_some()
    }

    /// Returns the name of the last known leader; `None` if no leader was known since the start.
    pub fn leader(&self) -> Option<&str> {
        self.leader.as_deref()
    }

    /// Returns the longest time for which this member may have missed a new revision, in nanoseconds. This is
    /// the time since the latest freshness statement of the leader that this member has adopted. A member
    /// adopts a statement only if it holds all entries up to the number in the statement. Returns `None` if
    /// this member has adopted no statement yet. The statement has the time of the leader's clock, so the
    /// result includes the difference between the clocks of this member and the leader. The result is never
    /// negative.
    pub fn age(&self, now: Nanos) -> Option<Nanos> {
        let stated_at = self.freshness.at_ms * MILLISECOND_NS;
        (stated_at > 0).then(|| now.saturating_sub(stated_at))
    }

    fn progress(&self) -> Option<&ProgressTracker> {
        self.control.as_ref().map(|control| &control.progress)
    }

    /// Returns the number of other members that participate in replication, as far as this control machine
    /// knows. Returns 0 on a server.
    pub fn members(&self) -> usize {
        self.members_except(&self.name)
    }

    fn members_except(&self, name: &str) -> usize {
        let others = self.peers.others().filter(|other| *other != name);
        self.progress().map_or(0, |progress| progress.count(others))
    }

    /// Returns the other members that have not applied the newest revision, according to their reports to
    /// this control machine. The list is empty on a server.
    pub fn lagging(&self) -> Vec<LaggingMember> {
        let newest = self.log.complete().number();
        self.progress().map_or(Vec::new(), |progress| progress.lagging(self.peers.others(), newest))
    }

    /// Returns the members that are away and had not applied the newest revision when they last reported to
    /// this control machine. The list is empty on a server.
    pub fn away(&self) -> Vec<LaggingMember> {
        let newest = self.log.complete().number();
        let is_away = |name: &str| self.peers.is_away(name);
        self.progress().map_or(Vec::new(), |progress| progress.away(is_away, newest))
    }

    /// Returns the number of key-value pairs received so far in the checkpoint transfer in progress; `None`
    /// if no transfer is in progress.
    pub fn transferred_pairs(&self) -> Option<usize> {
        self.transfer.as_ref().map(SnapshotTransfer::pairs)
    }

    /// Sets whether this control machine holds the leadership lease. The holder of the lease is entitled to
    /// lead the replicated log. Does nothing on a server.
    pub fn set_holds_lease(&mut self, holds: bool) {
        if let Some(control) = &mut self.control {
            control.replica.set_holds_lease(holds);
        }
    }

    /// Appends a change to the replicated log. Returns the number of the change's last entry. If this member
    /// remains the leader, the change will be committed under this number.
    ///
    /// # Errors
    /// Returns an error if this member is not the leader, or if the change cannot be appended.
    pub fn propose(&mut self, changes: Vec<Change>, now: Nanos) -> Result<u64, ProposeError> {
        let control = self.control.as_mut().ok_or(ProposeError::NotLeader)?;
        let number = control.replica.propose(changes, now, &self.log);
        self.advance_commit(now);
        number
    }

    /// Returns the revision that the host is to check and apply now, if any. Each revision is returned only
    /// once. The host answers with [`Member::on_applied`] or [`Member::on_rejected`], and only then receives
    /// the next revision.
    pub fn next_to_apply(&mut self) -> Option<Snapshot> {
        self.applier.next(&self.log)
    }

    /// Performs all work that is due at the time `now`. `alive` is the sorted list of the names of the alive
    /// members.
    pub fn advance(&mut self, now: Nanos, alive: &Arc<Vec<String>>) {
        self.peers.set_alive(alive, now);
        self.advance_control(now);
        if now >= self.pull_due {
            let period = self.settings.pull_period;
            self.pull_due = now + period * 3 / 4 + self.rng.next_u64() % (period / 2);
            self.pull(now);
        }
        if now >= self.report_due {
            self.report_due = now + REPORT_INTERVAL_NS;
            self.send_report(now);
        }
        self.fetch_chunk(now);
    }

    /// Returns the time at which [`Member::advance`] is to be called next, in nanoseconds. If the time is in
    /// the past, the call is due now.
    pub fn next_due(&self) -> Nanos {
        let mut due = self.pull_due.min(self.report_due);
        if let Some(transfer) = &self.transfer {
            due = due.min(transfer.next_due().max(self.chunk_due));
        }
        if let Some(control) = &self.control {
            due = due.min(control.next_due());
        }
        due
    }

    /// Appends committed entries to the log. Returns whether any entry was new. If the source is
    /// [`EntrySource::OwnMajority`] and this member is the leader, also pushes the new entries to other
    /// members.
    fn append_committed(&mut self, now: Nanos, entries: &[Entry], source: EntrySource) -> bool {
        let mut appended: Vec<Entry> = Vec::new();
        for entry in entries {
            match self.log.append(entry) {
                Ok(AppendOutcome::Appended) => appended.push(entry.clone()),
                Ok(AppendOutcome::Known) => {}
                Ok(AppendOutcome::Gap) => break,
                Err(_) => {
                    self.counts.mismatched += 1;
                    break;
                }
            }
        }
        if appended.is_empty() {
            return false;
        }
        if let Some(control) = &mut self.control {
            control.replica.follow(&self.log);
            control.progress.on_commit(self.log.complete().number(), now);
        }
        if source == EntrySource::OwnMajority && self.is_leader() {
            self.push_to_each_zone(&appended, now);
        }
        true
    }

    /// Queues a message for sending. If the byte budget is used up, drops the message and counts it instead.
    fn send(&mut self, to: &str, message: &Message, now: Nanos) {
        let body = message.encode();
        if !self.budget.try_acquire(body.len() as u64, now) {
            self.counts.over_budget += 1;
            return;
        }
        self.send_unlimited(to, body);
    }

    fn send_unlimited(&mut self, to: &str, body: Vec<u8>) {
        self.counts.sent += 1;
        self.counts.sent_bytes += body.len() as u64;
        self.outgoing.push(Outgoing { to: to.to_string(), body });
    }

    /// Removes and returns the messages queued for sending.
    pub fn take_outgoing(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.outgoing)
    }

    /// Handles a message that was received from an authenticated member. A message that cannot be decoded or
    /// that exceeds a limit is counted and otherwise ignored.
    pub fn receive(&mut self, now: Nanos, from: &str, body: &[u8]) {
        let Some(message) = Message::decode(body) else {
            self.counts.malformed += 1;
            return;
        };
        match message {
            Message::Digest { .. }
            | Message::Entries { .. }
            | Message::SnapshotOffer { .. }
            | Message::FetchChunk { .. }
            | Message::SnapshotChunk { .. } => self.on_gossip(now, from, message),
            Message::Report { report, location } => {
                self.peers.record_location(from, &location);
                self.on_report(from, report);
            }
            Message::PollReport => {
                self.leader = Some(from.to_string());
                self.send_report(now);
            }
            Message::Submit { .. }
            | Message::Revert { .. }
            | Message::Submitted { .. }
            | Message::NotLeader { .. }
            | Message::PollStatus { .. }
            | Message::Status { .. } => self.on_operator_request(now, from, message),
            Message::Prepare { .. }
            | Message::Promise { .. }
            | Message::EpochRejected { .. }
            | Message::Append { .. }
            | Message::Appended { .. }
            | Message::AppendRejected { .. } => self.on_replica_message(now, from, message),
        }
    }
}
