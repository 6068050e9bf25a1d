//! How a tenant's work compares with what its operations usually take.

/// Weight of a new value in the exponential moving average.
const SMOOTHING: f64 = 0.2;
/// Bounds of the ratio.
const RATIO_MIN: f64 = 1e-3;
const RATIO_MAX: f64 = 1e3;

/// Learned ratio of the work used to the usual work.
#[derive(Clone, Copy, Debug)]
pub struct LearnedRatio(f64);

impl Default for LearnedRatio {
    fn default() -> Self {
        Self(1.0)
    }
}

impl LearnedRatio {
    /// The ratio.
    pub fn get(self) -> f64 {
        self.0
    }

    /// Takes an observed ratio into the average.
    pub fn learn(&mut self, observed: f64) {
        self.0 = (self.0 + SMOOTHING * (observed - self.0)).clamp(RATIO_MIN, RATIO_MAX);
    }
}
