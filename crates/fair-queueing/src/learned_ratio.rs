//! Ratio of the work that a tenant's invocations use to the work that their operations usually need, learned
//! from earlier invocations.

/// Smoothing factor of the exponential moving average: the weight of a new observation.
const SMOOTHING: f64 = 0.2;
/// Lower bound of the learned ratio; `RATIO_MAX` is the upper bound.
const RATIO_MIN: f64 = 1e-3;
const RATIO_MAX: f64 = 1e3;

/// Exponential moving average of the ratio of an invocation's used work to the work that its operation
/// usually needs; 1 before the first observation.
#[derive(Clone, Copy, Debug)]
pub struct LearnedRatio(f64);

impl Default for LearnedRatio {
    fn default() -> Self {
        Self(1.0)
    }
}

impl LearnedRatio {
    /// Returns the current ratio.
    pub fn get(self) -> f64 {
        self.0
    }

    /// Adds the observed ratio of one invocation to the moving average.
    pub fn learn(&mut self, observed: f64) {
        self.0 = (self.0 + SMOOTHING * (observed - self.0)).clamp(RATIO_MIN, RATIO_MAX);
    }
}
