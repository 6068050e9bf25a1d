//! How far a server is on its way from the notice to leave to its end.

use meadowstream_overload_control::Nanos;
use std::cell::Cell;

/// How far the drain has come; it goes one way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// No notice to leave has come.
    #[default]
    Serving,
    /// Arrivals are still run: callers notice late that a server leaves, and the servers that stay would miss
    /// its capacity.
    Grace,
    /// No call is wanted any more; callers that come are answered.
    Rejecting,
    /// The stop is so near that no further connection is accepted.
    Closing,
}

/// The state of the drain.
#[derive(Default)]
pub struct DrainState {
    phase: Cell<Phase>,
    /// When the notice to leave came.
    noticed_at: Cell<Option<Nanos>>,
    /// When the process ends at the latest, where it leaves of its own accord and nobody else ends it.
    ends_by: Cell<Option<Nanos>>,
}

impl DrainState {
    /// The notice to leave has come.
    pub fn begin(&self, now: Nanos) {
        self.noticed_at.set(Some(now));
        self.phase.set(Phase::Grace);
    }

    /// The drain has come to a phase.
    pub fn enter(&self, phase: Phase) {
        self.phase.set(phase);
    }

    /// When the notice to leave came.
    pub fn noticed_at(&self) -> Option<Nanos> {
        self.noticed_at.get()
    }

    /// Whether no call is wanted any more.
    pub fn is_grace_over(&self) -> bool {
        self.phase.get() >= Phase::Rejecting
    }

    /// Whether further connections are accepted.
    pub fn accepts_connections(&self) -> bool {
        self.phase.get() < Phase::Closing
    }

    /// The process leaves of its own accord and ends then at the latest.
    pub fn end_by(&self, at: Nanos) {
        self.ends_by.set(Some(at));
    }

    /// Whether that time has come.
    pub fn has_stopped(&self, now: Nanos) -> bool {
        self.ends_by.get().is_some_and(|at| now >= at)
    }
}
