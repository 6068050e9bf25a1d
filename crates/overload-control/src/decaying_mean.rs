//! Sums that forget: what they hold halves with every half-life. They are brought up to date when read.

use crate::Nanos;

/// A mean of observations, of which recent ones weigh more.
#[derive(Clone, Debug)]
pub struct DecayingMean {
    half_life: Nanos,
    updated: Nanos,
    sum: f64,
    weight: f64,
}

impl DecayingMean {
    /// A mean of no observations.
    pub fn new(half_life: Nanos, now: Nanos) -> Self {
        Self { half_life: half_life.max(1), updated: now, sum: 0.0, weight: 0.0 }
    }

    /// A mean that counts as `weight` observations of `value` from the start.
    pub fn starting_at(half_life: Nanos, now: Nanos, value: f64, weight: f64) -> Self {
        Self { sum: value * weight, weight, ..Self::new(half_life, now) }
    }

    /// Ratio of the sums at the last update that is left by now.
    fn remaining_ratio(&self, now: Nanos) -> f64 {
        (-(now.saturating_sub(self.updated) as f64) / self.half_life as f64).exp2()
    }

    /// Takes in an observation of weight 1.
    pub fn add(&mut self, now: Nanos, value: f64) {
        let remaining = self.remaining_ratio(now);
        self.sum = self.sum * remaining + value;
        self.weight = self.weight * remaining + 1.0;
        self.updated = self.updated.max(now);
    }

    /// The mean; 0 before the first observation.
    pub fn mean(&self) -> f64 {
        if self.weight > 0.0 { self.sum / self.weight } else { 0.0 }
    }

    /// Observations that the mean rests on.
    pub fn weight(&self, now: Nanos) -> f64 {
        self.weight * self.remaining_ratio(now)
    }

    /// Observations a second, as a steady flow would show it.
    pub fn rate(&self, now: Nanos) -> f64 {
        self.weight(now) * std::f64::consts::LN_2 * 1e9 / self.half_life as f64
    }
}
