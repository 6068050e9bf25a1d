//! Usual run times of each operation, learned from successful runs.

use crate::decaying_mean::DecayingMean;
use crate::largest::Largest;
use crate::regulator::CONTROL_PERIOD;
use crate::{Nanos, Operation};
use meadowstream_pending_queue::UsualTimes;

/// Half-life of learned times.
pub const TIMES_HALF_LIFE: Nanos = CONTROL_PERIOD * 16;
/// Initial estimate of a run time, as a share of the latency objective of the operation.
const INITIAL_TIME_SHARE: f64 = 0.15;
/// Factor by which the lowest core time grows with each run, so that it adapts to a lasting change.
const LOWEST_TIME_GROWTH: f64 = 1.005;
/// Ratio of usual to lowest core time above which runs slow each other down.
const SLOWED_RATIO: f64 = 1.3;

struct OperationTime {
    /// Core time, ns.
    core: DecayingMean,
    /// Time from start to end, ns.
    elapsed: DecayingMean,
    /// Core time of runs that do not slow each other down, ns.
    lowest: f64,
    /// Cost hints of callers, ns.
    hint: DecayingMean,
}

impl OperationTime {
    fn usual(&self) -> UsualTimes {
        UsualTimes { core_ns: self.core.mean(), elapsed_ns: self.elapsed.mean() }
    }
}

/// Learned times of all operations.
pub struct OperationTimes {
    learned: Vec<OperationTime>,
    usual: Vec<UsualTimes>,
    core_times: Largest,
}

impl OperationTimes {
    /// Creates the times with initial estimates derived from the latency objectives.
    pub fn new(operations: &[Operation], now: Nanos) -> Self {
        let first = |operation: &Operation| {
            let initial_ns = operation.latency_objective as f64 * INITIAL_TIME_SHARE;
            let time = DecayingMean::starting_at(TIMES_HALF_LIFE, now, initial_ns, 1.0);
            let hint = DecayingMean::new(TIMES_HALF_LIFE, now);
            OperationTime { core: time.clone(), elapsed: time, lowest: f64::INFINITY, hint }
        };
        let learned: Vec<OperationTime> = operations.iter().map(first).collect();
        let usual: Vec<UsualTimes> = learned.iter().map(OperationTime::usual).collect();
        let core_times = usual.iter().map(|times| times.core_ns).collect();
        Self { learned, usual, core_times }
    }

    /// Returns the usual times, indexed by operation.
    pub fn usual(&self) -> &[UsualTimes] {
        &self.usual
    }

    /// Returns the longest usual core time of all operations, ns.
    pub fn longest_core_ns(&self) -> f64 {
        self.core_times.get()
    }

    /// Returns the ratio of a caller's cost hint to the mean hint of the operation; 1 without a hint.
    pub fn cost_ratio(&mut self, now: Nanos, operation: usize, hint: Option<Nanos>) -> f64 {
        let hints = &mut self.learned[operation].hint;
        let Some(hint) = hint else { return 1.0 };
        hints.add(now, hint as f64);
        hint as f64 / hints.mean().max(1.0)
    }

    /// Records the core time and the time from start to end of a successful run.
    pub fn observe(&mut self, now: Nanos, operation: usize, core: Nanos, elapsed: Nanos) {
        let learned = &mut self.learned[operation];
        learned.core.add(now, core as f64);
        learned.elapsed.add(now, elapsed as f64);
        learned.lowest = (learned.lowest * LOWEST_TIME_GROWTH).min(learned.core.mean());
        let before = std::mem::replace(&mut self.usual[operation], learned.usual());
        self.core_times.replace(before.core_ns, self.usual[operation].core_ns);
    }

    /// Whether runs slow each other down.
    pub fn are_slowed(&self) -> bool {
        self.learned.iter().any(|time| time.core.mean() > time.lowest * SLOWED_RATIO)
    }
}
