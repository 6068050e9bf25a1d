//! The part of a member that only control machines have. It drives the replica and appends committed entries
//! to the log. On the leader it also publishes the freshness of the log and polls members for reports.

use super::{EntrySource, Member};
use crate::committed_log::CHECKPOINT_INTERVAL;
use crate::message::{Freshness, Message};
use crate::persistence::PersistedState;
use crate::progress::ProgressTracker;
use crate::replica::Replica;
use crate::requests::Requests;
use crate::snapshot::Snapshot;
use crate::time::{MILLISECOND_NS, Nanos, SECOND_NS};

/// Interval at which the leader updates its [`Freshness`] statement.
const FRESHNESS_INTERVAL_NS: Nanos = SECOND_NS;
/// Interval between the leader's poll rounds. Each round polls the lagging members selected by
/// [`ProgressTracker::poll`].
const POLL_ROUND_INTERVAL_NS: Nanos = 200 * MILLISECOND_NS;

/// State that a member has only on a control machine.
pub(super) struct Control {
    pub(super) replica: Replica,
    pub(super) progress: ProgressTracker,
    pub(super) requests: Requests,
    /// When the leader next updates its freshness statement.
    freshness_due: Nanos,
    /// When the leader next polls lagging members.
    poll_due: Nanos,
    /// Number of the last complete committed change on disk.
    persisted_number: u64,
}

impl Control {
    /// Creates the state. `persisted_number` is the number of the committed revision that was read from disk.
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

    /// When the next work is due, in nanoseconds: that of the replica and, on the leader, the next freshness
    /// statement or poll round. The time may have passed already; [`Nanos::MAX`] if nothing is due.
    pub(super) fn next_due(&self) -> Nanos {
        let due = self.replica.next_due();
        if self.replica.is_leader() { due.min(self.freshness_due).min(self.poll_due) } else { due }
    }
}

impl Member {
    /// Performs the work that is due on a control machine.
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

    /// On the leader: polls lagging members for their reports.
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

    /// Appends newly committed entries to the log, pushes them to other members, answers operators' requests,
    /// and sends the replica's messages.
    pub(super) fn advance_commit(&mut self, now: Nanos) {
        let Some(control) = &mut self.control else { return };
        let committed = control.replica.newly_committed(&self.log);
        self.append_committed(now, &committed, EntrySource::OwnMajority);
        self.answer_requests(now);
        self.send_replica_messages();
    }

    /// Sends the replica's messages, unless state that they depend on is not on disk yet.
    fn send_replica_messages(&mut self) {
        let Some(control) = &mut self.control else { return };
        if control.replica.is_unsaved() {
            return;
        }
        for outgoing in control.replica.take_outgoing() {
            self.send_unlimited(&outgoing.to, outgoing.message.encode());
        }
    }

    /// Passes a message from another replica to this one, and appends the entries that it commits.
    pub(super) fn on_replica_message(&mut self, now: Nanos, from: &str, message: Message) {
        let Some(control) = &mut self.control else { return };
        let is_from_leader = matches!(message, Message::Append { .. });
        let committed = control.replica.receive(now, from, message, &self.log);
        if is_from_leader {
            // The sender may be the leader of an earlier epoch. That is harmless: the field is only a hint
            // where to send reports and operators' requests, and a replica that is not the leader answers an
            // operator with its own hint.
            self.leader = Some(from.to_string());
        }
        self.append_committed(now, &committed, EntrySource::OtherMember);
        self.advance_commit(now);
    }

    /// The state that the host writes to disk when it applies `snapshot`.
    pub fn state_to_persist(&self, snapshot: &Snapshot) -> PersistedState {
        match &self.control {
            Some(control) => control.replica.state_to_persist(&self.log),
            None => PersistedState { committed: snapshot.clone(), ..PersistedState::default() },
        }
    }

    /// The state that a control machine must write to disk now, atomically; `None` if no write is needed, and
    /// always `None` on a server.
    pub fn unsaved_state(&self) -> Option<PersistedState> {
        let control = self.control.as_ref()?;
        let is_behind = self.log.number() >= control.persisted_number + CHECKPOINT_INTERVAL;
        let is_wanted = control.replica.is_unsaved() || is_behind;
        is_wanted.then(|| control.replica.state_to_persist(&self.log))
    }

    /// Records that `state` is on disk, and sends the messages that were waiting for it.
    pub fn on_persisted(&mut self, state: &PersistedState, now: Nanos) {
        let Some(control) = &mut self.control else { return };
        control.persisted_number = state.committed.number();
        control.replica.on_persisted(&self.log);
        self.advance_commit(now);
    }

    /// Handles a failed write: drops the messages that depend on the unwritten state, and gives up the lease,
    /// so that this replica does not lead.
    pub fn on_persist_failed(&mut self) {
        if let Some(control) = &mut self.control {
            control.replica.drop_outgoing();
            control.replica.set_holds_lease(false);
        }
    }
}
