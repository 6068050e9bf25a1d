//! Defines the plan of a rollout. A plan has stages of growing size, a bake time for each stage, and the
//! thresholds for a regression.

use crate::Nanos;
use crate::metrics::Metric;
use serde::{Deserialize, Serialize};

/// Nanoseconds per millisecond.
const MILLISECOND_NS: Nanos = 1_000_000;

/// Maximum length of a plan's name, in bytes.
pub const NAME_BYTES_MAX: usize = 64;
/// Maximum number of stages in a plan.
pub const STAGES_MAX: usize = 32;
/// Minimum number of intervals that a comparison of servers needs.
pub const INTERVALS_MIN: usize = 6;
/// Maximum latency threshold that a plan may set. The threshold is a relative increase of the 95th percentile
/// of latency.
const LATENCY_MAX: f64 = 100.0;
/// Maximum `alpha` that a plan may set. `alpha` is the accepted probability of a false stop.
const ALPHA_MAX: f64 = 0.2;

/// Kind of a change. The order of the variants is part of the wire format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeKind {
    /// The change consists of new settings. The running process applies them.
    #[default]
    Settings,
    /// The change is a new program. The process exits, and its supervisor starts the new program.
    Program,
}

/// Number of changed servers at the end of a stage. Servers changed in earlier stages are included.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StageSize {
    /// Number of servers, above 0.
    Servers(u32),
    /// Share of the servers in the fleet, above 0 and at most 1. The number of servers is rounded up to at
    /// least one.
    Share(f64),
}

impl StageSize {
    /// Returns the number of changed servers at the end of the stage, in a fleet of `servers` servers.
    pub fn server_count(self, servers: usize) -> usize {
        match self {
            StageSize::Servers(count) => (count as usize).min(servers),
            StageSize::Share(share) => ((servers as f64 * share).ceil() as usize).clamp(1, servers.max(1)),
        }
    }

    /// Returns whether this size is larger than the size of the previous stage. Also returns true if the
    /// sizes cannot be compared, because one is a number of servers and the other is a share of the fleet.
    fn exceeds(self, previous: StageSize) -> bool {
        match (previous, self) {
            (StageSize::Servers(previous), StageSize::Servers(now)) => now > previous,
            (StageSize::Share(previous), StageSize::Share(now)) => now > previous,
            (StageSize::Servers(_), StageSize::Share(_)) | (StageSize::Share(_), StageSize::Servers(_)) => {
                true
            }
        }
    }
}

/// A stage of a plan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stage {
    /// Number of changed servers at the end of the stage. Servers changed in earlier stages are included.
    pub size: StageSize,
    /// Time for which changed and unchanged servers are compared before the next stage begins, in
    /// nanoseconds.
    pub bake_time: Nanos,
}

/// Action to take if the changed servers perform worse than the unchanged servers, a server fails, or there
/// are too few values to compare.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnRegression {
    /// Stop the rollout. The servers changed so far keep the change, and no further server is changed.
    Stop,
    /// Roll back every server.
    RollBack,
}

/// Thresholds of the differences between changed and unchanged servers. Only a difference above its threshold
/// counts as a regression. Smaller differences are ignored even if they are statistically significant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Thresholds {
    /// Threshold for the difference in the share of rejected answers, above 0 and at most 1.
    pub throttled: f64,
    /// Threshold for the difference in the share of failed answers, above 0 and at most 1.
    pub errored: f64,
    /// Threshold for the difference in the share of answers sent after the client timeout, above 0 and at
    /// most 1.
    pub late: f64,
    /// Threshold for the relative increase of the 95th percentile of latency, above 0 and at most 100.
    pub latency: f64,
    /// Accepted probability that a stage is stopped although the change has no effect, above 0 and at most
    /// 0.2.
    pub alpha: f64,
}

impl Default for Thresholds {
    fn default() -> Self {
        Thresholds { throttled: 0.02, errored: 0.01, late: 0.005, latency: 0.25, alpha: 0.01 }
    }
}

impl Thresholds {
    /// Returns the threshold of a metric, in the unit of the metric's values. For latency, the threshold is a
    /// difference of logarithms.
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

/// Plan of one rollout, as read from its plan file.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Name of the plan. Its length is 1 to [`NAME_BYTES_MAX`] bytes.
    pub name: String,
    /// Hash of the new settings or the new program that the plan rolls out.
    pub candidate: u64,
    /// Kind of the change.
    pub kind: ChangeKind,
    /// Stages of the plan, at least 1 and at most [`STAGES_MAX`]. Each stage is larger than the previous
    /// stage.
    pub stages: Vec<Stage>,
    /// Action to take if the changed servers perform worse than the unchanged servers, a server fails, or
    /// there are too few values to compare.
    pub on_regression: OnRegression,
    /// Thresholds above which a difference between changed and unchanged servers counts as a regression.
    pub thresholds: Thresholds,
    /// Interval between two orders to a server, in nanoseconds. A server answers each order with the metrics
    /// of one interval.
    pub interval: Nanos,
    /// Time for which the fleet's view must be unchanged to count as settled, in nanoseconds. A stage begins,
    /// and bake time counts, only while the view is settled.
    pub settle_time: Nanos,
    /// Time after a change in which servers are not compared, in nanoseconds. A process is slower for a short
    /// time after its start, with the old program as well as with the new program.
    pub warm_up: Nanos,
    /// Maximum time for a server to carry out an order and send a report, in nanoseconds.
    pub response_timeout: Nanos,
}

