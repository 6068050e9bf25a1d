//! How many runs go on side by side: learned from the latency of runs, within what the server survives.

use crate::Nanos;

/// Steps of the limit in a control period. It grows only while the cores are short of their target, so one
/// step up may be larger than one down.
const GROWTH_RATIO: f64 = 1.15;
const CUT_RATIO: f64 = 0.95;
/// Share of the survivable concurrency that is used.
const SURVIVABLE_SHARE: f64 = 0.7;

/// The server's speed while it warms up.
pub struct WarmUp {
    /// When the server started.
    pub started: Nanos,
    /// A server that started warm has full speed from the start.
    pub starts_cold: bool,
    /// Speed at the start as a ratio of full speed.
    pub cold_speed_ratio: f64,
    /// Time until full speed.
    pub duration: Nanos,
}

impl WarmUp {
    /// Share of its full speed that the server has reached at the least.
    pub fn speed_ratio(&self, now: Nanos) -> f64 {
        let warmed = (now - self.started) as f64 / self.duration.max(1) as f64;
        let speed = self.cold_speed_ratio + (1.0 - self.cold_speed_ratio) * warmed;
        if self.starts_cold { speed.min(1.0) } else { 1.0 }
    }
}

/// What the limit is adapted to once a control period.
pub struct Load {
    /// Something waits in the pending queue.
    pub is_queueing: bool,
    /// Runs on the cores.
    pub running: f64,
    /// Runs slow each other down.
    pub are_runs_slowed: bool,
    /// Busy share of the cores over the last period, from 0 to 1.
    pub utilization: f64,
    /// What the regulator steers to.
    pub target_utilization: f64,
}

/// The learned limit.
pub struct ConcurrencyLimit {
    limit: f64,
    cores: f64,
    /// Runs that a warm server survives, as a multiple of its cores.
    survivable_ratio: f64,
    warm_up: WarmUp,
}

impl ConcurrencyLimit {
    /// A limit that starts at the core count.
    pub fn new(cores: f64, survivable_ratio: f64, warm_up: WarmUp) -> Self {
        Self { limit: cores, cores, survivable_ratio, warm_up }
    }

    /// Runs that go on side by side.
    pub fn get(&self) -> f64 {
        self.limit
    }

    /// Share of its full speed that the server has reached at the least.
    pub fn speed_ratio(&self, now: Nanos) -> f64 {
        self.warm_up.speed_ratio(now)
    }

    /// Runs that may be open at once, those at downstream calls included; fewer while the server warms up.
    pub fn survivable(&self, now: Nanos) -> f64 {
        let speed = self.warm_up.speed_ratio(now);
        self.cores * (1.0 + (self.survivable_ratio - 1.0) * speed) * SURVIVABLE_SHARE
    }

    /// Grows while runs wait for something else than a core, and falls where they slow each other down; from
    /// the core count up to what the server survives.
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
