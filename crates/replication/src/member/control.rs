//! The part of a member that control machines alone have: it drives the replica, takes what is committed into
//! the log, and on the leader states how fresh the log is and polls members for reports.

use super::{EntrySource, Member};
use crate::committed_log::CHECKPOINT_INTERVAL;
use crate::message::{Freshness, Message};
use crate::persistence::PersistedState;
use crate::progress::ProgressTracker;
use crate::replica::Replica;
use crate::requests::Requests;
use crate::snapshot::Snapshot;
use crate::time::{MILLISECOND_NS, Nanos, SECOND_NS};

/// The leader states how fresh the log is at this interval.
const FRESHNESS_INTERVAL_NS: Nanos = SECOND_NS;
/// The leader has a round of polls at this interval: in each it polls those lagging members whose turn it is,
/// see [`ProgressTracker::poll`].
const POLL_ROUND_INTERVAL_NS: Nanos = 200 * MILLISECOND_NS;

/// What a control machine has besides the rest of a member.
pub(super) struct Control {
    pub(super) replica: Replica,
    pub(super) progress: ProgressTracker,
    pub(super) requests: Requests,
    /// When the leader next states how fresh the log is.
    freshness_due: Nanos,
    /// When the leader next polls lagging members.
    poll_due: Nanos,
    /// The committed number that is on disk.
    persisted_number: u64,
}

impl Control {
    /// `persisted_number` is the committed number that was read from disk.
    pub(super) fn new(replica: Replica, persisted_number: u64, now: Nanos) -> Control {
        Control {
            replica,
            progress: ProgressTracker::default(),
            requests: Requests::default(),
            freshness_due: now,
            poll_due: now,
            persisted_number,
        }
    }

    /// When the replica, or on the leader a statement or a round of polls, is due: a time in nanoseconds that
    /// may have passed; [`Nanos::MAX`] where nothing is.
    pub(super) fn next_due(&self) -> Nanos {
        let due = self.replica.next_due();
        if self.replica.is_leader() { due.min(self.freshness_due).min(self.poll_due) } else { due }
    }
}

impl Member {
    /// Does what is due on a control machine.
    pub(super) fn advance_control(&mut self, now: Nanos) {
        let Some(control) = &mut self.control else { return };
        control.replica.advance(now, &self.log);
        if control.replica.is_leader() && now >= control.freshness_due {
            control.freshness_due = now + FRESHNESS_INTERVAL_NS;
            self.leader = Some(self.name.clone());
            self.freshness = Freshness { at_ms: now / MILLISECOND_NS, number: self.log.number() };
        }
        self.poll_lagging(now);
        self.advance_commit(now);
    }

    /// On the leader: polls members that lag for their reports.
    fn poll_lagging(&mut self, now: Nanos) {
        let Some(control) = &mut self.control else { return };
        if !control.replica.is_leader() || now < control.poll_due {
            return;
        }
        control.poll_due = now + POLL_ROUND_INTERVAL_NS;
        let peers = &self.peers;
        control.progress.retain(|name| peers.is_alive(name));
        let newest = self.log.complete().number();
        for name in control.progress.poll(peers.others(), newest, now) {
            self.send(&name, &Message::PollReport, now);
        }
    }

    /// Takes newly committed entries into the log, pushes them, and answers operators.
    pub(super) fn advance_commit(&mut self, now: Nanos) {
        let Some(control) = &mut self.control else { return };
        let committed = control.replica.newly_committed(&self.log);
        self.append_committed(now, &committed, EntrySource::OwnMajority);
        self.answer_requests(now);
        self.send_replica_messages();
    }

    /// Messages between replicas are sent only once all that they rest on is on disk.
    fn send_replica_messages(&mut self) {
        let Some(control) = &mut self.control else { return };
        if control.replica.is_unsaved() {
            return;
        }
        for outgoing in control.replica.take_outgoing() {
            self.send_unlimited(&outgoing.to, outgoing.message.encode());
        }
    }

    /// Hands a message between replicas to the replica, and carries out what follows from it.
    pub(super) fn on_replica_message(&mut self, now: Nanos, from: &str, message: Message) {
        let Some(control) = &mut self.control else { return };
        let is_from_leader = matches!(message, Message::Append { .. });
        let committed = control.replica.receive(now, from, message, &self.log);
        if is_from_leader {
            // Also from a leader of an earlier epoch: this is only a hint where reports and operators go, and
            // who does not lead answers an operator with its own hint.
            self.leader = Some(from.to_string());
        }
        self.append_committed(now, &committed, EntrySource::OtherMember);
        self.advance_commit(now);
    }

    /// What is to be on disk once `snapshot` is applied.
    pub fn state_to_persist(&self, snapshot: &Snapshot) -> PersistedState {
        match &self.control {
            Some(control) => control.replica.state_to_persist(&self.log),
            None => PersistedState { committed: snapshot.clone(), ..PersistedState::default() },
        }
    }

    /// What a control machine is to write to disk now, as a whole or not at all; `None` on a server.
    pub fn unsaved_state(&self) -> Option<PersistedState> {
        let control = self.control.as_ref()?;
        let is_behind = self.log.number() >= control.persisted_number + CHECKPOINT_INTERVAL;
        let is_wanted = control.replica.is_unsaved() || is_behind;
        is_wanted.then(|| control.replica.state_to_persist(&self.log))
    }

    /// The state is on disk: messages that rest on it may be sent.
    pub fn on_persisted(&mut self, state: &PersistedState, now: Nanos) {
        let Some(control) = &mut self.control else { return };
        control.persisted_number = state.committed.number();
        control.replica.on_persisted(&self.log);
        self.advance_commit(now);
    }

    /// The state could not be written: messages that rest on it are dropped, and this replica does not lead.
    pub fn on_persist_failed(&mut self) {
        if let Some(control) = &mut self.control {
            control.replica.drop_outgoing();
            control.replica.set_holds_lease(false);
        }
    }
}
