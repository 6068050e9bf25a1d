//! Decides whether another run may start. The decision depends on the limits on concurrent runs.

use crate::Nanos;
use crate::regulator::CONTROL_PERIOD;

/// Maximum reduction of the concurrency limit, as a share of the server's cores. The limit is reduced by the
/// number of cores that reading arrivals uses.
const READING_SHARE_MAX: f64 = 0.25;
/// Maximum number of runs that may be on the cores beyond the concurrency limit, as a share of the server's
/// cores. Runs that were lost with a link must not keep the places of others.
const POSSIBLE_SHARE: f64 = 1.0;
/// Maximum number of open runs while nothing but lingering runs is open, as a share of the number beyond
/// which the server collapses.
const PROBE_SHARE: f64 = 0.9;
/// Time after the most recent start of a run from which a run may start in this state.
const PROBE_PERIOD: Nanos = CONTROL_PERIOD * 4;

/// Runs that are in progress, or that may be.
pub struct RunsInProgress {
    /// Number of runs that are expected to be on the cores.
    pub running: f64,
    /// Maximum number of runs that may be on the cores: nothing has excluded that they are there.
    ///
    /// Invariant: `running <= possible <= open`.
    pub possible: f64,
    /// Number of open runs: `possible`, and the runs that wait to make a downstream call or have a downstream
    /// call in progress.
    pub open: f64,
}

impl RunsInProgress {
    /// Whether every open run is one whose end will probably not be reported.
    fn are_all_unaccounted(&self) -> bool {
        self.running == 0.0 && self.open > 0.0 && self.open == self.possible
    }
}

/// Limits on the concurrent runs of a server.
pub struct RunLimits {
    /// Learned limit on the number of runs that are on the cores.
    pub concurrency: f64,
    /// Maximum number of open runs. An open run is on a core, waits to make a downstream call, or has a
    /// downstream call in progress.
    pub survivable: f64,
    /// Number of open runs beyond which the server collapses.
    pub collapse: f64,
    /// Whether the cores stand still.
    pub are_cores_standing_still: bool,
    /// Time since a run was most recently started.
    pub since_last_start: Nanos,
    /// Number of cores that the reading of arrivals uses.
    pub reading_threads: f64,
    /// Number of cores of the server.
    pub cores: f64,
    /// Whether this server belongs to a downstream tier. In a downstream tier, reading arrivals does not
    /// reduce the concurrency limit, because rejecting a downstream call would waste work of the calling
    /// tier.
    pub is_downstream_tier: bool,
}

impl RunLimits {
    /// Whether another run may start.
    ///
    /// If only runs are open whose end will probably not be reported, a single run may start beyond the other
    /// limits. Its end shows that the cores move.
    pub fn admit(&self, runs: &RunsInProgress) -> bool {
        if self.may_probe(runs) {
            return true;
        }
        runs.running + 1.0 <= self.on_cores()
            && runs.possible + 1.0 <= self.possible()
            && runs.open + 1.0 <= self.survivable.max(1.0)
    }

    /// Returns how many more runs the limits on runs on the cores permit.
    pub fn free_slots(&self, runs: &RunsInProgress) -> f64 {
        let expected = self.concurrency - runs.running;
        let possible = self.concurrency + self.beyond_limit() - runs.possible;
        expected.min(possible).floor().max(0.0)
    }

    /// Returns the limit on runs that are expected to be on the cores.
    fn on_cores(&self) -> f64 {
        let share_max = if self.is_downstream_tier { 0.0 } else { READING_SHARE_MAX };
        let reading = self.reading_threads.min(self.cores * share_max);
        let limit = (self.concurrency - reading).round();
        limit.min(self.survivable).max(1.0)
    }

    /// Returns the limit on runs that may be on the cores.
    fn possible(&self) -> f64 {
        self.on_cores() + self.beyond_limit()
    }

    /// Returns how many runs may be on the cores beyond the concurrency limit.
    fn beyond_limit(&self) -> f64 {
        if self.are_cores_standing_still { 0.0 } else { (self.cores * POSSIBLE_SHARE).ceil() }
    }

    fn may_probe(&self, runs: &RunsInProgress) -> bool {
        runs.are_all_unaccounted()
            && self.since_last_start >= PROBE_PERIOD
            && runs.open + 1.0 <= self.collapse * PROBE_SHARE
    }
}
