//! Evidence that lingering runs are over. A run lingers if its invocation was answered and nothing reports
//! its end: its start may never have been received, or the command to stop it was received and not confirmed,
//! as happens while the cores stand still. A lingering run may be on the cores until evidence excludes it.

use crate::regulator::CONTROL_PERIOD;
use crate::{Nanos, Preemption};

/// Number of unconfirmed stop commands, each between two signs of progress on the cores, after which a run
/// that any stop command ends is over. A command may fall into a moment in which the cores stand still.
const STOPS_TO_DISCARD: u32 = 3;
/// The same number where a stop command pauses a run. Such a command has no effect on a run that waits for a
/// disk at that moment.
const STOPS_TO_PAUSE: u32 = 8;
/// Number of runs in succession, each started after the end of the one before, that must end before a run
/// that cannot be stopped is over. All runs share the cores evenly.
const SUCCESSIVE_RUNS: u32 = 8;

/// Time after which a stop command is repeated at the earliest.
const STOP_PERIOD: Nanos = CONTROL_PERIOD;

/// Ends of runs in succession, each of which started after the end of the one before.
#[derive(Clone, Copy, Debug, Default)]
pub struct Succession {
    ended: u32,
    /// Time from which on a run must have started to be the next in succession.
    next_from: Nanos,
}

impl Succession {
    /// Begins a succession with the runs that start at `now` or later.
    pub fn beginning_at(now: Nanos) -> Self {
        Self { ended: 0, next_from: now }
    }

    /// Takes account of the end of a run that started at `started`.
    pub fn observe_end(&mut self, started: Nanos, now: Nanos) {
        if started >= self.next_from {
            self.ended += 1;
            self.next_from = now;
        }
    }

    /// Whether so many runs have ended in succession that a run from before must have ended, too.
    pub fn is_complete(&self) -> bool {
        self.ended >= SUCCESSIVE_RUNS
    }
}

/// Evidence from the commands to stop a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct StopEvidence {
    /// Time at which the most recent stop command was sent; `None` if a stop command is due.
    sent_at: Option<Nanos>,
    /// Time at which the receipt of this command was shown without a report of the run's end.
    received_at: Option<Nanos>,
    /// Whether the run was on the cores when a stop command had no effect on it.
    resisted: bool,
    /// Number of stop commands that had no effect between two signs of progress.
    absences: u32,
    /// Runs that ended since the run began to linger.
    succession: Succession,
}

impl StopEvidence {
    /// Whether no stop command is in effect.
    pub fn is_due(&self) -> bool {
        self.sent_at.is_none()
    }

    /// Records that a stop command was sent.
    pub fn record_sent(&mut self, now: Nanos) {
        (self.sent_at, self.received_at) = (Some(now), None);
    }

    /// Records that a stop command was received and that the end of the run was not reported.
    pub fn record_unconfirmed(&mut self, now: Nanos) {
        self.sent_at.get_or_insert(now);
        self.received_at.get_or_insert(now);
    }

    /// Records that a stop command had no effect on a run that was on the cores.
    pub fn record_resistance(&mut self) {
        self.resisted = true;
    }

    /// Whether the run was on the cores when a stop command had no effect on it.
    pub fn has_resisted(&self) -> bool {
        self.resisted
    }

    /// Records that the run began to linger.
    pub fn begin_lingering(&mut self, now: Nanos) {
        self.succession = Succession::beginning_at(now);
    }

    /// Takes account of the most recent progress on the cores. If there was progress after the stop command,
    /// another command is due. If the command had been received without effect, this speaks against the run.
    pub fn observe_progress(&mut self, now: Nanos, last_progress: Nanos) {
        if self.sent_at.is_none_or(|sent_at| last_progress <= sent_at || now < sent_at + STOP_PERIOD) {
            return;
        }
        let is_absent = self.received_at.is_some_and(|received_at| last_progress > received_at);
        self.absences += u32::from(is_absent);
        // The progress must follow the receipt. A received command stays in effect until then.
        if is_absent || self.received_at.is_none() {
            (self.sent_at, self.received_at) = (None, None);
        }
    }

    /// Takes account of the end of another run that started at `started`. Used for runs that cannot be
    /// stopped.
    pub fn observe_successor(&mut self, started: Nanos, now: Nanos) {
        self.succession.observe_end(started, now);
    }

    /// Whether the evidence excludes the run.
    pub fn excludes_run(&self, preemption: Preemption) -> bool {
        match preemption {
            Preemption::Discards => self.absences >= STOPS_TO_DISCARD,
            Preemption::Pauses => self.absences >= STOPS_TO_PAUSE,
            Preemption::Unsupported => self.succession.is_complete(),
        }
    }
}

/// Upper bound of the lingering runs on the cores, from the gauge of runnable threads. Each run on a core is
/// a runnable thread.
#[derive(Debug, Default)]
pub struct RunnableBound {
    /// Bound by the previous reading. A run that waits for a disk is not runnable, so one reading does not
    /// suffice.
    previous: Option<f64>,
    /// Whether a reading was below the number of runs that were certainly on the cores. The gauge is then not
    /// used until the cores make progress.
    is_contradicted: bool,
}

impl RunnableBound {
    /// Records that the cores made progress.
    pub fn observe_progress(&mut self) {
        self.is_contradicted = false;
    }

    /// Takes account of a reading, and returns the upper bound. Returns `None` if the readings show nothing.
    /// `certain` is the number of runs whose start was received and whose end was not reported. A reading
    /// that is not below the number of `cores` may be capped.
    pub fn observe(&mut self, runnable: Option<f64>, certain: f64, cores: f64) -> Option<f64> {
        self.is_contradicted |= runnable.is_some_and(|runnable| runnable < certain);
        let bound = runnable
            .filter(|runnable| *runnable < cores && !self.is_contradicted)
            .map(|runnable| runnable - certain);
        let previous = std::mem::replace(&mut self.previous, bound);
        previous.zip(bound).map(|(previous, bound)| previous.max(bound))
    }
}
