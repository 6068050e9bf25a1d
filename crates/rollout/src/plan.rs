//! The plan of a rollout: stages of growing size, each compared for a while, and how much worse is too much.

use crate::Nanos;
use crate::metrics::Metric;
use serde::{Deserialize, Serialize};

const MILLISECOND_NS: Nanos = 1_000_000;

/// Longest name of a plan, in bytes.
pub const NAME_BYTES_MAX: usize = 64;
/// Stages of a plan, at most.
pub const STAGES_MAX: usize = 32;
/// Intervals that a comparison requires.
pub const INTERVALS_MIN: usize = 6;
/// Largest threshold of latency: the 95th percentile a hundred times higher.
const LATENCY_MAX: f64 = 100.0;
const ALPHA_MAX: f64 = 0.2;

/// What a change is of. Its variants are part of the wire format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeKind {
    /// Settings, taken over by the running process.
    #[default]
    Settings,
    /// The program: the process ends, and what supervises it starts the other program.
    Program,
}

/// Servers changed at the end of a stage, those of the stages before included.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StageSize {
    /// A number of servers, above 0.
    Servers(u32),
    /// Share of the servers, above 0 and at most 1; at least one server.
    Share(f64),
}

impl StageSize {
    /// The number of servers out of all of them.
    pub fn server_count(self, servers: usize) -> usize {
        match self {
            StageSize::Servers(count) => (count as usize).min(servers),
            StageSize::Share(share) => ((servers as f64 * share).ceil() as usize).clamp(1, servers.max(1)),
        }
    }

    /// Whether it is larger than the size before; a number and a share are not compared.
    fn exceeds(self, before: StageSize) -> bool {
        match (before, self) {
            (StageSize::Servers(before), StageSize::Servers(now)) => now > before,
            (StageSize::Share(before), StageSize::Share(now)) => now > before,
            (StageSize::Servers(_), StageSize::Share(_)) | (StageSize::Share(_), StageSize::Servers(_)) => {
                true
            }
        }
    }
}

/// One stage of a plan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stage {
    /// Servers changed at the end of the stage.
    pub size: StageSize,
    /// How long the changed servers are compared before the next stage, in nanoseconds.
    pub bake_time: Nanos,
}

/// What happens when the changed servers do worse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnRegression {
    /// The servers changed so far stay changed, and no further one is.
    Stop,
    /// Every server goes back.
    RollBack,
}

/// Differences that matter, however certain smaller ones are.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Thresholds {
    /// Difference in the share of answers throttled, above 0 and at most 1.
    pub throttled: f64,
    /// Difference in the share of answers errored, above 0 and at most 1.
    pub errored: f64,
    /// Difference in the share of answers late, above 0 and at most 1.
    pub late: f64,
    /// Share by which the 95th percentile of latency may be higher, above 0 and at most 100.
    pub latency: f64,
    /// Probability, over one whole stage, of stopping a change that makes no difference; at most 0.2.
    pub alpha: f64,
}

impl Default for Thresholds {
    fn default() -> Self {
        Thresholds { throttled: 0.02, errored: 0.01, late: 0.005, latency: 0.25, alpha: 0.01 }
    }
}

impl Thresholds {
    /// The threshold of a metric, in the metric's own unit.
    pub fn min_difference(&self, metric: Metric) -> f64 {
        match metric {
            Metric::Throttled => self.throttled,
            Metric::Errored => self.errored,
            Metric::Late => self.late,
            Metric::Latency => (1.0 + self.latency).ln(),
        }
    }

    fn check(&self) -> Result<(), PlanError> {
        let Thresholds { throttled, errored, late, latency, alpha } = *self;
        let is_within = |value: f64, max: f64| value > 0.0 && value <= max;
        let shares_are_valid = [throttled, errored, late].into_iter().all(|share| is_within(share, 1.0));
        if !shares_are_valid || !is_within(latency, LATENCY_MAX) {
            return Err(PlanError::Thresholds { throttled, errored, late, latency });
        }
        if !is_within(alpha, ALPHA_MAX) {
            return Err(PlanError::Alpha { alpha });
        }
        Ok(())
    }
}

/// A plan, as its file gives it.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Name of the plan, 1 to [`NAME_BYTES_MAX`] bytes.
    pub name: String,
    /// The change: the hash of its settings or program.
    pub candidate: u64,
    /// What the change is of.
    pub kind: ChangeKind,
    /// The stages, 1 to [`STAGES_MAX`], each larger than the one before.
    pub stages: Vec<Stage>,
    /// What happens when the changed servers do worse.
    pub on_regression: OnRegression,
    /// How much worse is too much.
    pub thresholds: Thresholds,
    /// How often servers are ordered and report, in nanoseconds; each report is one interval compared.
    pub interval: Nanos,
    /// How long the view must not have changed for a stage to begin or time to count as baked, in
    /// nanoseconds.
    pub settle_time: Nanos,
    /// How long the servers of a stage are not compared yet after they have changed, in nanoseconds: a
    /// process that has just started is slower for a while, whatever its program.
    pub warm_up: Nanos,
    /// How long a server may take to carry out an order, or to report at all, in nanoseconds.
    pub response_timeout: Nanos,
}

