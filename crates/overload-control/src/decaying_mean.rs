//! Means of observations whose weights decay exponentially with time. The decay is computed when an
//! observation is added or a value is read.

use crate::Nanos;

/// A weighted mean of observations. The weight of each observation halves with every half-life.
#[derive(Clone, Debug)]
pub struct DecayingMean {
    half_life: Nanos,
    updated: Nanos,
    sum: f64,
    weight: f64,
}

impl DecayingMean {
    /// Creates a mean that has no observations yet.
    pub fn new(half_life: Nanos, now: Nanos) -> Self {
        Self { half_life: half_life.max(1), updated: now, sum: 0.0, weight: 0.0 }
    }

    /// Creates a mean as if `weight` observations of `value` had been added at `now`.
    pub fn starting_at(half_life: Nanos, now: Nanos, value: f64, weight: f64) -> Self {
        Self { sum: value * weight, weight, ..Self::new(half_life, now) }
    }

    /// Returns the factor by which the weight of each observation has decayed since the last update.
    fn remaining_ratio(&self, now: Nanos) -> f64 {
        (-(now.saturating_sub(self.updated) as f64) / self.half_life as f64).exp2()
    }

    /// Adds an observation, whose weight is 1 at `now`.
    pub fn add(&mut self, now: Nanos, value: f64) {
        let remaining = self.remaining_ratio(now);
        self.sum = self.sum * remaining + value;
        self.weight = self.weight * remaining + 1.0;
        self.updated = self.updated.max(now);
    }

    /// Returns the weighted mean of all observations, or 0 if there are none.
    pub fn mean(&self) -> f64 {
        if self.weight > 0.0 { self.sum / self.weight } else { 0.0 }
    }

    /// Returns the sum of the weights of all observations, decayed until `now`.
    pub fn weight(&self, now: Nanos) -> f64 {
        self.weight * self.remaining_ratio(now)
    }

    /// Returns the estimated number of observations per second. The estimate is exact for a steady rate.
    pub fn rate(&self, now: Nanos) -> f64 {
        self.weight(now) * std::f64::consts::LN_2 * 1e9 / self.half_life as f64
    }
}
