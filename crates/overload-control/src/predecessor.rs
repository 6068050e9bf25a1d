//! What an earlier process of this server may have left behind, if the machine that runs the invocations is
//! older than this process: runs on the cores, of which nothing will be reported to this process.

use crate::Nanos;
use crate::lingering::Succession;

/// Upper bound of the runs on the cores that an earlier process started.
#[derive(Debug, Default)]
pub struct InheritedRuns {
    bound: f64,
    /// Whether the bound is an assumption, because no reading of the gauge has come.
    is_assumed: bool,
    succession: Succession,
}

impl InheritedRuns {
    /// Assumes that the cores are taken, until evidence shows how many are.
    pub fn assume(&mut self, cores: f64, now: Nanos) {
        (self.bound, self.is_assumed) = (cores, true);
        self.succession = Succession::beginning_at(now);
    }

    /// Returns the upper bound.
    pub fn bound(&self) -> f64 {
        self.bound
    }

    /// Takes account of a reading of the gauge of runnable threads. `own` is the number of runs of this
    /// process that may be on the cores. The first reading may also show more runs than were assumed.
    pub fn observe_gauge(&mut self, runnable: Option<f64>, own: f64) {
        let Some(runnable) = runnable.filter(|_| self.bound > 0.0) else { return };
        let others = (runnable - own).max(0.0);
        self.bound = if self.is_assumed { others } else { self.bound.min(others) };
        self.is_assumed = false;
    }

    /// Takes account of the end of a run of this process that started at `started`. The cores are shared
    /// evenly, so the inherited runs have ended after several runs in succession.
    pub fn observe_end(&mut self, started: Nanos, now: Nanos) {
        self.succession.observe_end(started, now);
        if self.succession.is_complete() {
            self.bound = 0.0;
        }
    }
}
