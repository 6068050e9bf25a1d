//! Learns the usual run times of each operation from its successful runs, as decaying means.

use crate::decaying_mean::DecayingMean;
use crate::largest::Largest;
use crate::regulator::CONTROL_PERIOD;
use crate::{Nanos, Operation};
use meadowstream_pending_queue::UsualTimes;

/// Half-life of the decaying means from which the usual run times are taken: the weight of an observed time
/// halves with each half-life.
pub const TIMES_HALF_LIFE: Nanos = CONTROL_PERIOD * 16;
/// Assumed run time of an operation before its first run, as a share of its latency objective.
const INITIAL_TIME_SHARE: f64 = 0.15;
/// Growth factor of an operation's lowest core time, applied with each run. Without this growth, a lasting
/// increase of the core time would never be accepted as normal.
const LOWEST_TIME_GROWTH: f64 = 1.005;
/// Concurrent runs are considered to slow each other down if an operation's usual core time is more than this
/// multiple of its lowest core time.
const SLOWED_RATIO: f64 = 1.3;

struct OperationTime {
    /// Usual core time of a run, ns: the decaying mean over successful runs.
    core: DecayingMean,
    /// Usual time from start to end of a run, ns: the decaying mean over successful runs.
    elapsed: DecayingMean,
    /// Lowest core time, ns: estimated core time of a run that concurrent runs do not slow down.
    lowest: f64,
    /// Mean of the core times that callers estimate for their invocations ([`crate::Arrival::cost_hint`]),
    /// ns.
    hint: DecayingMean,
}

impl OperationTime {
    fn usual(&self) -> UsualTimes {
        UsualTimes { core_ns: self.core.mean(), elapsed_ns: self.elapsed.mean() }
    }
}

/// Usual run times of all operations, learned from their runs.
pub struct OperationTimes {
    learned: Vec<OperationTime>,
    usual: Vec<UsualTimes>,
    core_times: Largest,
}

impl OperationTimes {
    /// Creates the run times. The initial estimates are derived from the latency objectives of the
    /// operations.
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

    /// Returns the usual run times of all operations. The index identifies the operation.
    pub fn usual(&self) -> &[UsualTimes] {
        &self.usual
    }

    /// Returns the usual core time of the operation with the longest usual core time, ns.
    pub fn longest_core_ns(&self) -> f64 {
        self.core_times.get()
    }

    /// Returns the estimated cost of an invocation, divided by the usual cost of its operation. The result is
    /// the caller's estimate of the core time (`hint`) divided by the mean of all such estimates for the
    /// operation. The result is 1 if the caller sent no estimate.
    pub fn cost_ratio(&mut self, now: Nanos, operation: usize, hint: Option<Nanos>) -> f64 {
        let hints = &mut self.learned[operation].hint;
        let Some(hint) = hint else { return 1.0 };
        hints.add(now, hint as f64);
        hint as f64 / hints.mean().max(1.0)
    }

    /// Records a successful run: its core time, and its time from start to end (`elapsed`).
    pub fn observe(&mut self, now: Nanos, operation: usize, core: Nanos, elapsed: Nanos) {
        let learned = &mut self.learned[operation];
        learned.core.add(now, core as f64);
        learned.elapsed.add(now, elapsed as f64);
        learned.lowest = (learned.lowest * LOWEST_TIME_GROWTH).min(learned.core.mean());
        let before = std::mem::replace(&mut self.usual[operation], learned.usual());
        self.core_times.replace(before.core_ns, self.usual[operation].core_ns);
    }

    /// Whether concurrent runs slow each other down. This is the case if the usual core time of any operation
    /// is much longer than its lowest core time.
    pub fn are_slowed(&self) -> bool {
        self.learned.iter().any(|time| time.core.mean() > time.lowest * SLOWED_RATIO)
    }
}
