//! Sums that forget: what they hold halves every half-life. They are brought up to date when read.

use crate::Nanos;

#[derive(Clone, Debug)]
pub struct Decaying {
    half_life: Nanos,
    at: Nanos,
    sum: f64,
    weight: f64,
}

impl Decaying {
    pub fn new(half_life: Nanos, now: Nanos) -> Self {
        Self { half_life: half_life.max(1), at: now, sum: 0.0, weight: 0.0 }
    }

    /// A mean that counts as `weight` observations of `value` from the start.
    pub fn starting_at(half_life: Nanos, now: Nanos, value: f64, weight: f64) -> Self {
        Self { sum: value * weight, weight, ..Self::new(half_life, now) }
    }

    fn kept(&self, now: Nanos) -> f64 {
        (-(now.saturating_sub(self.at) as f64) / self.half_life as f64).exp2()
    }

    pub fn add(&mut self, now: Nanos, value: f64) {
        let kept = self.kept(now);
        self.sum = self.sum * kept + value;
        self.weight = self.weight * kept + 1.0;
        self.at = self.at.max(now);
    }

    /// Mean of the observations, recent ones weighing more; 0 before the first.
    pub fn mean(&self) -> f64 {
        if self.weight > 0.0 { self.sum / self.weight } else { 0.0 }
    }

    pub fn weight(&self, now: Nanos) -> f64 {
        self.weight * self.kept(now)
    }

    /// Observations a second, as a steady flow would show it.
    pub fn rate(&self, now: Nanos) -> f64 {
        self.weight(now) * std::f64::consts::LN_2 * 1e9 / self.half_life as f64
    }
}
