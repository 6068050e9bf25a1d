//! Learns a ratio from the earlier invocations of a tenant: the work that an invocation used, divided by the
//! work that its operation usually needs.

/// Weight of a new invocation in the exponential moving average of the ratio, from 0 to 1.
const SMOOTHING: f64 = 0.2;
/// Lower limit of the learned ratio. The ratio is the work that an invocation used, divided by the work that
/// its operation usually needs. The upper limit is `RATIO_MAX`.
const RATIO_MIN: f64 = 1e-3;
const RATIO_MAX: f64 = 1e3;

/// Exponential moving average over invocations: the work that an invocation used, divided by the work that
/// its operation usually needs. The value is 1 before the first observation.
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

    /// Adds one invocation to the moving average. `observed` is the work that the invocation used, divided by
    /// the work that its operation usually needs.
    pub fn learn(&mut self, observed: f64) {
        self.0 = (self.0 + SMOOTHING * (observed - self.0)).clamp(RATIO_MIN, RATIO_MAX);
    }
}
