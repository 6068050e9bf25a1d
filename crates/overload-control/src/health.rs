//! Whether this server is healthy: its runs succeed, and they move. And whether it was last reported ready,
//! which a draining server is not, however healthy.

use crate::Nanos;
use crate::decaying_mean::DecayingMean;
use crate::operation_times::TIMES_HALF_LIFE;

/// Share of failing runs from which arrivals are kept away; and the largest share kept away for it.
const FAILING_SHARE_MIN: f64 = 0.25;
const FAILING_SHARE_MAX: f64 = 0.9;
/// Runs to have seen before their failures count.
const RUNS_MIN: f64 = 2.0;
/// Nothing moved on the cores for this many of the longest usual run times: the server has stalled.
const STALL_RATIO: f64 = 6.0;

/// State of health.
pub struct Health {
    /// Share of runs that failed. Its half-life is shorter than that of times, as a failing server takes in
    /// arrivals until it shows.
    failing: DecayingMean,
    /// When a run last left the cores.
    last_progress: Nanos,
    /// What health checks are answered: healthy, and arrivals are wanted.
    is_ready: bool,
}

impl Health {
    /// A healthy server.
    pub fn new(now: Nanos) -> Self {
        let failing = DecayingMean::new(TIMES_HALF_LIFE / 4, now);
        Self { failing, last_progress: now, is_ready: true }
    }

    /// A run has ended by itself.
    pub fn observe_run(&mut self, now: Nanos, failed: bool) {
        self.failing.add(now, f64::from(failed));
    }

    /// A run has left the cores.
    pub fn observe_progress(&mut self, now: Nanos) {
        self.last_progress = now;
    }

    /// Share of arrivals to keep away, from 0 for a healthy server to 1 for one that has stalled. A server
    /// whose runs fail at once looks idle and would attract more of them.
    pub fn unhealthy_ratio(&self, now: Nanos, oldest_run: Option<Nanos>, longest_core_ns: f64) -> f64 {
        let standstill = oldest_run.map_or(0, |since| now - since.max(self.last_progress));
        let has_seen_runs = self.failing.weight(now) > RUNS_MIN;
        let failing = if has_seen_runs { self.failing.mean() } else { 0.0 };
        if standstill as f64 > longest_core_ns * STALL_RATIO {
            1.0
        } else if failing > FAILING_SHARE_MIN {
            failing.min(FAILING_SHARE_MAX)
        } else {
            0.0
        }
    }

    /// Sets the readiness, which health checks are answered; true where it has changed.
    pub fn set_ready(&mut self, is_ready: bool) -> bool {
        std::mem::replace(&mut self.is_ready, is_ready) != is_ready
    }
}
