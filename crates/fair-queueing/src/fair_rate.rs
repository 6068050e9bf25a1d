//! The max-min fair rate of a unit of weight, and the virtual time that advances at it.
//!
//! The rate is such that all capacity is given out and no tenant gets more than it asks for. It is found by
//! filling up (Bertsekas and Gallager, Data Networks, 1992, 6.5.2), beginning with those that ask for least.

use crate::Nanos;
use crate::demand::{DecayingRate, Demand, HALF_LIFE_NS};
use crate::hyperloglog::WindowedCount;
use crate::tenant::Fingerprint;

/// Virtual time advances so much faster while there is capacity for all: what a tenant used beyond its share
/// then is soon forgiven.
const UNDERLOAD_SPEEDUP: f64 = 16.0;
/// Weight of a new value in the average weight of sketched tenants.
const WEIGHT_SMOOTHING: f64 = 0.01;
/// Names of sketched tenants are counted over windows of this length.
const NAME_WINDOW_NS: Nanos = 16 * HALF_LIFE_NS;
/// A clock that jumps advances virtual time by no more than this.
const CLOCK_JUMP_MAX_NS: Nanos = 1_000_000_000;
/// Registers of the count of sketched tenants.
const NAME_REGISTERS: usize = 1024;

/// The fair rate and the virtual time.
#[derive(Debug)]
pub struct FairRate {
    /// In nanoseconds of one core for a unit of weight.
    virtual_time: f64,
    /// The latest time there was.
    now: Nanos,
    /// Cores for a unit of weight; the whole capacity while there is enough for all.
    cores: f64,
    is_underloaded: bool,
    sketched_demand: DecayingRate,
    sketched_weight: f64,
    sketched_names: WindowedCount<NAME_REGISTERS>,
}

impl FairRate {
    /// The rate is `cores` at first, as if there were capacity for all.
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

    /// The virtual time, in nanoseconds of one core for a unit of weight.
    pub fn virtual_time(&self) -> f64 {
        self.virtual_time
    }

    /// The rate of a unit of weight, in cores.
    pub fn cores(&self) -> f64 {
        self.cores
    }

    /// Advances to `now`; a clock that stands still or goes back advances nothing. Returns the latest time.
    pub fn advance(&mut self, now: Nanos) -> Nanos {
        let passed = now.saturating_sub(self.now).min(CLOCK_JUMP_MAX_NS) as f64;
        self.virtual_time += passed * self.cores * if self.is_underloaded { UNDERLOAD_SPEEDUP } else { 1.0 };
        self.now = self.now.max(now);
        self.now
    }

    /// A tenant without an account has asked for work, in nanoseconds of one core.
    pub fn record_sketched_demand(&mut self, now: Nanos, fingerprint: Fingerprint, weight: f64, work: f64) {
        self.sketched_demand.add(now, work);
        self.sketched_weight += WEIGHT_SMOOTHING * (weight - self.sketched_weight);
        self.sketched_names.rotate(now, NAME_WINDOW_NS);
        self.sketched_names.add(fingerprint);
    }

    /// Demand of all tenants without an account, taken for equals.
    fn sketched(&self, now: Nanos) -> Demand {
        let tenants = self.sketched_names.estimate();
        let cores = self.sketched_demand.cores(now) / tenants;
        Demand { cores, weight: self.sketched_weight, tenants }
    }

    /// Finds the rate for the demands, to which those of tenants without an account are added. `capacity` is
    /// what is to be given out, in cores.
    pub fn update(&mut self, now: Nanos, capacity: f64, demands: impl Iterator<Item = Demand>) {
        let capacity = capacity.max(f64::MIN_POSITIVE);
        let rate = Self::fill(capacity, demands.chain([self.sketched(now)]));
        self.is_underloaded = rate >= capacity;
        self.cores = rate;
    }

    fn fill(capacity: f64, demands: impl Iterator<Item = Demand>) -> f64 {
        let mut demands: Vec<Demand> = demands.filter(|demand| demand.cores > 0.0).collect();
        demands.sort_unstable_by(|a, b| (a.cores / a.weight).total_cmp(&(b.cores / b.weight)));
        let mut left = capacity;
        let mut weight: f64 = demands.iter().map(|demand| demand.weight * demand.tenants).sum();
        for demand in demands {
            let rate = left / weight;
            if demand.cores / demand.weight > rate {
                return rate.min(capacity);
            }
            left -= demand.cores * demand.tenants;
            weight -= demand.weight * demand.tenants;
        }
        capacity
    }
}
