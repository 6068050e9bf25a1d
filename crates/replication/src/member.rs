//! One member's part: it holds the committed log's end, pushes what is new to a few neighbours, pulls from
//! one in turn, fetches a checkpoint where it lags far, and reports what it goes by. On a control machine
//! it has a [`Replica`] beside it.

use crate::Nanos;
use crate::committed_log::{AppendOutcome, CHECKPOINT_EVERY, CommittedLog, EntryError, Snapshot};
use crate::message::{BODY_MAX, Freshness, Location, Message, REASON_MAX, Report};
use crate::peers::Peers;
use crate::progress::{LaggingMember, ProgressTracker};
use crate::replica::{PersistedState, ProposeError, Replica};
use crate::requests::Requests;
use crate::revision::{Change, Entry, Revision};
use crate::snapshot_transfer::SnapshotTransfer;
use meadowstream_rate_limit::SlidingWindow;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use std::sync::Arc;

pub(crate) const MILLISECOND: Nanos = 1_000_000;
pub(crate) const SECOND: Nanos = 1_000_000_000;
/// Members of each zone that the leader pushes to.
const RELAYS: usize = 2;
/// A report is told again this often, and first within a part of a second.
const REPORT_EVERY: Nanos = 10 * SECOND;
const REPORT_SOON: Nanos = 200 * MILLISECOND;
/// The leader says how freshness the log is, and asks members that lag for reports, this often.
const FRESH_EVERY: Nanos = SECOND;
const ASK_EVERY: Nanos = 200 * MILLISECOND;
/// A control machine has nothing else to send: it may send so many times as much as a server.
const CONTROL_SHARE: u64 = 16;

#[derive(Clone, Debug)]
pub struct Settings {
    pub location: Location,
    /// Names of the control machines that keep the log, an odd number of them.
    pub replicas: Vec<String>,
    /// Between two pulls, more or less a quarter.
    pub pull_period: Nanos,
    /// Bytes that a server sends a second at the most, messages between replicas aside.
    pub bytes_a_second: u64,
}

impl Settings {
    pub fn new(location: Location, replicas: Vec<String>) -> Settings {
        Settings { location, replicas, pull_period: SECOND / 2, bytes_a_second: 12_000 }
    }

    /// What is wrong, naming the setting.
    pub fn check(&self) -> Result<(), String> {
        let distinct: std::collections::BTreeSet<&String> = self.replicas.iter().collect();
        let odd = !self.replicas.len().is_multiple_of(2) && self.replicas.len() <= 9;
        if !odd || distinct.len() != self.replicas.len() {
            return Err(format!("replica: 1, 3, 5, 7 or 9 different names, not {}", self.replicas.len()));
        }
        if self.pull_period < 10 * MILLISECOND {
            return Err("pull-ms: 10 at least".into());
        }
        if self.bytes_a_second < 2 * BODY_MAX as u64 {
            return Err(format!("bytes-a-second: {} at least", 2 * BODY_MAX));
        }
        Ok(())
    }
}

/// Counts from the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Counts {
    pub sent: u64,
    pub sent_bytes: u64,
    /// Not sent, since the budget of bytes had no room.
    pub over_budget: u64,
    /// No message of ours, or beyond its bounds.
    pub malformed: u64,
    /// Entries or chunks whose content was not what their hash said.
    pub mismatched: u64,
    pub transfers: u64,
}

/// What a control machine has beside the rest.
pub(crate) struct Control {
    pub(crate) replica: Replica,
    pub(crate) status: ProgressTracker,
    pub(crate) requests: Requests,
    freshness_due: Nanos,
    poll_due: Nanos,
    /// Written to disk last: the committed number, to see that it goes on.
    saved: u64,
}

pub struct Member {
    pub(crate) me: String,
    pub(crate) settings: Settings,
    pub(crate) log: CommittedLog,
    pub(crate) peers: Peers,
    pub(crate) budget: SlidingWindow,
    pub(crate) transfer: Option<SnapshotTransfer>,
    pub(crate) chunk_due: Nanos,
    pub(crate) control: Option<Control>,
    pub(crate) freshness: Freshness,
    /// The highest number that members told of in the first moments, and when these end.
    pub(crate) catch_up: u64,
    pub(crate) catch_up_until: Nanos,
    /// It started with a revision from its disk.
    pub(crate) from_disk: bool,
    pub(crate) leader: Option<String>,
    /// The last revision put in force, the one that is being checked, and the last one rejected.
    pub(crate) applied: u64,
    pub(crate) checking: Option<u64>,
    pub(crate) rejected: Option<(u64, String)>,
    pub(crate) pull_due: Nanos,
    pub(crate) report_due: Nanos,
    pub(crate) out: Vec<(String, Vec<u8>)>,
    pub counts: Counts,
    pub(crate) rng: ChaCha8Rng,
}

