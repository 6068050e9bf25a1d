//! Limit on concurrent runs, learned from run times and bounded by the survivable concurrency.

use crate::Nanos;

/// Factor by which the limit grows in one control period. The limit grows only while the cores are below
/// their target, so its growth can be larger than its reduction.
const GROWTH_RATIO: f64 = 1.15;
/// Factor by which the limit is reduced in one control period.
const CUT_RATIO: f64 = 0.95;
/// Share of the survivable concurrency that is used.
const SURVIVABLE_SHARE: f64 = 0.7;

/// Model of the server's speed while it warms up.
pub struct WarmUp {
    /// Time at which the server started.
    pub started: Nanos,
    /// Whether the server started cold; a warm one has full speed from the start.
    pub starts_cold: bool,
    /// Initial speed of a cold server as a ratio of full speed.
    pub cold_speed_ratio: f64,
    /// Time from the start until full speed is reached.
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

/// Measurements to which the limit is adapted once per control period.
pub struct Load {
    /// Whether the pending queue is not empty.
    pub is_queueing: bool,
    /// Number of runs on the cores.
    pub running: f64,
    /// Whether runs slow each other down.
    pub are_runs_slowed: bool,
    /// Utilization of the cores during the last control period, from 0 to 1.
    pub utilization: f64,
    /// Target utilization of the regulator, from 0 to 1.
    pub target_utilization: f64,
}

/// The learned limit.
pub struct ConcurrencyLimit {
    limit: f64,
    cores: f64,
    /// Number of concurrent runs that a warm server survives, as a multiple of its cores.
    survivable_ratio: f64,
    warm_up: WarmUp,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at the core count.
    pub fn new(cores: f64, survivable_ratio: f64, warm_up: WarmUp) -> Self {
        Self { limit: cores, cores, survivable_ratio, warm_up }
    }

    /// Returns the limit on concurrent runs.
    pub fn get(&self) -> f64 {
        self.limit
    }

    /// Returns a lower bound of the server's current speed, as a ratio of full speed.
    pub fn speed_ratio(&self, now: Nanos) -> f64 {
        self.warm_up.speed_ratio(now)
    }

    /// Returns the maximum number of open runs, including runs at downstream calls; lower while the server
    /// warms up.
    pub fn survivable(&self, now: Nanos) -> f64 {
        let speed = self.warm_up.speed_ratio(now);
        self.cores * (1.0 + (self.survivable_ratio - 1.0) * speed) * SURVIVABLE_SHARE
    }

    /// Raises the limit while it is reached and the cores are below their target, which means that runs
    /// wait for something other than a core. Lowers the limit while runs slow each other down or the cores
    /// are above their target. The limit stays between the core count and the survivable concurrency.
    pub fn adapt(&mut self, now: Nanos, load: &Load) {
        let binds = load.is_queueing && load.running + 1.0 > self.limit;
        if binds && load.utilization < load.target_utilization {
            self.limit *= GROWTH_RATIO;
        } else if load.are_runs_slowed || load.utilization > load.target_utilization {
            self.limit *= CUT_RATIO;
        }
        self.limit = self.limit.clamp(self.cores, self.survivable(now).max(self.cores));
    }
}
