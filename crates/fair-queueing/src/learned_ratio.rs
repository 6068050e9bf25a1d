//! Learned ratio of a tenant's work to the usual work of its operations.

/// Weight of a new observation in the exponential moving average.
const SMOOTHING: f64 = 0.2;
/// Lower bound of the ratio; `RATIO_MAX` is the upper bound.
const RATIO_MIN: f64 = 1e-3;
const RATIO_MAX: f64 = 1e3;

/// Moving average of the ratio of the work used to the usual work.
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

    /// Adds an observed ratio to the moving average.
    pub fn learn(&mut self, observed: f64) {
        self.0 = (self.0 + SMOOTHING * (observed - self.0)).clamp(RATIO_MIN, RATIO_MAX);
    }
}
