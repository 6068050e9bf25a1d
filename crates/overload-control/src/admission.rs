//! Admission: arrivals of a priority class are rejected in the first part of each control period. The
//! refusal time ratio (rtr) of the class determines the length of that part.

use crate::linear_quadratic::RefusalRatios;
use crate::regulator::CONTROL_PERIOD;
use crate::{Deployment, Nanos};

/// Distinct priority weights in ascending order; the index of a weight is its rank.
pub struct PriorityClasses {
    weights: Vec<f64>,
}

impl PriorityClasses {
    /// Creates one priority class for each distinct priority weight of the operations. If tenants have
    /// quotas, each operation has two weights: one for invocations within the quota and one for those over
    /// it.
    pub fn new(deployment: &Deployment) -> Self {
        let has_quotas = !deployment.tenant_allowance.is_empty() || deployment.fair_queueing.is_some();
        let over_quota = if has_quotas { deployment.over_quota_value_ratio } else { 1.0 };
        let of_operations = deployment.operations.iter().map(|operation| operation.priority_weight);
        let mut weights: Vec<f64> = of_operations.flat_map(|weight| [weight * over_quota, weight]).collect();
        weights.sort_by(f64::total_cmp);
        weights.dedup();
        // A downstream tier leaves the lowest rank empty, so that none of its invocations is in the basic
        // class: rejecting one of them would waste work that the calling tier has already done.
        if deployment.is_downstream_tier {
            weights.insert(0, 0.0);
        }
        Self { weights }
    }

    /// Returns the number of ranks.
    pub fn len(&self) -> usize {
        self.weights.len()
    }

    /// Returns the rank of a priority weight; 0 is the lowest rank.
    pub fn rank(&self, weight: f64) -> usize {
        self.weights.iter().position(|each| *each >= weight).unwrap_or(self.weights.len() - 1)
    }

    /// Whether `rank` is the highest rank.
    pub fn is_top(&self, rank: usize) -> bool {
        rank + 1 >= self.weights.len()
    }
}

/// Conditions that raise the refusal time ratio above that of the regulator.
pub struct Distress {
    /// Whether reading arrivals alone overloads the server. All ranks except the highest are then rejected.
    pub is_flooded: bool,
    /// Share of arrivals of every rank to reject because the server is unhealthy, from 0 to 1.
    pub unhealthy_ratio: f64,
}

/// Decides whether an arrival is rejected. The decision depends on the time elapsed in the current control
/// period.
pub struct Admission {
    period_start: Nanos,
    /// Whether operations without downstream calls are exempt from the refusal window. True while the
    /// downstream calls are saturated and the cores are below their target utilization.
    pub spares_operations_without_calls: bool,
}

impl Admission {
    /// Creates the admission state; the first control period starts at `now`.
    pub fn new(now: Nanos) -> Self {
        Self { period_start: now, spares_operations_without_calls: false }
    }

    /// Starts a control period at `now`.
    pub fn start_period(&mut self, now: Nanos) {
        self.period_start = now;
    }

    /// Returns the share of the control period in which arrivals of `rank` are rejected, from 0 to 1. Rank
    /// 0 is basic and rank 1 is premium; higher ranks are rejected only in distress.
    pub fn refusal_ratio(
        ratios: RefusalRatios,
        classes: &PriorityClasses,
        rank: usize,
        distress: &Distress,
    ) -> f64 {
        if distress.is_flooded && !classes.is_top(rank) {
            return 1.0;
        }
        let regulated = match rank {
            0 => ratios.basic,
            1 => ratios.premium,
            _ => 0.0,
        };
        regulated.max(distress.unhealthy_ratio)
    }

    /// Returns the remaining time of the refusal window, which is the first `refusal_ratio` of the control
    /// period; `None` once the window has ended.
    pub fn refusal_time_left(&self, now: Nanos, refusal_ratio: f64) -> Option<Nanos> {
        let window = (refusal_ratio * CONTROL_PERIOD as f64) as Nanos;
        let passed = now - self.period_start;
        (passed < window).then(|| window - passed)
    }
}