/// A plan that cannot be carried out. The text names the place as the plan's file does.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum PlanError {
    /// The name is empty or too long.
    #[error("name: 1 to {NAME_BYTES_MAX} bytes, not {bytes}")]
    Name {
        /// Length of the name given.
        bytes: usize,
    },
    /// No stage, or too many.
    #[error("stage: 1 to {STAGES_MAX} of them, not {count}")]
    StageCount {
        /// Number of stages given.
        count: usize,
    },
    /// The interval is zero, or longer than the time a server may take to respond.
    #[error(
        "interval-ms: above 0; patience-ms: an interval at least; not {} and {}",
        .interval / MILLISECOND_NS, .response_timeout / MILLISECOND_NS
    )]
    Interval {
        /// The interval given, in nanoseconds.
        interval: Nanos,
        /// The response timeout given, in nanoseconds.
        response_timeout: Nanos,
    },
    /// A stage that cannot be carried out.
    #[error("stage {number}: {fault}")]
    Stage {
        /// Number of the stage, from 1.
        number: usize,
        /// What is wrong with it.
        fault: StageError,
    },
    /// A threshold out of its range.
    #[error(
        "throttled, errored, late: above 0 and at most 1; latency: at most {LATENCY_MAX}; \
         not {throttled}, {errored}, {late} and {latency}"
    )]
    Thresholds {
        /// Threshold of the share throttled.
        throttled: f64,
        /// Threshold of the share errored.
        errored: f64,
        /// Threshold of the share late.
        late: f64,
        /// Threshold of the latency.
        latency: f64,
    },
    /// The probability of a false stop is out of its range.
    #[error("alpha: {alpha} is not above 0 and at most {ALPHA_MAX}")]
    Alpha {
        /// The probability given.
        alpha: f64,
    },
}

/// What is wrong with a stage.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum StageError {
    /// A stage of no servers.
    #[error("servers: 0 changes nothing")]
    NoServers,
    /// A share out of its range.
    #[error("share: {share} is not above 0 and at most 1")]
    Share {
        /// The share given.
        share: f64,
    },
    /// The bake time has too few intervals for a comparison.
    #[error("bake-ms: at least {INTERVALS_MIN} intervals, {min_ms}, not {bake_time_ms}")]
    BakeTime {
        /// The least bake time, in milliseconds.
        min_ms: u64,
        /// The bake time given, in milliseconds.
        bake_time_ms: u64,
    },
    /// The stage is not larger than the one before.
    #[error("not larger than the one before")]
    NotLarger,
}

impl Plan {
    /// The first thing that keeps the plan from being carried out, if there is one.
    pub fn check(&self) -> Result<(), PlanError> {
        let bytes = self.name.len();
        if bytes == 0 || bytes > NAME_BYTES_MAX {
            return Err(PlanError::Name { bytes });
        }
        let count = self.stages.len();
        if count == 0 || count > STAGES_MAX {
            return Err(PlanError::StageCount { count });
        }
        let (interval, response_timeout) = (self.interval, self.response_timeout);
        if interval == 0 || response_timeout < interval {
            return Err(PlanError::Interval { interval, response_timeout });
        }
        for index in 0..count {
            self.check_stage(index).map_err(|fault| PlanError::Stage { number: index + 1, fault })?;
        }
        self.thresholds.check()
    }

    fn check_stage(&self, index: usize) -> Result<(), StageError> {
        let stage = &self.stages[index];
        match stage.size {
            StageSize::Servers(0) => return Err(StageError::NoServers),
            StageSize::Share(share) if !(share > 0.0 && share <= 1.0) => {
                return Err(StageError::Share { share });
            }
            StageSize::Servers(_) | StageSize::Share(_) => {}
        }
        let least = self.interval.saturating_mul(INTERVALS_MIN as u64);
        if stage.bake_time < least {
            let (min_ms, bake_time_ms) = (least / MILLISECOND_NS, stage.bake_time / MILLISECOND_NS);
            return Err(StageError::BakeTime { min_ms, bake_time_ms });
        }
        let before = index.checked_sub(1).map(|before| self.stages[before].size);
        if before.is_some_and(|before| !stage.size.exceeds(before)) {
            return Err(StageError::NotLarger);
        }
        Ok(())
    }

    /// Verdicts asked for in a stage: one an interval once there are enough intervals.
    pub fn planned_verdicts(&self, stage: usize) -> usize {
        let intervals = (self.stages[stage].bake_time / self.interval) as usize;
        intervals.saturating_sub(INTERVALS_MIN) + 1
    }
}