impl Member {
    /// `disk` is what was written by [`Member::unsaved_state`] or for a revision in force before a restart; `Err`
    /// names a bad setting.
    pub fn new(
        me: &str,
        settings: Settings,
        seed: u64,
        now: Nanos,
        disk: Option<PersistedState>,
    ) -> Result<Member, String> {
        settings.check()?;
        let is_replica = settings.replicas.iter().any(|replica| replica == me);
        let mut replica = Replica::new(me, settings.replicas.clone());
        let mut log = CommittedLog::default();
        if let Some(PersistedState { promised, committed, entries }) = disk {
            log = CommittedLog::from_snapshot(committed);
            replica.restore(promised, entries);
        }
        let from_disk = log.number() > 0;
        let control = is_replica.then(|| Control {
            replica,
            status: ProgressTracker::default(),
            requests: Requests::default(),
            freshness_due: now,
            poll_due: now,
            saved: log.number(),
        });
        let rate = settings.bytes_a_second * if is_replica { CONTROL_SHARE } else { 1 };
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let first = rng.next_u64() % settings.pull_period;
        Ok(Member {
            me: me.to_string(),
            settings,
            log,
            peers: Peers::new(me),
            budget: SlidingWindow::new(rate, now),
            transfer: None,
            chunk_due: 0,
            control,
            freshness: Freshness::default(),
            catch_up: 0,
            catch_up_until: 0,
            from_disk,
            leader: None,
            applied: 0,
            checking: None,
            rejected: None,
            pull_due: now + first,
            report_due: now + REPORT_EVERY,
            out: Vec::new(),
            counts: Counts::default(),
            rng,
        })
    }

    /// The last committed revision held here.
    pub fn revision(&self) -> Revision {
        self.log.revision()
    }

    pub fn log(&self) -> &CommittedLog {
        &self.log
    }

    pub fn applied(&self) -> u64 {
        self.applied
    }

    pub fn rejected(&self) -> Option<&(u64, String)> {
        self.rejected.as_ref()
    }

    pub fn is_leader(&self) -> bool {
        self.control.as_ref().is_some_and(|control| control.replica.is_leader())
    }

    pub fn is_replica(&self) -> bool {
        self.control.is_some()
    }

    /// Who published last, as far as it is known.
    pub fn leader(&self) -> Option<&str> {
        self.leader.as_deref()
    }

    /// For how long this member may have missed a revision: the time since the leader's last word that
    /// what is held here is the newest. `None` where there was no such word.
    pub fn age(&self, now: Nanos) -> Option<Nanos> {
        (self.freshness.at_ms > 0).then(|| now.saturating_sub(self.freshness.at_ms * MILLISECOND))
    }

    /// What a leader knows of the members.
    pub fn status(&self) -> Option<&ProgressTracker> {
        self.control.as_ref().map(|control| &control.status)
    }

    /// On a control machine: how many members take part, this one not counted.
    pub fn members(&self) -> usize {
        self.members_but(&self.me)
    }

    pub(crate) fn members_but(&self, name: &str) -> usize {
        let others = self.peers.others().filter(|other| *other != name);
        self.status().map_or(0, |status| status.count(others))
    }

    /// On a control machine: those members that do not go by the newest revision, as far as they have
    /// reported.
    pub fn lagging(&self) -> Vec<LaggingMember> {
        let number = self.log.complete().revision.position.number;
        self.status().map_or(Vec::new(), |status| status.lagging(self.peers.others(), number))
    }

    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    /// Pairs of a checkpoint that have come, while one is fetched.
    pub fn transferred_pairs(&self) -> Option<usize> {
        self.transfer.as_ref().map(SnapshotTransfer::pairs)
    }

    /// Whether this control machine holds the lease on publishing.
    pub fn set_holds_lease(&mut self, may: bool) {
        if let Some(control) = &mut self.control {
            control.replica.set_holds_lease(may);
        }
    }

    /// Publishes a change; its number, if this one stays the leader.
    pub fn propose(&mut self, changes: Vec<Change>, now: Nanos) -> Result<u64, ProposeError> {
        let control = self.control.as_mut().ok_or(ProposeError::NotLeader)?;
        let number = control.replica.propose(changes, now, &self.log);
        self.settle(now);
        number
    }

