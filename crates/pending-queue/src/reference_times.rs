//! The usual times that lateness is kept for.
//!
//! Lateness depends on usual times and the concurrency limit, which move with every run that ends. It is
//! therefore kept for reference times of some time ago, and the growth since bounds its error.

use crate::{Capacity, Entry, UsualTimes};

/// Share by which a usual time may move before all lateness is computed anew.
const DRIFT_MAX: f64 = 0.02;

/// Reference times, and how far the present ones have grown beyond them.
#[derive(Clone, Debug, Default)]
pub struct ReferenceTimes {
    /// By operation.
    reference: Vec<RunTimes>,
    /// By operation.
    present: Vec<RunTimes>,
    growth: Growth,
}

/// What a run of an operation usually adds to the queue's delay and its own, in nanoseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunTimes {
    /// Time for which it holds up the runs behind it: its time on a core over the concurrency limit.
    pub queue_ns: f64,
    /// Time from start to end, downstream calls included.
    pub elapsed_ns: f64,
}

/// The most by which one of the times has grown, as a share of its reference; 0 or more.
#[derive(Clone, Copy, Debug, Default)]
pub struct Growth {
    /// Of core times over the concurrency limit.
    pub queue: f64,
    /// Of times from start to end.
    pub elapsed: f64,
}

fn share_grown(reference: f64, present: f64) -> f64 {
    if present == reference { 0.0 } else { present / reference - 1.0 }
}

fn largest(shares: &[f64]) -> f64 {
    shares.iter().copied().fold(0.0, f64::max)
}

impl ReferenceTimes {
    /// References of 0, so that the first update replaces them all.
    pub fn new(operations: usize) -> Self {
        let none = vec![RunTimes::default(); operations];
        Self { reference: none.clone(), present: none, ..Self::default() }
    }

    /// Takes over the present times; true where all lateness is to be computed anew.
    pub fn update(&mut self, capacity: &Capacity) -> bool {
        let limit = capacity.concurrency_limit;
        let present =
            |usual: &UsualTimes| RunTimes { queue_ns: usual.core_ns / limit, elapsed_ns: usual.elapsed_ns };
        self.present.clear();
        self.present.extend(capacity.usual_times.iter().map(present));
        let pairs = || self.reference.iter().zip(&self.present);
        let queue: Vec<f64> = pairs().map(|(then, now)| share_grown(then.queue_ns, now.queue_ns)).collect();
        let elapsed: Vec<f64> =
            pairs().map(|(then, now)| share_grown(then.elapsed_ns, now.elapsed_ns)).collect();
        let moved = queue.iter().chain(&elapsed).any(|share| share.is_nan() || share.abs() > DRIFT_MAX);
        if moved {
            self.reference.clone_from(&self.present);
            self.growth = Growth::default();
        } else {
            self.growth = Growth { queue: largest(&queue), elapsed: largest(&elapsed) };
        }
        moved
    }

    /// Reference times of an entry's operation.
    pub fn of(&self, entry: &Entry) -> &RunTimes {
        &self.reference[entry.operation]
    }

    /// The growth since the reference, as of the last update.
    pub fn growth(&self) -> Growth {
        self.growth
    }
}
