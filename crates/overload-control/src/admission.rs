//! Admission: rejects arrivals of a priority class during the first part of each control period. The length
//! of this part is the refusal time ratio (rtr) of the class multiplied by the control period.

use crate::linear_quadratic::RefusalRatios;
use crate::regulator::CONTROL_PERIOD;
use crate::{Deployment, Nanos};

/// Priority classes: the distinct priority weights in ascending order. The rank of a class is the index of
/// its weight.
pub struct PriorityClasses {
    weights: Vec<f64>,
}

impl PriorityClasses {
    /// Creates one priority class for each distinct priority weight of the operations. If tenants have
    /// quotas, each operation has two weights: one for invocations within the quota and one for invocations
    /// over the quota.
    pub fn new(deployment: &Deployment) -> Self {
        let has_quotas = !deployment.tenant_allowance.is_empty() || deployment.fair_queueing.is_some();
        let over_quota = if has_quotas { deployment.over_quota_value_ratio } else { 1.0 };
        let of_operations = deployment.operations.iter().map(|operation| operation.priority_weight);
        let mut weights: Vec<f64> = of_operations.flat_map(|weight| [weight * over_quota, weight]).collect();
        weights.sort_by(f64::total_cmp);
        weights.dedup();
        // In a downstream tier, no invocation has the lowest rank (the basic class), because this class is
        // rejected first. Rejecting an invocation would waste work that the calling tier has already done.
        if deployment.is_downstream_tier {
            weights.insert(0, 0.0);
        }
        Self { weights }
    }

    /// Returns the number of ranks.
    pub fn len(&self) -> usize {
        self.weights.len()
    }

    /// Returns the rank of the class with this priority weight. Rank 0 is the lowest.
    pub fn rank(&self, weight: f64) -> usize {
        self.weights.iter().position(|each| *each >= weight).unwrap_or(self.weights.len() - 1)
    }

    /// Returns whether `rank` is the highest rank. A flooded server rejects the arrivals of all other ranks.
    pub fn is_top(&self, rank: usize) -> bool {
        rank + 1 >= self.weights.len()
    }
}

/// Conditions in which the server rejects more arrivals than the regulator of its utilization requires.
pub struct Distress {
    /// Whether reading the arrivals alone, without running them, overloads the server. All ranks except the
    /// highest are then rejected.
    pub is_flooded: bool,
    /// Share of the arrivals of every rank to reject because the server is unhealthy, from 0 to 1; 0 for a
    /// healthy server.
    pub unhealthy_ratio: f64,
}

/// Decides whether an arrival is rejected. An arrival is rejected in the first part of each control period,
/// so the decision depends on the time since the period started.
pub struct Admission {
    period_start: Nanos,
    /// Whether operations without downstream calls are exempt from the refusal window, the part of each
    /// control period in which arrivals are rejected. True while runs must wait to make downstream calls
    /// although the cores are below their target utilization.
    pub spares_operations_without_calls: bool,
}

impl Admission {
    /// Creates the admission state. The first control period starts at `now`.
    pub fn new(now: Nanos) -> Self {
        Self { period_start: now, spares_operations_without_calls: false }
    }

    /// Starts a control period at `now`.
    pub fn start_period(&mut self, now: Nanos) {
        self.period_start = now;
    }

    /// Returns the share of the control period, from 0 to 1, in which arrivals of `rank` are rejected. Rank 0
    /// is the basic class and rank 1 the premium class. Higher ranks are rejected only if the server is
    /// flooded or unhealthy.
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

    /// Returns the time until the refusal window ends, or `None` if it has ended. The refusal window is the
    /// first part of the control period; `refusal_ratio` is its share of the period.
    pub fn refusal_time_left(&self, now: Nanos, refusal_ratio: f64) -> Option<Nanos> {
        let window = (refusal_ratio * CONTROL_PERIOD as f64) as Nanos;
        let passed = now - self.period_start;
        (passed < window).then(|| window - passed)
    }
}