    /// The revision to be checked and put in force next; it is given once, until [`Member::settled`] says
    /// what became of it.
    ///
    /// A member with nothing in force that knows of newer revisions waits for them: what it held in a life
    /// before may have been newer than what comes first.
    pub fn next_to_apply(&mut self) -> Option<Snapshot> {
        let complete = self.log.complete();
        let number = complete.revision.position.number;
        if self.applied == 0 && self.log.number() < self.catch_up && !self.from_disk {
            return None;
        }
        let rejected = self.rejected.as_ref().map_or(0, |(number, _)| *number);
        if self.checking.is_some() || number <= self.applied.max(rejected) {
            return None;
        }
        self.checking = Some(number);
        Some(complete.clone())
    }

    /// The revision has been put in force, or rejected with a reason.
    pub fn settled(&mut self, number: u64, outcome: Result<(), String>, now: Nanos) {
        self.checking = None;
        match outcome {
            Ok(()) => {
                self.applied = self.applied.max(number);
                self.rejected = self.rejected.take().filter(|(rejected, _)| *rejected > number);
            }
            Err(why) => {
                let why = why.chars().take(REASON_MAX / 4).collect();
                self.rejected = Some((number, why));
            }
        }
        self.report_due = self.report_due.min(now + self.rng.next_u64() % REPORT_SOON);
    }

    fn report(&self) -> Report {
        Report { applied: self.applied, held: self.log.number(), rejected: self.rejected.clone() }
    }

    /// Does what is due; `alive` are the others that the fleet's view holds alive, in the order of names.
    pub fn advance(&mut self, now: Nanos, alive: &Arc<Vec<String>>) {
        self.peers.set_alive(alive, now);
        self.advance_control(now);
        if now >= self.pull_due {
            let period = self.settings.pull_period;
            self.pull_due = now + period * 3 / 4 + self.rng.next_u64() % (period / 2);
            self.pull(now);
        }
        if now >= self.report_due {
            self.report_due = now + REPORT_EVERY;
            self.send_report(now);
        }
        self.fetch(now);
    }

    fn advance_control(&mut self, now: Nanos) {
        let Some(control) = &mut self.control else { return };
        control.replica.advance(now, &self.log);
        if control.replica.is_leader() && now >= control.freshness_due {
            control.freshness_due = now + FRESH_EVERY;
            self.leader = Some(self.me.clone());
            self.freshness = Freshness { at_ms: now / MILLISECOND, number: self.log.number() };
        }
        if control.replica.is_leader() && now >= control.poll_due {
            control.poll_due = now + ASK_EVERY;
            let peers = &self.peers;
            control.status.retain(|name| peers.is_alive(name));
            let number = self.log.complete().revision.position.number;
            let asked = control.status.to_poll(peers.others(), number, now);
            asked.into_iter().for_each(|name| self.send(&name, &Message::PollReport, now));
        }
        self.settle(now);
    }

    /// When [`Member::advance`] is wanted again.
    pub fn next_due(&self) -> Nanos {
        let mut due = self.pull_due.min(self.report_due);
        if let Some(transfer) = &self.transfer {
            due = due.min(transfer.due().max(self.chunk_due));
        }
        match &self.control {
            Some(control) if control.replica.is_leader() => {
                due.min(control.replica.next_due()).min(control.freshness_due).min(control.poll_due)
            }
            Some(control) => due.min(control.replica.next_due()),
            None => due,
        }
    }

    /// Takes what the replica says is committed into the log, tells the members, and answers operators.
    pub(crate) fn settle(&mut self, now: Nanos) {
        let Some(control) = &mut self.control else { return };
        let committed = control.replica.committed(&self.log);
        self.append_committed(now, &committed, true);
        self.answer_requests(now);
        self.send_replica_messages();
    }

    /// Committed entries of whatever source; whether any was new.
    pub(crate) fn append_committed(&mut self, now: Nanos, entries: &[Entry], publishes: bool) -> bool {
        let mut new: Vec<Entry> = Vec::new();
        for entry in entries {
            match self.log.take(entry) {
                Ok(AppendOutcome::New) => new.push(entry.clone()),
                Ok(AppendOutcome::Known) => {}
                Ok(AppendOutcome::Gap) => break,
                Err(EntryError::Content) => {
                    self.counts.mismatched += 1;
                    break;
                }
            }
        }
        if new.is_empty() {
            return false;
        }
        if let Some(control) = &mut self.control {
            control.replica.follow(&self.log);
            control.status.committed(self.log.complete().revision.position.number, now);
        }
        if publishes && self.is_leader() {
            let to = self.peers.sample_each_zone(RELAYS, &mut self.rng);
            self.push(&to, &new, now);
        }
        true
    }

