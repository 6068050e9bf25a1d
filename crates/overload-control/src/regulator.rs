//! Regulator: computes the refusal time ratio (rtr) of each priority class from the measured utilization,
//! once per control period.

use crate::Nanos;
use crate::linear_quadratic::{self, Gains, Iteration, Plant, PlantEstimator, RefusalRatios, Weights};

/// Control period: the time between two steps of the regulator, in nanoseconds. Gauges are measured over this
/// time.
pub const CONTROL_PERIOD: Nanos = 500_000_000;

/// Cost weights of the regulator. The utilization error and its running sum have equal cost. Refusing the
/// premium class costs 100 times as much as refusing the basic class, as in IAMS (Jiang, Meng, Ren and Zhan).
const WEIGHTS: Weights = Weights { error: 1.0, error_sum: 1.0, premium: 0.1, basic: 0.001 };
const ITERATION: Iteration = Iteration { steps_max: 200, tolerance: 1e-6 };
/// Variance of each coefficient in the initial estimate of the plant, the model of how refusals change the
/// utilization.
const PRIOR_VARIANCE: f64 = 1.0;
/// Factor by which the weight of earlier observations of the utilization is multiplied in each control period
/// with refusals. The plant is estimated from these observations. Periods without refusals are not observed.
const FORGETTING_RATIO: f64 = 0.97;
/// Value of [`Regulator::variation`] above which the estimated plant is used. Below this value, the
/// utilization has varied too little for a reliable estimate.
const VARIATION_MIN: f64 = 0.5;
/// Plausible range of the change of the utilization if all arrivals of a class are refused. An estimated
/// plant is not used if it predicts a change outside this range for one of the classes.
const PLAUSIBLE_EFFECTS: std::ops::Range<f64> = -2.0..-0.2;

/// Start or end of load shedding. The server sheds load while it rejects arrivals of the basic class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shedding {
    Began,
    Ended,
}

/// State of the regulator.
pub struct Regulator {
    /// Running sum of the utilization error. This integral term removes an error that would otherwise
    /// persist.
    error_sum: f64,
    ratios: RefusalRatios,
    /// Utilization that was passed to the last step of the regulator, from 0 to 1.
    utilization: f64,
    estimator: PlantEstimator,
    /// Measure of how much the utilization has varied while arrivals were refused. For each control period
    /// with refusals, the change of the utilization is multiplied by the refusal time ratio of the basic
    /// class. The measure is the decaying sum of these products.
    variation: f64,
}

impl Regulator {
    /// Creates a regulator whose refusal time ratios are 0, so that no arrivals are refused.
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

    /// Returns the refusal time ratios that apply in the current control period.
    pub fn ratios(&self) -> RefusalRatios {
        self.ratios
    }

    /// Returns the utilization that was passed to the last step of the regulator, from 0 to 1.
    pub fn utilization(&self) -> f64 {
        self.utilization
    }

    /// Runs one step of the regulator: computes the refusal time ratios from the utilization and its target.
    /// Returns whether load shedding has started or ended.
    ///
    /// `backlog` is the work in excess of full utilization, as a multiple of the work that all cores do in
    /// one control period. The utilization gauge cannot show this work, because the gauge is capped at 1. The
    /// backlog is added to the error sum in this step only and does not accumulate.
    pub fn step(&mut self, utilization: f64, target: f64, backlog: f64) -> Option<Shedding> {
        let error = utilization - target;
        self.observe(utilization);
        let gains = self.gains(utilization, target);
        let is_saturated_high = self.ratios.basic >= 1.0 && error > 0.0;
        let is_saturated_low = self.ratios.basic <= 0.0 && error < 0.0;
        // Anti-windup: the error sum must not grow or shrink further while the refusal time ratio of the
        // basic class is at its limit.
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

    /// Whether the estimated plant may be used. The utilization must have varied enough, the plant must be
    /// stable, and its effects must be plausible. Retries, other processes on the machine or a cold start can
    /// distort the estimate.
    fn is_plausible(&self, plant: &Plant) -> bool {
        self.variation > VARIATION_MIN
            && plant.a.abs() < 1.0
            && PLAUSIBLE_EFFECTS.contains(&plant.premium)
            && PLAUSIBLE_EFFECTS.contains(&plant.basic)
    }
}

/// Returns the plant that the regulator assumes while it has no usable estimate. In this plant, refusing all
/// arrivals removes the whole load within one control period.
fn prior_plant(load: f64) -> Plant {
    Plant { a: 0.0, premium: -load, basic: -load }
}
