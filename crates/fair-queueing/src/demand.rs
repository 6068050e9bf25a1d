//! Recent demand for work, as exponentially decaying sums.

use crate::Nanos;

/// Work that has been asked for counts half after this time, in nanoseconds.
pub const HALF_LIFE_NS: Nanos = 2_000_000_000;

/// A rate of work, from a decaying sum.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingRate {
    sum: f32,
    updated_at: Nanos,
}

impl DecayingRate {
    fn remaining(&self, now: Nanos) -> f64 {
        let age = now.saturating_sub(self.updated_at) as f64;
        f64::from(self.sum) * (-age / HALF_LIFE_NS as f64).exp2()
    }

    /// Adds work, in nanoseconds of one core.
    pub fn add(&mut self, now: Nanos, work: f64) {
        self.sum = (self.remaining(now) + work) as f32;
        self.updated_at = self.updated_at.max(now);
    }

    /// Work a second, in cores: the rate of a steady flow with this sum.
    pub fn cores(&self, now: Nanos) -> f64 {
        self.remaining(now) * std::f64::consts::LN_2 / HALF_LIFE_NS as f64
    }
}

/// Demand of tenants of which each asks for the same.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// What each asks for, in cores.
    pub cores: f64,
    /// The weight of each.
    pub weight: f64,
    /// How many tenants there are.
    pub tenants: f64,
}
