//! Health of this server. The server is healthy if its runs succeed and make progress. Readiness is a
//! separate property, because a draining server may be healthy but not ready.

use crate::Nanos;
use crate::decaying_mean::DecayingMean;
use crate::operation_times::TIMES_HALF_LIFE;

/// Share of failing runs above which the server is unhealthy.
const FAILING_SHARE_MIN: f64 = 0.25;
/// Upper bound of the share of arrivals that a server rejects because its runs fail.
const FAILING_SHARE_MAX: f64 = 0.9;
/// With this number of recent runs or fewer, failed runs do not make the server unhealthy.
const RUNS_MIN: f64 = 2.0;
/// Time without progress after which the server is stalled, as a multiple of the longest usual core time of
/// its operations. Progress means that a run leaves the cores. A server without runs on its cores is not
/// stalled.
const STALL_RATIO: f64 = 6.0;

/// Health and readiness of the server.
pub struct Health {
    /// Share of recent runs that failed. The half-life of this mean is shorter than the half-life of the
    /// usual run times, so that failures are detected early. Until the failures are detected, a failing
    /// server continues to receive arrivals.
    failing: DecayingMean,
    /// Time at which a run most recently left the cores; `None` before the first run has left them.
    last_progress: Option<Nanos>,
    /// Whether the server was ready at the last report to health checks. A ready server is healthy and wants
    /// arrivals.
    is_ready: bool,
}

impl Health {
    /// Creates the health of a server whose runs have not failed.
    pub fn new(now: Nanos) -> Self {
        let failing = DecayingMean::new(TIMES_HALF_LIFE / 4, now);
        Self { failing, last_progress: None, is_ready: true }
    }

    /// Records the end of a run, and whether the run failed. Not called for a run that was stopped.
    pub fn observe_run(&mut self, now: Nanos, failed: bool) {
        self.failing.add(now, f64::from(failed));
    }

    /// Records that a run has left the cores, which is progress.
    pub fn observe_progress(&mut self, now: Nanos) {
        self.last_progress = Some(now);
    }

    /// Returns the time at which a run most recently left the cores; `None` before the first run has left
    /// them.
    pub fn last_progress(&self) -> Option<Nanos> {
        self.last_progress
    }

    /// Returns the share of arrivals to reject because the server is unhealthy. The share is 0 for a healthy
    /// server, 1 for a stalled server, and otherwise the share of failing runs up to a maximum. Without
    /// rejections, a server whose runs fail immediately would appear idle and attract more arrivals.
    pub fn unhealthy_ratio(&self, now: Nanos, oldest_run: Option<Nanos>, longest_core_ns: f64) -> f64 {
        let last_progress = self.last_progress.unwrap_or(0);
        let time_without_progress = oldest_run.map_or(0, |since| now - since.max(last_progress));
        let has_seen_runs = self.failing.weight(now) > RUNS_MIN;
        let failing = if has_seen_runs { self.failing.mean() } else { 0.0 };
        if time_without_progress as f64 > longest_core_ns * STALL_RATIO {
            1.0
        } else if failing > FAILING_SHARE_MIN {
            failing.min(FAILING_SHARE_MAX)
        } else {
            0.0
        }
    }

    /// Sets the readiness that health checks report. Returns whether the readiness has changed.
    pub fn set_ready(&mut self, is_ready: bool) -> bool {
        std::mem::replace(&mut self.is_ready, is_ready) != is_ready
    }
}
