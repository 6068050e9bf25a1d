//! Reference times: the usual times from which the lateness in the tree of summaries was computed.
//!
//! Lateness depends on the usual times and the concurrency limit, which change whenever a run ends.
//! Recomputing the tree after each change would be too expensive. The tree therefore contains lateness
//! computed from the usual times of an earlier moment. The growth of the usual times since that moment bounds
//! the error of this lateness.

use crate::{Capacity, Entry, UsualTimes};

/// Maximum relative difference between a usual time and its reference time. At a larger difference, the
/// present usual times become the reference times, and the lateness of all entries is recomputed.
const DRIFT_MAX: f64 = 0.02;

/// Reference times, and the growth of the present usual times since the reference times were set.
#[derive(Clone, Debug, Default)]
pub struct ReferenceTimes {
    /// Reference times of each operation. The index identifies the operation.
    reference: Vec<RunTimes>,
    /// Present usual times of each operation. The index identifies the operation.
    present: Vec<RunTimes>,
    growth: Growth,
}

/// Times of an operation's runs, in nanoseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunTimes {
    /// Delay that one run causes for the runs behind it in the queue: its core time divided by the
    /// concurrency limit.
    pub queue_ns: f64,
    /// Time from start to end of a run, including its downstream calls.
    pub elapsed_ns: f64,
}

/// Growth of the usual times since the reference times were set, as a share of the reference times. Each
/// field is the maximum over all operations, and at least 0.
#[derive(Clone, Copy, Debug, Default)]
pub struct Growth {
    /// Growth of the delay that one run causes for the runs behind it in the queue.
    pub queue: f64,
    /// Growth of the time from start to end of a run.
    pub elapsed: f64,
}

fn relative_growth(reference: f64, present: f64) -> f64 {
    if present == reference { 0.0 } else { present / reference - 1.0 }
}

fn max_of(shares: &[f64]) -> f64 {
    shares.iter().copied().fold(0.0, f64::max)
}

impl ReferenceTimes {
    /// Creates reference times that are all 0, so that the first update replaces all of them.
    pub fn new(operations: usize) -> Self {
        let none = vec![RunTimes::default(); operations];
        Self { reference: none.clone(), present: none, ..Self::default() }
    }

    /// Updates the present usual times. If a usual time differs from its reference time by more than
    /// [`DRIFT_MAX`], all present usual times become the reference times. The function then returns true, and
    /// the lateness of all entries must be recomputed.
    pub fn update(&mut self, capacity: &Capacity) -> bool {
        let limit = capacity.concurrency_limit;
        let present =
            |usual: &UsualTimes| RunTimes { queue_ns: usual.core_ns / limit, elapsed_ns: usual.elapsed_ns };
        self.present.clear();
        self.present.extend(capacity.usual_times.iter().map(present));
        let pairs = || self.reference.iter().zip(&self.present);
        let queue: Vec<f64> = pairs()
            .map(|(reference, present)| relative_growth(reference.queue_ns, present.queue_ns))
            .collect();
        let elapsed: Vec<f64> = pairs()
            .map(|(reference, present)| relative_growth(reference.elapsed_ns, present.elapsed_ns))
            .collect();
        let is_outdated = queue.iter().chain(&elapsed).any(|share| share.is_nan() || share.abs() > DRIFT_MAX);
        if is_outdated {
            self.reference.clone_from(&self.present);
            self.growth = Growth::default();
        } else {
            self.growth = Growth { queue: max_of(&queue), elapsed: max_of(&elapsed) };
        }
        is_outdated
    }

    /// Returns the reference times of the operation of `entry`.
    pub fn of(&self, entry: &Entry) -> &RunTimes {
        &self.reference[entry.operation]
    }

    /// Returns the growth of the usual times since the reference times were set.
    pub fn growth(&self) -> Growth {
        self.growth
    }
}
