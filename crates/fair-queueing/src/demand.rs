//! Recent demand for work, as exponentially decaying sums.

use crate::Nanos;

/// Half-life of the recorded demand, in nanoseconds.
pub const HALF_LIFE_NS: Nanos = 2_000_000_000;

/// A rate of work, computed from an exponentially decaying sum.
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

    /// Returns the rate in cores: the steady demand that would produce the current sum.
    pub fn cores(&self, now: Nanos) -> f64 {
        self.remaining(now) * std::f64::consts::LN_2 / HALF_LIFE_NS as f64
    }
}

/// Demand of a group of tenants with equal demand and weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Demand of each tenant, in cores.
    pub cores: f64,
    /// Weight of each tenant.
    pub weight: f64,
    /// Number of tenants in the group.
    pub tenants: f64,
}
