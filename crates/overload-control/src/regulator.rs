//! The regulator: once a control period, from the measured utilization to the refusal time ratios (rtr).

use crate::Nanos;
use crate::linear_quadratic::{self, Gains, Iteration, Plant, PlantEstimator, RefusalRatios, Weights};

/// The control period: the span between two steps of the regulator, and the span that gauges look back over.
pub const CONTROL_PERIOD: Nanos = 500_000_000;

/// Error and running sum alike; refusing premium costs 100 times as much as refusing basic. As in
/// IAMS (Jiang, Meng, Ren and Zhan).
const WEIGHTS: Weights = Weights { error: 1.0, error_sum: 1.0, premium: 0.1, basic: 0.001 };
const ITERATION: Iteration = Iteration { steps_max: 200, tolerance: 1e-6 };
/// Variance of the prior plant's coefficients.
const PRIOR_VARIANCE: f64 = 1.0;
/// Weight that an observation keeps from one period to the next.
const FORGETTING_RATIO: f64 = 0.97;
/// Variation of the utilization, summed up while basic is refused, from which the estimate is used.
const VARIATION_MIN: f64 = 0.5;
/// Range of plausible effects of refusing on the utilization.
const PLAUSIBLE_EFFECTS: std::ops::Range<f64> = -2.0..-0.2;

/// A change of whether basic is refused at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shedding {
    Began,
    Ended,
}

/// State of the regulator.
pub struct Regulator {
    /// Running sum of the error, which makes up for a lasting one.
    error_sum: f64,
    ratios: RefusalRatios,
    /// The utilization at the last step.
    utilization: f64,
    estimator: PlantEstimator,
    /// How much the utilization varied of late while basic was refused.
    variation: f64,
}

impl Regulator {
    /// Sheds nothing yet.
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

    /// The refusal time ratios of this period.
    pub fn ratios(&self) -> RefusalRatios {
        self.ratios
    }

    /// The utilization at the last step.
    pub fn utilization(&self) -> f64 {
        self.utilization
    }

    /// One step. `backlog` is the work that the gauge cannot show, since utilization ends at 1, in periods of
    /// all cores. It adds to the running sum only while it lasts.
    pub fn step(&mut self, utilization: f64, target: f64, backlog: f64) -> Option<Shedding> {
        let error = utilization - target;
        self.observe(utilization);
        let gains = self.gains(utilization, target);
        let is_saturated_high = self.ratios.basic >= 1.0 && error > 0.0;
        let is_saturated_low = self.ratios.basic <= 0.0 && error < 0.0;
        // Anti-windup: at a limit the sum stands still.
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

    /// Retries, other processes on the machine or a cold start distort the estimate: it is not used where it
    /// is unstable or of the wrong sign.
    fn is_plausible(&self, plant: &Plant) -> bool {
        self.variation > VARIATION_MIN
            && plant.a.abs() < 1.0
            && PLAUSIBLE_EFFECTS.contains(&plant.premium)
            && PLAUSIBLE_EFFECTS.contains(&plant.basic)
    }
}

/// Before anything is learned: refusing everything takes all load away within a period.
fn prior_plant(load: f64) -> Plant {
    Plant { a: 0.0, premium: -load, basic: -load }
}
