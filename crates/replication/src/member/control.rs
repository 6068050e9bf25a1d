//! The part of a member that exists only on control machines, the machines that keep the replicated log. It
//! runs the replica, a participant in the consensus protocol, and appends committed entries to the log. On
//! the leader it also publishes how fresh the log is, and polls members for reports.

use super::{EntrySource, Member};
use crate::committed_log::CHECKPOINT_INTERVAL;
use crate::message::{Freshness, Message};
use crate::persistence::PersistedState;
use crate::progress::ProgressTracker;
use crate::replica::Replica;
use crate::requests::Requests;
use crate::snapshot::Snapshot;
use crate::time::{MILLISECOND_NS, Nanos, SECOND_NS};

/// Interval at which the leader updates its [`Freshness`] statement, which tells members where the log ends.
const FRESHNESS_INTERVAL_NS: Nanos = SECOND_NS;
/// Interval between two poll rounds of the leader. In each round, the leader polls the members that
/// [`ProgressTracker::poll`] selects because they lag.
const POLL_ROUND_INTERVAL_NS: Nanos = 200 * MILLISECOND_NS;

/// The part of a member's state that exists only on control machines.
pub(super) struct Control {
    pub(super) replica: Replica,
    pub(super) progress: ProgressTracker,
    pub(super) requests: Requests,
    /// Time at which the leader next updates its freshness statement. The statement gives the number of the
    /// last entry in the leader's committed log.
    freshness_due: Nanos,
    /// Time at which the leader next polls lagging members for reports.
    poll_due: Nanos,
    /// Number of the last complete change on this control machine's disk. A change has the number of its last
    /// entry.
    persisted_number: u64,
}

impl Control {
    /// Creates the state of a control machine: a member that keeps the replicated log and takes part in the
    /// consensus protocol. `persisted_number` is the number of the revision that was read from disk; 0 if
    /// there was none.
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

    /// Returns the time at which the control machine next has work to do, in nanoseconds. On the leader, the
    /// work includes the next freshness statement and the next poll round. The time may be in the past.
    /// [`Nanos::MAX`] means that nothing is scheduled.
    pub(super) fn next_due(&self) -> Nanos {
        let due = self.replica.next_due();
        if self.replica.is_leader() { due.min(self.freshness_due).min(self.poll_due) } else { due }
    }
}

impl Member {
    /// Performs the due work of a control machine. Does nothing on a server.
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

    /// Performs a poll round if it is due: records which members are away, and on the leader polls lagging
    /// members for their reports and gives up operators' incomplete requests.
    fn poll_lagging(&mut self, now: Nanos) {
        let Some(control) = &mut self.control else { return };
        if now < control.poll_due {
            return;
        }
        control.poll_due = now + POLL_ROUND_INTERVAL_NS;
        let peers = &self.peers;
        control.progress.observe_away(now, |name| peers.is_away(name));
        if !control.replica.is_leader() {
            return;
        }
        control.requests.give_up_abandoned(now);
        let newest = self.log.complete().number();
        for name in control.progress.poll(peers.others(), newest, now) {
            self.send(&name, &Message::PollReport, now);
        }
    }

    /// Appends newly committed entries to the log and pushes them to other members. Then answers operators'
    /// requests and sends the replica's messages.
    pub(super) fn advance_commit(&mut self, now: Nanos) {
        let Some(control) = &mut self.control else { return };
        let committed = control.replica.newly_committed(&self.log);
        self.append_committed(now, &committed, EntrySource::OwnMajority);
        self.answer_requests(now);
        self.send_replica_messages();
    }

    /// Sends the replica's queued messages. Sends nothing until the state on which the messages depend is on
    /// disk.
    fn send_replica_messages(&mut self) {
        let Some(control) = &mut self.control else { return };
        if control.replica.is_unsaved() {
            return;
        }
        for outgoing in control.replica.take_outgoing() {
            self.send_unlimited(&outgoing.to, outgoing.message.encode());
        }
    }

    /// Passes a message from another replica to the replica of this control machine. Appends the entries that
    /// the message reports as committed.
    pub(super) fn on_replica_message(&mut self, now: Nanos, from: &str, message: Message) {
        let Some(control) = &mut self.control else { return };
        let is_from_leader = matches!(message, Message::Append { .. });
        let committed = control.replica.receive(now, from, message, &self.log);
        if is_from_leader {
            // The sender may be the leader of an earlier epoch. This does no harm, because the `leader` field
            // is only a hint about where to send reports and operators' requests. If an operator's request
            // arrives at a replica that is not the leader, the replica answers with the leader that it knows.
            self.leader = Some(from.to_string());
        }
        self.append_committed(now, &committed, EntrySource::OtherMember);
        self.advance_commit(now);
    }

    /// Returns the state that the host writes to disk when it applies `snapshot`.
    pub fn state_to_persist(&self, snapshot: &Snapshot) -> PersistedState {
        match &self.control {
            Some(control) => control.replica.state_to_persist(&self.log),
            None => PersistedState { committed: snapshot.clone(), ..PersistedState::default() },
        }
    }

    /// Returns the state that a control machine must write to disk now, in one atomic write. Returns `None`
    /// if no write is needed, and always on a server.
    pub fn unsaved_state(&self) -> Option<PersistedState> {
        let control = self.control.as_ref()?;
        let is_behind = self.log.number() >= control.persisted_number + CHECKPOINT_INTERVAL;
        let is_wanted = control.replica.is_unsaved() || is_behind;
        is_wanted.then(|| control.replica.state_to_persist(&self.log))
    }

    /// Records that `state` is on disk. Sends the messages that were held back until the write was complete.
    pub fn on_persisted(&mut self, state: &PersistedState, now: Nanos) {
        let Some(control) = &mut self.control else { return };
        control.persisted_number = state.committed.number();
        control.replica.on_persisted(&self.log);
        self.advance_commit(now);
    }

    /// Handles a failed write to disk. Drops the messages that depend on the unwritten state. Also gives up
    /// the leadership lease, so that this replica stops leading or campaigning.
    pub fn on_persist_failed(&mut self) {
        if let Some(control) = &mut self.control {
            control.replica.drop_outgoing();
            control.replica.set_holds_lease(false);
        }
    }
}
