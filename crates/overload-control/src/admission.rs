//! Admission: in the first part of each control period, as long as the refusal time ratio (rtr) of their
//! priority class says, arrivals are rejected.

use crate::linear_quadratic::RefusalRatios;
use crate::regulator::CONTROL_PERIOD;
use crate::{Deployment, Nanos};

/// Priority weights in ascending order: the index of a weight is its rank.
pub struct PriorityClasses {
    weights: Vec<f64>,
}

impl PriorityClasses {
    /// Each operation has two classes where tenants have quotas: within and over them.
    pub fn new(deployment: &Deployment) -> Self {
        let has_quotas = !deployment.tenant_allowance.is_empty() || deployment.fair_queueing.is_some();
        let over_quota = if has_quotas { deployment.over_quota_value_ratio } else { 1.0 };
        let of_operations = deployment.operations.iter().map(|operation| operation.priority_weight);
        let mut weights: Vec<f64> = of_operations.flat_map(|weight| [weight * over_quota, weight]).collect();
        weights.sort_by(f64::total_cmp);
        weights.dedup();
        // A refused downstream call throws away work of the tier above, so none of them is basic: the lowest
        // rank stays empty.
        if deployment.is_downstream_tier {
            weights.insert(0, 0.0);
        }
        Self { weights }
    }

    /// How many ranks there are.
    pub fn len(&self) -> usize {
        self.weights.len()
    }

    /// The rank of a priority weight; 0 is the lowest.
    pub fn rank(&self, weight: f64) -> usize {
        self.weights.iter().position(|each| *each >= weight).unwrap_or(self.weights.len() - 1)
    }

    /// Whether no rank is higher.
    pub fn is_top(&self, rank: usize) -> bool {
        rank + 1 >= self.weights.len()
    }
}

/// What raises the refusal time ratio beyond the regulator's.
pub struct Distress {
    /// Reading alone overloads the server.
    pub is_flooded: bool,
    /// Share of arrivals to keep away from an unhealthy server.
    pub unhealthy_ratio: f64,
}

/// Decides on arrivals by the time in the control period.
pub struct Admission {
    period_start: Nanos,
    /// Downstream calls are at their limit and the cores are not.
    pub spares_operations_without_calls: bool,
}

impl Admission {
    /// The first control period starts now.
    pub fn new(now: Nanos) -> Self {
        Self { period_start: now, spares_operations_without_calls: false }
    }

    /// A control period starts now.
    pub fn start_period(&mut self, now: Nanos) {
        self.period_start = now;
    }

    /// Share of the period in which arrivals of a rank are rejected: the lowest rank is basic, the next
    /// premium.
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

    /// Time until this refusal ratio's part of the period is over; `None` where it is over.
    pub fn refusal_time_left(&self, now: Nanos, refusal_ratio: f64) -> Option<Nanos> {
        let window = (refusal_ratio * CONTROL_PERIOD as f64) as Nanos;
        let passed = now - self.period_start;
        (passed < window).then(|| window - passed)
    }
}
