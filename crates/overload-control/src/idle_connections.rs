//! Computes the timeout after which the host closes idle connections of callers.

use crate::Nanos;
use crate::regulator::CONTROL_PERIOD;

/// Minimum average number of calls that a caller makes within [`IdleConnections::timeout_max`]. If callers
/// make fewer calls, the timeout of idle connections is shortened.
const RETURNS_MIN: f64 = 4.0;
/// Exponent that shortens the timeout of idle connections if callers make fewer than [`RETURNS_MIN`] calls.
/// With half of [`RETURNS_MIN`] calls, the timeout is a sixteenth of its maximum.
const RETURNS_EXPONENT: i32 = 4;
/// Minimum timeout of idle connections, as a share of the control period.
const TIMEOUT_MIN_SHARE: f64 = 0.02;
/// Maximum utilization at which the cores are considered idle.
const IDLE_UTILIZATION: f64 = 0.25;

/// Computes the timeout after which idle connections of callers are closed.
pub struct IdleConnections {
    /// Whether all idle connections are kept open, because reading arrivals was too slow and the cores have
    /// not been idle since.
    keeps_all: bool,
    /// Upper bound of the timeout, ns: the idle time after which callers close their connections themselves.
    timeout_max: f64,
    callers: f64,
}

impl IdleConnections {
    /// Creates the state for `callers` callers, which close their idle connections themselves after
    /// `timeout_max`.
    pub fn new(timeout_max: Nanos, callers: f64) -> Self {
        Self { keeps_all: false, timeout_max: timeout_max as f64, callers }
    }

    /// Returns the timeout of idle connections for the next control period. `arrival_rate` is in arrivals per
    /// second.
    ///
    /// The timeout is longer if callers make calls more often, because they then reuse the connections. All
    /// connections are kept open while reading arrivals is too slow, and afterwards until the cores are idle.
    /// This limits the work of reading: a caller without a free connection sends nothing that must be read.
    pub fn timeout(&mut self, arrival_rate: f64, is_reading_behind: bool, utilization: f64) -> Nanos {
        let returns = arrival_rate * self.timeout_max / 1e9 / self.callers / RETURNS_MIN;
        self.keeps_all = is_reading_behind || (self.keeps_all && utilization > IDLE_UTILIZATION);
        let ratio = if self.keeps_all { 1.0 } else { returns.min(1.0).powi(RETURNS_EXPONENT) };
        let timeout_min = CONTROL_PERIOD as f64 * TIMEOUT_MIN_SHARE;
        (self.timeout_max * ratio).max(timeout_min).min(self.timeout_max) as Nanos
    }
}
