//! Progress of a server's drain, from the notice to leave until the process exits.

use meadowstream_overload_control::Nanos;
use std::cell::Cell;

/// Phase of the drain. Phases are entered in the order of the variants.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The server has received no notice to leave.
    #[default]
    Serving,
    /// Invocations are still admitted: callers need time to notice that the server is leaving, and until then
    /// the remaining servers would lack its capacity.
    Grace,
    /// New invocations are rejected; connections are still accepted, so that callers receive an answer in
    /// place of a refused connection.
    Rejecting,
    /// The stop is so close that no more connections are accepted.
    Closing,
}

/// State of the drain: its phase, and the times of the notice and of the exit.
#[derive(Default)]
pub struct DrainState {
    phase: Cell<Phase>,
    /// Time of the notice to leave.
    noticed_at: Cell<Option<Nanos>>,
    /// Latest time at which the process exits if it leaves so that another program is started. In this case
    /// no supervisor stops the process.
    ends_by: Cell<Option<Nanos>>,
}

impl DrainState {
    /// Begins the drain at the notice to leave.
    pub fn begin(&self, now: Nanos) {
        self.noticed_at.set(Some(now));
        self.phase.set(Phase::Grace);
    }

    /// Enters a phase.
    pub fn enter(&self, phase: Phase) {
        self.phase.set(phase);
    }

    /// Returns the time of the notice to leave, if the server has received it.
    pub fn noticed_at(&self) -> Option<Nanos> {
        self.noticed_at.get()
    }

    /// Returns whether the grace is over and new invocations are rejected.
    pub fn is_grace_over(&self) -> bool {
        self.phase.get() >= Phase::Rejecting
    }

    /// Returns whether more connections are accepted.
    pub fn accepts_connections(&self) -> bool {
        self.phase.get() < Phase::Closing
    }

    /// Sets the latest time at which the process exits. Used when the process leaves without a supervisor
    /// that would stop it.
    pub fn end_by(&self, at: Nanos) {
        self.ends_by.set(Some(at));
    }

    /// Returns whether the time set by [`DrainState::end_by`] has been reached.
    pub fn has_stopped(&self, now: Nanos) -> bool {
        self.ends_by.get().is_some_and(|at| now >= at)
    }
}