    fn send_report(&mut self, now: Nanos) {
        let known = self.leader.clone().filter(|name| self.peers.is_alive(name));
        let replicas = &self.settings.replicas;
        let any = &replicas[(self.rng.next_u64() % replicas.len() as u64) as usize];
        let to = known.unwrap_or_else(|| any.clone());
        let report = self.report();
        if to == self.me {
            self.on_report(&to, report);
        } else {
            let location = self.settings.location.clone();
            self.send(&to, &Message::Report { report, location }, now);
        }
    }

    fn on_report(&mut self, from: &str, report: Report) {
        if let Some(control) = &mut self.control {
            control.status.on_report(from, report);
        }
    }

    pub(crate) fn send(&mut self, to: &str, message: &Message, now: Nanos) {
        let body = message.encode();
        if !self.budget.try_acquire(body.len() as u64, now) {
            self.counts.over_budget += 1;
            return;
        }
        self.put(to, body);
    }

    fn put(&mut self, to: &str, body: Vec<u8>) {
        self.counts.sent += 1;
        self.counts.sent_bytes += body.len() as u64;
        self.out.push((to.to_string(), body));
    }

    /// Messages between replicas go out only once all that they rest on is on disk.
    fn send_replica_messages(&mut self) {
        let Some(control) = &mut self.control else { return };
        if control.replica.is_unsaved() {
            return;
        }
        let messages = control.replica.outgoing();
        messages.iter().for_each(|(to, message)| self.put(to, message.encode()));
    }

    /// What is to be on disk before a revision is in force.
    pub fn state_to_persist(&self, snapshot: &Snapshot) -> PersistedState {
        match &self.control {
            Some(control) => control.replica.state_to_persist(&self.log),
            None => PersistedState { committed: snapshot.clone(), ..PersistedState::default() },
        }
    }

    /// What a control machine is to write to disk now, whole or not at all, if anything.
    pub fn unsaved_state(&self) -> Option<PersistedState> {
        let control = self.control.as_ref()?;
        let behind = self.log.number() >= control.saved + CHECKPOINT_EVERY;
        (control.replica.is_unsaved() || behind).then(|| control.replica.state_to_persist(&self.log))
    }

    /// It is on disk. Where it could not be written this is not called, and nothing that rests on it is sent.
    pub fn on_persisted(&mut self, saved: &PersistedState, now: Nanos) {
        let Some(control) = &mut self.control else { return };
        control.saved = saved.committed.revision.position.number;
        control.replica.on_persisted(&self.log);
        self.settle(now);
    }

    /// It could not be written: nothing that rests on it goes out, and this replica stands back.
    pub fn on_persist_failed(&mut self) {
        if let Some(control) = &mut self.control {
            control.replica.drop_unsent();
            control.replica.set_holds_lease(false);
        }
    }

    /// Messages to send, each to a member by name; taken once.
    pub fn outgoing(&mut self) -> Vec<(String, Vec<u8>)> {
        std::mem::take(&mut self.out)
    }

    /// A body that an authenticated member has sent.
    pub fn receive(&mut self, now: Nanos, from: &str, body: &[u8]) {
        let Some(message) = Message::decode(body) else {
            self.counts.malformed += 1;
            return;
        };
        match message {
            Message::Digest { number, freshness, location, neighbours, wants_reply } => {
                self.peers.record_location(from, &location);
                neighbours.iter().for_each(|name| self.peers.record_location(name, &location));
                self.on_newest_number(number, now);
                self.on_freshness(freshness);
                self.on_digest(from, number, freshness, wants_reply, now);
            }
            Message::Entries { entries, leader, pushed, newest } => {
                self.on_newest_number(newest, now);
                self.on_entries(now, from, entries, leader, pushed);
            }
            Message::SnapshotOffer { checkpoint, newest } => {
                self.on_newest_number(newest, now);
                self.on_snapshot_offer(from, checkpoint, now);
            }
            Message::FetchChunk { checkpoint, after } => self.on_fetch_chunk(from, checkpoint, after, now),
            Message::SnapshotChunk { checkpoint, after, pairs, last } => {
                self.on_snapshot_chunk(checkpoint, &after, &pairs, last, now)
            }
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
            of_replicas => self.on_replica_message(now, from, of_replicas),
        }
    }

    fn on_replica_message(&mut self, now: Nanos, from: &str, message: Message) {
        let Some(control) = &mut self.control else { return };
        let publishes = matches!(message, Message::Append { .. });
        let committed = control.replica.receive(now, from, message, &self.log);
        if publishes {
            self.leader = Some(from.to_string());
        }
        self.append_committed(now, &committed, false);
        self.settle(now);
    }
}
