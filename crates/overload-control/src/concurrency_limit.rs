//! Limit on concurrent runs, which the server learns from run times.
//!
//! The upper bound of the limit is a share of the survivable concurrency. With more open runs than the
//! survivable concurrency, the server collapses. An open run has started and not ended.

use crate::Nanos;

/// Factor by which the concurrency limit grows in one control period. The growth may be larger than the
/// reduction by `CUT_RATIO`, because the limit grows only while the cores are below their target utilization.
const GROWTH_RATIO: f64 = 1.15;
/// Factor by which the concurrency limit is multiplied in a control period in which it shrinks.
const CUT_RATIO: f64 = 0.95;
/// Maximum number of open runs, as a share of the survivable concurrency. The survivable concurrency is the
/// number of open runs beyond which the server collapses.
const SURVIVABLE_SHARE: f64 = 0.7;

/// Model of the server's speed, which is reduced while the server warms up.
pub struct WarmUp {
    /// Time at which the server started, on the host's clock.
    pub started: Nanos,
    /// Whether the server started cold. A server that did not start cold has full speed at once.
    pub starts_cold: bool,
    /// Speed of a cold server at its start, as a ratio of full speed.
    pub cold_speed_ratio: f64,
    /// Time from the start of a cold server until it reaches full speed.
    pub duration: Nanos,
}

impl WarmUp {
    /// Returns a lower bound of the server's current speed, as a ratio of full speed.
    pub fn speed_ratio(&self, now: Nanos) -> f64 {
        let warmed = (now - self.started) as f64 / self.duration.max(1) as f64;
        let speed = self.cold_speed_ratio + (1.0 - self.cold_speed_ratio) * warmed;
        if self.starts_cold { speed.min(1.0) } else { 1.0 }
    }
}

/// Measurements from which the concurrency limit is adapted once per control period.
pub struct Load {
    /// Whether invocations wait in the pending queue.
    pub is_queueing: bool,
    /// Number of runs on the cores.
    pub running: f64,
    /// Whether concurrent runs slow each other down, so that each run uses more core time.
    pub are_runs_slowed: bool,
    /// Whether runs were on the cores for the whole of the last control period and none left them.
    pub lacks_progress: bool,
    /// Whether the cores stand still.
    pub are_cores_standing_still: bool,
    /// Utilization of the cores during the last control period, from 0 to 1.
    pub utilization: f64,
    /// Target utilization of the cores, from 0 to 1.
    pub target_utilization: f64,
}

/// The learned limit.
pub struct ConcurrencyLimit {
    limit: f64,
    cores: f64,
    /// Survivable concurrency of a server at full speed, as a multiple of its cores. The survivable
    /// concurrency is the number of open runs beyond which the server collapses.
    survivable_ratio: f64,
    warm_up: WarmUp,
}

impl ConcurrencyLimit {
    /// Creates the limit on concurrent runs. The initial limit is the number of cores.
    pub fn new(cores: f64, survivable_ratio: f64, warm_up: WarmUp) -> Self {
        Self { limit: cores, cores, survivable_ratio, warm_up }
    }

    /// Returns the learned limit on concurrent runs.
    pub fn get(&self) -> f64 {
        self.limit
    }

    /// Returns a lower bound of the server's current speed, as a ratio of full speed.
    pub fn speed_ratio(&self, now: Nanos) -> f64 {
        self.warm_up.speed_ratio(now)
    }

    /// Returns the number of open runs beyond which the server collapses. The number is lower while the
    /// server warms up.
    pub fn collapse(&self, now: Nanos) -> f64 {
        let speed = self.warm_up.speed_ratio(now);
        self.cores * (1.0 + (self.survivable_ratio - 1.0) * speed)
    }

    /// Returns the maximum number of open runs. An open run is on a core, waits to make a downstream call, or
    /// has a downstream call in progress. The maximum is lower while the server warms up.
    pub fn survivable(&self, now: Nanos) -> f64 {
        self.collapse(now) * SURVIVABLE_SHARE
    }

    /// Adapts the limit to the load of the last control period.
    ///
    /// The limit grows if runs reach it while the cores are below their target utilization: the runs then
    /// wait for something other than a core. If the limit does not grow, it shrinks in two cases:
    /// concurrent runs slow each other down, or the cores are above their target utilization. Without
    /// progress on the cores, the limit does not grow, because a low utilization may mean that they stand
    /// still. Once they do, the limit is the number of cores. The limit stays between the number of cores
    /// and the maximum number of open runs.
    pub fn adapt(&mut self, now: Nanos, load: &Load) {
        let binds = load.is_queueing && load.running + 1.0 > self.limit && !load.lacks_progress;
        if load.are_cores_standing_still {
            self.limit = self.cores;
        } else if binds && load.utilization < load.target_utilization {
            self.limit *= GROWTH_RATIO;
        } else if load.are_runs_slowed || load.utilization > load.target_utilization {
            self.limit *= CUT_RATIO;
        }
        self.limit = self.limit.clamp(self.cores, self.survivable(now).max(self.cores));
    }
}
