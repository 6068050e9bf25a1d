//! Computes the max-min fair rate and the virtual time that advances at this rate. The fair rate is the share
//! of the capacity for a tenant of weight 1, in cores.
//!
//! The max-min fair rate allocates all capacity, or meets all demand if the demand is lower. No tenant gets
//! more than its demand. The rate is computed by progressive filling (Bertsekas and Gallager, Data Networks,
//! 1992, 6.5.2), in ascending order of demand per unit of weight.

use crate::Nanos;
use crate::demand::{DecayingRate, Demand, HALF_LIFE_NS};
use crate::hyperloglog::WindowedCount;
use crate::tenant::Fingerprint;

/// Factor by which virtual time runs faster while the capacity meets all demand. In such a period a tenant
/// that exceeds its share harms no other tenant. With faster virtual time, the excess soon no longer counts
/// against the tenant.
const UNDERLOAD_SPEEDUP: f64 = 16.0;
/// Smoothing factor of the exponential moving average of tenant weights. The average is over the arrivals of
/// tenants without an account.
const WEIGHT_SMOOTHING: f64 = 0.01;
/// Length of the time window for counting the distinct names of tenants without an account, in nanoseconds.
const NAME_WINDOW_NS: Nanos = 16 * HALF_LIFE_NS;
/// Maximum real time that one call of [`FairRate::advance`] takes into account, in nanoseconds. If the clock
/// jumps further ahead, virtual time ignores the rest of the jump.
const CLOCK_JUMP_MAX_NS: Nanos = 1_000_000_000;
/// Number of registers of the HyperLogLog estimator that counts the distinct names of tenants without an
/// account.
const NAME_REGISTERS: usize = 1024;

/// The fair rate, and the virtual time that advances at this rate. The fair rate is the share of a tenant of
/// weight 1, in cores.
#[derive(Debug)]
pub struct FairRate {
    /// Virtual time, in nanoseconds of one core per unit of weight.
    virtual_time: f64,
    /// Latest real time passed to [`FairRate::advance`], in nanoseconds.
    now: Nanos,
    /// Fair rate: the share of a tenant of weight 1, in cores. The fair rate equals the whole capacity while
    /// the capacity meets all demand.
    cores: f64,
    is_underloaded: bool,
    sketched_demand: DecayingRate,
    sketched_weight: f64,
    sketched_names: WindowedCount<NAME_REGISTERS>,
}

impl FairRate {
    /// Creates the fair rate and the virtual time. The initial fair rate is `cores` for a tenant of weight 1.
    /// Until the first [`FairRate::update`], virtual time advances as if the capacity met all demand.
    pub fn new(cores: f64, now: Nanos) -> Self {
        Self {
            virtual_time: 0.0,
            now,
            cores: cores.max(f64::MIN_POSITIVE),
            is_underloaded: true,
            sketched_demand: DecayingRate::default(),
            sketched_weight: 1.0,
            sketched_names: WindowedCount::new(now),
        }
    }

    /// Returns the virtual time, in nanoseconds of one core per unit of weight.
    pub fn virtual_time(&self) -> f64 {
        self.virtual_time
    }

    /// Returns the fair rate: the share of a tenant of weight 1, in cores.
    pub fn cores(&self) -> f64 {
        self.cores
    }

    /// Advances virtual time by the real time that has passed since the previous call. Returns the latest
    /// real time passed to any call. If the clock stops or goes back, virtual time does not advance.
    pub fn advance(&mut self, now: Nanos) -> Nanos {
        let passed = now.saturating_sub(self.now).min(CLOCK_JUMP_MAX_NS) as f64;
        self.virtual_time += passed * self.cores * if self.is_underloaded { UNDERLOAD_SPEEDUP } else { 1.0 };
        self.now = self.now.max(now);
        self.now
    }

    /// Records the demand of one arrival whose tenant has no account of its own. `work` is in nanoseconds of
    /// one core.
    pub fn record_sketched_demand(&mut self, now: Nanos, fingerprint: Fingerprint, weight: f64, work: f64) {
        self.sketched_demand.add(now, work);
        self.sketched_weight += WEIGHT_SMOOTHING * (weight - self.sketched_weight);
        self.sketched_names.rotate(now, NAME_WINDOW_NS);
        self.sketched_names.add(fingerprint);
    }

    /// Returns the demand of the tenants without an account, as one group. Only their total demand is
    /// recorded. Each of these tenants is therefore assumed to have an equal part of the total demand, and
    /// the average weight.
    fn sketched(&self, now: Nanos) -> Demand {
        let tenants = self.sketched_names.estimate();
        let cores = self.sketched_demand.cores(now) / tenants;
        Demand { cores, weight: self.sketched_weight, tenants }
    }

    /// Recomputes the fair rate from three inputs: `capacity` (the capacity to allocate, in cores),
    /// `demands`, and the recorded demand of tenants without an account.
    pub fn update(&mut self, now: Nanos, capacity: f64, demands: impl Iterator<Item = Demand>) {
        let capacity = capacity.max(f64::MIN_POSITIVE);
        let rate = Self::progressive_filling(capacity, demands.chain([self.sketched(now)]));
        self.is_underloaded = rate >= capacity;
        self.cores = rate;
    }

    fn progressive_filling(capacity: f64, demands: impl Iterator<Item = Demand>) -> f64 {
        let mut demands: Vec<Demand> = demands.filter(|demand| demand.cores > 0.0).collect();
        demands.sort_unstable_by(|a, b| (a.cores / a.weight).total_cmp(&(b.cores / b.weight)));
        let mut remaining_capacity = capacity;
        let mut remaining_weight: f64 = demands.iter().map(|demand| demand.weight * demand.tenants).sum();
        for demand in demands {
            let rate = remaining_capacity / remaining_weight;
            if demand.cores / demand.weight > rate {
                return rate.min(capacity);
            }
            remaining_capacity -= demand.cores * demand.tenants;
            remaining_weight -= demand.weight * demand.tenants;
        }
        capacity
    }
}
