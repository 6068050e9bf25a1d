//! State of a server's drain, from the notice to leave until the process exits.

use meadowstream_overload_control::Nanos;
use std::cell::Cell;

/// Phase of a server's drain. The phases follow each other in the order of the variants.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The server is not draining, because it was not notified to leave.
    #[default]
    Serving,
    /// The server still admits invocations, because callers need time to notice that the server is leaving.
    /// If the server rejected calls already in this time, the fleet would lack the server's capacity.
    Grace,
    /// The server rejects new invocations but still accepts connections. A caller that connects now receives
    /// an answer instead of a connection error.
    Rejecting,
    /// The server accepts no more connections, because the process is about to stop.
    Closing,
}

/// State of a server's drain: the phase, the time of the notice to leave, and the latest time of the exit.
#[derive(Default)]
pub struct DrainState {
    phase: Cell<Phase>,
    /// Time at which the server was notified to leave; `None` if there was no notice.
    noticed_at: Cell<Option<Nanos>>,
    /// Time at which the process exits at the latest. Set only if the server exits to be replaced by another
    /// program. In this case no supervisor stops the process.
    ends_by: Cell<Option<Nanos>>,
}

impl DrainState {
    /// Starts the drain. `now` is the time of the notice to leave.
    pub fn begin(&self, now: Nanos) {
        self.noticed_at.set(Some(now));
        self.phase.set(Phase::Grace);
    }

    /// Enters a phase.
    pub fn enter(&self, phase: Phase) {
        self.phase.set(phase);
    }

    /// Returns the time at which the server was notified to leave, or `None` if there was no notice.
    pub fn noticed_at(&self) -> Option<Nanos> {
        self.noticed_at.get()
    }

    /// Returns whether the grace phase is over. The server then rejects new invocations.
    pub fn is_grace_over(&self) -> bool {
        self.phase.get() >= Phase::Rejecting
    }

    /// Returns whether the server still accepts connections.
    pub fn accepts_connections(&self) -> bool {
        self.phase.get() < Phase::Closing
    }

    /// Sets the time at which the process exits at the latest. Used if no supervisor would stop the process.
    pub fn end_by(&self, at: Nanos) {
        self.ends_by.set(Some(at));
    }

    /// Returns whether the time that was set with [`DrainState::end_by`] has been reached.
    pub fn has_stopped(&self, now: Nanos) -> bool {
        self.ends_by.get().is_some_and(|at| now >= at)
    }
}