/// Reason why a plan is invalid. The message uses the names of elements and attributes in the plan file.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum PlanError {
    /// The plan's name is empty or too long.
    #[error("name: 1 to {NAME_BYTES_MAX} bytes, not {bytes}")]
    Name {
        /// Length of the name, in bytes.
        bytes: usize,
    },
    /// The plan has no stage, or more stages than allowed.
    #[error("stage: 1 to {STAGES_MAX} stages, not {count}")]
    StageCount {
        /// Number of stages.
        count: usize,
    },
    /// The interval is zero, or longer than the response timeout.
    #[error(
        "interval-ms: must be above 0; patience-ms: must be at least interval-ms; not {} and {}",
        .interval / MILLISECOND_NS, .response_timeout / MILLISECOND_NS
    )]
    Interval {
        /// Interval in the plan, in nanoseconds.
        interval: Nanos,
        /// Response timeout in the plan, in nanoseconds.
        response_timeout: Nanos,
    },
    /// A stage is invalid.
    #[error("stage {number}: {fault}")]
    Stage {
        /// Number of the stage, from 1.
        number: usize,
        /// Fault of the stage.
        fault: StageError,
    },
    /// A threshold is out of range.
    #[error(
        "throttled, errored, late: above 0 and at most 1; latency: at most {LATENCY_MAX}; \
         not {throttled}, {errored}, {late} and {latency}"
    )]
    Thresholds {
        /// Threshold for the share of rejected answers, as given in the plan. Valid if above 0 and at most 1.
        throttled: f64,
        /// Threshold for the share of failed answers, as given in the plan. Valid if above 0 and at most 1.
        errored: f64,
        /// Threshold for the share of answers sent after the client timeout, as given in the plan. Valid if
        /// above 0 and at most 1.
        late: f64,
        /// Threshold for the relative increase of latency, as given in the plan. Valid if above 0 and at most
        /// 100.
        latency: f64,
    },
    /// The plan's `alpha`, its accepted probability of a false stop, is out of range.
    #[error("alpha: {alpha} is not above 0 and at most {ALPHA_MAX}")]
    Alpha {
        /// Value of `alpha` in the plan.
        alpha: f64,
    },
}

/// Fault of a single stage.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum StageError {
    /// The stage changes no servers.
    #[error("servers: 0 changes nothing")]
    NoServers,
    /// The stage's share of the fleet is out of range.
    #[error("share: {share} is not above 0 and at most 1")]
    Share {
        /// Share of the fleet that the plan states for the stage.
        share: f64,
    },
    /// The bake time of the stage is shorter than [`INTERVALS_MIN`] intervals.
    #[error("bake-ms: at least {INTERVALS_MIN} intervals, {min_ms}, not {bake_time_ms}")]
    BakeTime {
        /// Minimum bake time in milliseconds: [`INTERVALS_MIN`] times the interval of the plan.
        min_ms: u64,
        /// Bake time of the stage in the plan, in milliseconds.
        bake_time_ms: u64,
    },
    /// The stage is not larger than the previous stage.
    #[error("not larger than the stage before")]
    NotLarger,
}

impl Plan {
    /// Checks the plan. Returns the first fault that makes the plan invalid.
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
        let min_bake_time = self.interval.saturating_mul(INTERVALS_MIN as u64);
        if stage.bake_time < min_bake_time {
            let (min_ms, bake_time_ms) = (min_bake_time / MILLISECOND_NS, stage.bake_time / MILLISECOND_NS);
            return Err(StageError::BakeTime { min_ms, bake_time_ms });
        }
        let previous = index.checked_sub(1).map(|previous| self.stages[previous].size);
        if previous.is_some_and(|previous| !stage.size.exceeds(previous)) {
            return Err(StageError::NotLarger);
        }
        Ok(())
    }

    /// Returns the number of verdicts planned for a stage. The first verdict needs [`INTERVALS_MIN`]
    /// intervals, and each later interval of the bake time adds one verdict.
    pub fn planned_verdicts(&self, stage: usize) -> usize {
        let intervals = (self.stages[stage].bake_time / self.interval) as usize;
        intervals.saturating_sub(INTERVALS_MIN) + 1
    }
}
