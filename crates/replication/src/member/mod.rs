//! One member of the fleet. It holds the end of the committed log, spreads it by gossip, fetches a checkpoint
//! if it lags too far for single entries, hands complete revisions to its host, and reports the applied
//! revisions to the leader. On a control machine it also drives a [`Replica`].
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

/// Factor by which the byte budget of a control machine exceeds that of a server. A control machine is
/// dedicated to keeping the log, so replication does not compete with a server's traffic there.
const CONTROL_BYTES_FACTOR: u64 = 16;

/// Counters of a member since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Counts {
    /// Messages sent.
    pub sent: u64,
    /// Bytes of the messages sent, without envelopes.
    pub sent_bytes: u64,
    /// Messages not sent because the byte budget was used up.
    pub over_budget: u64,
    /// Received bodies that could not be decoded or were out of bounds.
    pub malformed: u64,
    /// Received entries and checkpoints that were invalid, such as those whose content does not match their
    /// hash.
    pub mismatched: u64,
    /// Checkpoint transfers started.
    pub transfers: u64,
}

/// Source of the committed entries that a member appends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EntrySource {
    /// This member's replica is the leader, and a majority of the replicas has stored the entries.
    OwnMajority,
    /// Another member sent the entries as committed, by gossip or as the leader.
    OtherMember,
}

/// An encoded message to another member.
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
    /// Limits the bytes sent. Messages between replicas are exempt.
    budget: SlidingWindow,
    /// The checkpoint transfer in progress.
    transfer: Option<SnapshotTransfer>,
    /// Earliest time of the next chunk request, in Unix nanoseconds; delays the request when the byte budget
    /// is used up.
    chunk_due: Nanos,
    /// State of a control machine; `None` on a server.
    control: Option<Control>,
    /// The latest of the leader's freshness statements whose log end this member's log has reached.
    freshness: Freshness,
    applier: Applier,
    /// Name of the last known leader.
    leader: Option<String>,
    /// When the next pull (a digest sent to a random member) is due.
    pull_due: Nanos,
    /// When the next report is due.
    report_due: Nanos,
    outgoing: Vec<Outgoing>,
    /// Counters since the start.
    pub counts: Counts,
    rng: ChaCha8Rng,
}

impl Member {
    /// Creates a member that continues from the state read from its disk. The state was returned by
    /// [`Member::unsaved_state`] or [`Member::state_to_persist`] before the restart; a server uses only the
    /// latter.
    ///
    /// # Errors
    /// If a setting is out of bounds.
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
        // A random first pull prevents members that start together from pulling at the same time.
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

    /// Revision of the last committed entry that this member holds.
    pub fn revision(&self) -> Revision {
        self.log.revision()
    }

    /// The part of the committed log that this member holds.
    pub fn log(&self) -> &CommittedLog {
        &self.log
    }

    /// Number of the last revision applied since the start; 0 if none was.
    pub fn applied(&self) -> u64 {
        self.applier.applied()
    }

    /// The last revision that the host rejected; `None` if it rejected none or has since applied a later
    /// revision.
    pub fn rejected(&self) -> Option<&Rejection> {
        self.applier.rejected()
    }

    /// Whether this member is the leader of the log.
    pub fn is_leader(&self) -> bool {
        self.control.as_ref().is_some_and(|control| control.replica.is_leader())
    }

    /// Whether this member is a control machine.
    pub fn is_replica(&self) -> bool {
        self.control.is_some()
    }

    /// Name of the last known leader; `None` if no leader has been known since the start.
    pub fn leader(&self) -> Option<&str> {
        self.leader.as_deref()
    }

    /// Longest time, in nanoseconds, for which this member may have been missing a revision: the time since
    /// the latest freshness statement whose log end this member has reached. `None` before the first such
    /// statement. The statement carries the time of the leader's clock, so the age includes any difference
    /// between the leader's clock and this member's clock, but is never negative.
    pub fn age(&self, now: Nanos) -> Option<Nanos> {
        let stated_at = self.freshness.at_ms * MILLISECOND_NS;
        (stated_at > 0).then(|| now.saturating_sub(stated_at))
    }

    fn progress(&self) -> Option<&ProgressTracker> {
        self.control.as_ref().map(|control| &control.progress)
    }

    /// Number of other members that participate in replication, as known to a control machine; 0 on a server.
    pub fn members(&self) -> usize {
        self.members_except(&self.name)
    }

    fn members_except(&self, name: &str) -> usize {
        let others = self.peers.others().filter(|other| *other != name);
        self.progress().map_or(0, |progress| progress.count(others))
    }

    /// The other members that, according to their reports to this control machine, have not applied the
    /// newest revision; empty on a server.
    pub fn lagging(&self) -> Vec<LaggingMember> {
        let newest = self.log.complete().number();
        self.progress().map_or(Vec::new(), |progress| progress.lagging(self.peers.others(), newest))
    }

    /// Number of key-value pairs received in the checkpoint transfer in progress; `None` if there is none.
    pub fn transferred_pairs(&self) -> Option<usize> {
        self.transfer.as_ref().map(SnapshotTransfer::pairs)
    }

    /// Sets whether this control machine holds the lease that entitles it to lead the log. Does nothing on a
    /// server.
    pub fn set_holds_lease(&mut self, holds: bool) {
        if let Some(control) = &mut self.control {
            control.replica.set_holds_lease(holds);
        }
    }

    /// Appends a change to the log. Returns the number of the change's last entry; the change will be
    /// committed under this number if this member remains the leader.
    ///
    /// # Errors
    /// If this member is not the leader, or the change cannot be appended.
    pub fn propose(&mut self, changes: Vec<Change>, now: Nanos) -> Result<u64, ProposeError> {
        let control = self.control.as_mut().ok_or(ProposeError::NotLeader)?;
        let number = control.replica.propose(changes, now, &self.log);
        self.advance_commit(now);
        number
    }

    /// Returns the revision that the host is to check and apply now, if any. Each revision is returned once.
    /// The host must answer with [`Member::on_applied`] or [`Member::on_rejected`] before it receives the
    /// next revision.
    pub fn next_to_apply(&mut self) -> Option<Snapshot> {
        self.applier.next(&self.log)
    }

    /// Performs all work that is due. `alive` lists the names of the alive members, sorted.
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

    /// When [`Member::advance`] is next to be called, in nanoseconds. A time in the past means now.
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

    /// Appends committed entries to the log. Returns whether any entry was new. The leader pushes the new
    /// entries to other members if their source is [`EntrySource::OwnMajority`].
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

    /// Queues a message for sending, or drops and counts it if the byte budget is used up.
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

    /// Removes and returns the queued messages.
    pub fn take_outgoing(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.outgoing)
    }

    /// Handles a message body from an authenticated member. A body that cannot be decoded or is out of bounds
    /// is counted and otherwise ignored.
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
