//! One member: it holds the end of the committed log, spreads it by gossip, fetches a checkpoint where it
//! lags far, hands complete revisions to its host, and reports what was applied. On a control machine it
//! drives a [`Replica`] too.
//!
//! The host calls [`Member::receive`] for each message and [`Member::advance`] at [`Member::next_due`]. After
//! each call it writes [`Member::unsaved_state`], applies [`Member::next_to_apply`] and sends
//! [`Member::take_outgoing`].

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

/// A control machine may send so many times as many bytes as a server: it has nothing else to send.
const CONTROL_BYTES_FACTOR: u64 = 16;

/// Counts from the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Counts {
    /// Messages sent.
    pub sent: u64,
    /// Their bytes, without envelopes.
    pub sent_bytes: u64,
    /// Messages not sent since the budget of bytes was spent.
    pub over_budget: u64,
    /// Bodies received that are no message or out of bounds.
    pub malformed: u64,
    /// Entries or checkpoints received whose content did not have its hash.
    pub mismatched: u64,
    /// Transfers of checkpoints begun.
    pub transfers: u64,
}

/// How committed entries came to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EntrySource {
    /// This member's own replica leads and counted a majority.
    OwnMajority,
    /// Another member sent them as committed, by gossip or as the leader.
    OtherMember,
}

/// An encoded message to another member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The member's name.
    pub to: String,
    /// The bytes.
    pub body: Vec<u8>,
}

/// One member of the fleet.
pub struct Member {
    name: String,
    settings: Settings,
    log: CommittedLog,
    peers: Peers,
    /// Of bytes sent; messages between replicas are not limited.
    budget: SlidingWindow,
    /// While a checkpoint is fetched.
    transfer: Option<SnapshotTransfer>,
    /// No chunk is requested before this time.
    chunk_due: Nanos,
    /// On control machines.
    control: Option<Control>,
    /// The latest statement of a leader whose number this member has reached.
    freshness: Freshness,
    applier: Applier,
    /// The last known leader.
    leader: Option<String>,
    /// When the next digest is sent.
    pull_due: Nanos,
    /// When the next report is sent.
    report_due: Nanos,
    outgoing: Vec<Outgoing>,
    /// Counts from the start.
    pub counts: Counts,
    rng: ChaCha8Rng,
}

impl Member {
    /// A member that continues from what was on its disk: a control machine's [`Member::unsaved_state`], a
    /// server's [`Member::state_to_persist`].
    ///
    /// # Errors
    /// Where a setting is out of bounds.
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
        // Members that start together do not pull together.
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

    /// The last committed revision held here.
    pub fn revision(&self) -> Revision {
        self.log.revision()
    }

    /// The committed log as far as it is held here.
    pub fn log(&self) -> &CommittedLog {
        &self.log
    }

    /// Number of the last revision that was applied since the start; 0 where none was.
    pub fn applied(&self) -> u64 {
        self.applier.applied()
    }

    /// The last revision that the host rejected, unless a later one was applied.
    pub fn rejected(&self) -> Option<&Rejection> {
        self.applier.rejected()
    }

    /// Whether this member leads the log.
    pub fn is_leader(&self) -> bool {
        self.control.as_ref().is_some_and(|control| control.replica.is_leader())
    }

    /// Whether this member is a control machine.
    pub fn is_replica(&self) -> bool {
        self.control.is_some()
    }

    /// The last known leader.
    pub fn leader(&self) -> Option<&str> {
        self.leader.as_deref()
    }

    /// For how long this member may have missed a revision, in nanoseconds: the time since the latest
    /// statement of a leader that the log ended no further than it does here. `None` where there was none.
    /// The statement has the time of the leader's clock, so that the difference between the clocks goes into
    /// the age; it is never under 0.
    pub fn age(&self, now: Nanos) -> Option<Nanos> {
        let stated_at = self.freshness.at_ms * MILLISECOND_NS;
        (stated_at > 0).then(|| now.saturating_sub(stated_at))
    }

    fn progress(&self) -> Option<&ProgressTracker> {
        self.control.as_ref().map(|control| &control.progress)
    }

    /// On a control machine: number of members that take part, this one not counted.
    pub fn members(&self) -> usize {
        self.members_except(&self.name)
    }

    fn members_except(&self, name: &str) -> usize {
        let others = self.peers.others().filter(|other| *other != name);
        self.progress().map_or(0, |progress| progress.count(others))
    }

    /// On a control machine: the members that have not applied the newest revision, as far as they have
    /// reported.
    pub fn lagging(&self) -> Vec<LaggingMember> {
        let newest = self.log.complete().number();
        self.progress().map_or(Vec::new(), |progress| progress.lagging(self.peers.others(), newest))
    }

    /// While a checkpoint is fetched: number of its pairs that have come.
    pub fn transferred_pairs(&self) -> Option<usize> {
        self.transfer.as_ref().map(SnapshotTransfer::pairs)
    }

    /// Whether this control machine holds the lease on leading the log.
    pub fn set_holds_lease(&mut self, holds: bool) {
        if let Some(control) = &mut self.control {
            control.replica.set_holds_lease(holds);
        }
    }

    /// Appends a change to the log. Returns the number that it is committed at, if this member stays the
    /// leader.
    ///
    /// # Errors
    /// Where this member does not lead, or the change cannot be appended.
    pub fn propose(&mut self, changes: Vec<Change>, now: Nanos) -> Result<u64, ProposeError> {
        let control = self.control.as_mut().ok_or(ProposeError::NotLeader)?;
        let number = control.replica.propose(changes, now, &self.log);
        self.advance_commit(now);
        number
    }

    /// The revision that the host is to check and apply now. It is returned once; the host answers with
    /// [`Member::on_applied`] or [`Member::on_rejected`] before it is given another.
    pub fn next_to_apply(&mut self) -> Option<Snapshot> {
        self.applier.next(&self.log)
    }

    /// Does what is due. `alive` are the names of the fleet's living members, sorted.
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

    /// When [`Member::advance`] is wanted next, in nanoseconds: a time that may have passed, for at once.
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

    /// Appends committed entries; returns whether any was new. The leader pushes on those that it has
    /// committed itself.
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

    /// Sends within the budget of bytes.
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

    /// Messages to send, each returned once.
    pub fn take_outgoing(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.outgoing)
    }

    /// Handles a body that an authenticated member has sent. A body out of bounds is counted and changes
    /// nothing else.
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
