//! Tracks the recent demand for work as a sum that decays exponentially with time.

use crate::Nanos;

/// Half-life of the decaying sum of work, in nanoseconds. Work that was recorded one half-life ago counts
/// half.
pub const HALF_LIFE_NS: Nanos = 2_000_000_000;

/// Recent rate of work, in cores. The rate is computed from a sum of work that decays exponentially with
/// time.
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

    /// Adds `work`, in nanoseconds of one core, that was demanded at `now`.
    pub fn add(&mut self, now: Nanos, work: f64) {
        self.sum = (self.remaining(now) + work) as f32;
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the recent rate of work, in cores. A constant demand at this rate would keep the decaying sum
    /// at its current value.
    pub fn cores(&self, now: Nanos) -> f64 {
        self.remaining(now) * std::f64::consts::LN_2 / HALF_LIFE_NS as f64
    }
}

/// Demand for work by a group of tenants. All tenants of the group have the same demand and the same weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Demand of each tenant of the group, in cores.
    pub cores: f64,
    /// Weight of each tenant.
    pub weight: f64,
    /// Number of tenants in the group.
    pub tenants: f64,
}
