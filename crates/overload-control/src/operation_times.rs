//! What runs of each operation usually take, learned from those that succeeded.

use crate::decaying_mean::DecayingMean;
use crate::largest::Largest;
use crate::regulator::CONTROL_PERIOD;
use crate::{Nanos, Operation};
use meadowstream_pending_queue::UsualTimes;

/// Half-life of learned times.
pub const TIMES_HALF_LIFE: Nanos = CONTROL_PERIOD * 16;
/// Before anything is learned a run is taken to need this share of its latency objective.
const FIRST_GUESS_SHARE: f64 = 0.15;
/// Growth of the lowest time with each run, so that it follows a lasting change.
const LOWEST_TIME_GROWTH: f64 = 1.005;
/// Ratio of usual to lowest time on a core from which runs slow each other down.
const SLOWED_RATIO: f64 = 1.3;

struct OperationTime {
    /// Time on a core, and from start to end, ns.
    core: DecayingMean,
    elapsed: DecayingMean,
    /// Time on a core where runs do not disturb each other, ns.
    lowest: f64,
    /// Callers' estimates, ns.
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
    /// First guesses by the latency objectives.
    pub fn new(operations: &[Operation], now: Nanos) -> Self {
        let first = |operation: &Operation| {
            let guess = operation.latency_objective as f64 * FIRST_GUESS_SHARE;
            let time = DecayingMean::starting_at(TIMES_HALF_LIFE, now, guess, 1.0);
            let hint = DecayingMean::new(TIMES_HALF_LIFE, now);
            OperationTime { core: time.clone(), elapsed: time, lowest: f64::INFINITY, hint }
        };
        let learned: Vec<OperationTime> = operations.iter().map(first).collect();
        let usual: Vec<UsualTimes> = learned.iter().map(OperationTime::usual).collect();
        let core_times = usual.iter().map(|times| times.core_ns).collect();
        Self { learned, usual, core_times }
    }

    /// By operation.
    pub fn usual(&self) -> &[UsualTimes] {
        &self.usual
    }

    /// The longest usual time on a core of all operations, ns.
    pub fn longest_core_ns(&self) -> f64 {
        self.core_times.get()
    }

    /// The cost of an invocation as a ratio to the usual one of its operation, by the caller's hint.
    pub fn cost_ratio(&mut self, now: Nanos, operation: usize, hint: Option<Nanos>) -> f64 {
        let hints = &mut self.learned[operation].hint;
        let Some(hint) = hint else { return 1.0 };
        hints.add(now, hint as f64);
        hint as f64 / hints.mean().max(1.0)
    }

    /// A run has succeeded after this time on a core, and this time from start to end.
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
