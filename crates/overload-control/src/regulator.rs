//! The regulator: computes the refusal time ratios (rtr) from the measured utilization, once per control
//! period.

use crate::Nanos;
use crate::linear_quadratic::{self, Gains, Iteration, Plant, PlantEstimator, RefusalRatios, Weights};

/// Interval between two steps of the regulator, in nanoseconds. Gauges are measured over the same interval.
pub const CONTROL_PERIOD: Nanos = 500_000_000;

/// Cost weights of the regulator. The utilization error and its running sum have equal weight. Refusing
/// premium costs 100 times as much as refusing basic, as in IAMS (Jiang, Meng, Ren and Zhan).
const WEIGHTS: Weights = Weights { error: 1.0, error_sum: 1.0, premium: 0.1, basic: 0.001 };
const ITERATION: Iteration = Iteration { steps_max: 200, tolerance: 1e-6 };
/// Variance of the coefficients in the initial estimate of the plant.
const PRIOR_VARIANCE: f64 = 1.0;
/// Factor by which the weight of an observation decays in one control period.
const FORGETTING_RATIO: f64 = 0.97;
/// Value of [`Regulator::variation`] up to which the estimated plant is not used, because the utilization has
/// varied too little.
const VARIATION_MIN: f64 = 0.5;
/// Plausible range of the effect that refusing a class has on the utilization. An estimated plant with an
/// effect outside this range is not used.
const PLAUSIBLE_EFFECTS: std::ops::Range<f64> = -2.0..-0.2;

/// Start or end of load shedding. Load is shed while arrivals of the basic class are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shedding {
    Began,
    Ended,
}

/// State of the regulator.
pub struct Regulator {
    /// Running sum of the utilization error (integral term), which compensates for a lasting error.
    error_sum: f64,
    ratios: RefusalRatios,
    /// Utilization at the last step, from 0 to 1.
    utilization: f64,
    estimator: PlantEstimator,
    /// Decaying sum of the changes of the utilization over control periods in which basic was refused. Each
    /// change is multiplied by the refusal time ratio of basic in its period.
    variation: f64,
}

impl Regulator {
    /// Creates a regulator that refuses no arrivals.
    pub fn new(target_utilization: f64) -> Self {
        let prior = prior_plant(target_utilization);
        Self {
            error_sum: 0.0,
            ratios: RefusalRatios::default(),
            utilization: 0.0,
            estimator: PlantEstimator::new(&prior, PRIOR_VARIANCE, FORGETTING_RATIO),
            variation: 0.0,
        }
    }

    /// Returns the refusal time ratios of the current control period.
    pub fn ratios(&self) -> RefusalRatios {
        self.ratios
    }

    /// Returns the utilization at the last step, from 0 to 1.
    pub fn utilization(&self) -> f64 {
        self.utilization
    }

    /// Runs one step of the regulator. `backlog` is the work in excess of full utilization, as a multiple
    /// of the work that all cores do in one control period. The utilization gauge cannot show this work,
    /// because the gauge is capped at 1. The backlog is added to the error sum in this step only and does
    /// not accumulate.
    pub fn step(&mut self, utilization: f64, target: f64, backlog: f64) -> Option<Shedding> {
        let error = utilization - target;
        self.observe(utilization);
        let gains = self.gains(utilization, target);
        let is_saturated_high = self.ratios.basic >= 1.0 && error > 0.0;
        let is_saturated_low = self.ratios.basic <= 0.0 && error < 0.0;
        // Anti-windup: the error sum does not change while the refusal time ratio is at its limit.
        self.error_sum += if is_saturated_high || is_saturated_low { 0.0 } else { error };
        let sum_gain = gains.basic.error_sum;
        self.error_sum = self.error_sum.clamp(0.0, if sum_gain > 0.0 { 1.0 / sum_gain } else { 0.0 });
        let was_shedding = self.ratios.basic > 0.0;
        let sum = self.error_sum + backlog;
        let ratio =
            |gain: linear_quadratic::ClassGains| (gain.error * error + gain.error_sum * sum).clamp(0.0, 1.0);
        self.ratios = RefusalRatios { premium: ratio(gains.premium), basic: ratio(gains.basic) };
        match (was_shedding, self.ratios.basic > 0.0) {
            (false, true) => Some(Shedding::Began),
            (true, false) => Some(Shedding::Ended),
            _ => None,
        }
    }

    fn observe(&mut self, utilization: f64) {
        if self.ratios.basic > 0.0 {
            self.estimator.observe(self.utilization, self.ratios, utilization);
            let varied = (self.utilization - utilization).abs() * self.ratios.basic;
            self.variation = self.variation * FORGETTING_RATIO + varied;
        }
        self.utilization = utilization;
    }

    fn gains(&self, utilization: f64, target: f64) -> Gains {
        let prior = prior_plant(utilization.max(target));
        let estimate = self.estimator.plant();
        let plant = if self.is_plausible(&estimate) { estimate } else { prior };
        let gains = |plant: &Plant| linear_quadratic::gains(plant, &WEIGHTS, &ITERATION);
        gains(&plant).or_else(|| gains(&prior)).unwrap_or_default()
    }

    /// Whether the estimated plant can be used: the utilization has varied enough, the plant is stable, and
    /// the effects have the right sign and size. Retries, other processes on the machine or a cold start
    /// distort the estimate.
    fn is_plausible(&self, plant: &Plant) -> bool {
        self.variation > VARIATION_MIN
            && plant.a.abs() < 1.0
            && PLAUSIBLE_EFFECTS.contains(&plant.premium)
            && PLAUSIBLE_EFFECTS.contains(&plant.basic)
    }
}

/// Returns the plant that the regulator assumes while it has no usable estimate: refusing all arrivals
/// removes the whole load within one control period.
fn prior_plant(load: f64) -> Plant {
    Plant { a: 0.0, premium: -load, basic: -load }
}
