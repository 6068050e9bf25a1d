//! Timeout after which the host closes idle connections of callers.

use crate::Nanos;
use crate::regulator::CONTROL_PERIOD;

/// Mean number of calls that a caller must make within [`IdleConnections::timeout_max`] for idle connections
/// to be kept open for that whole time.
const RETURNS_MIN: f64 = 4.0;
/// Exponent of the timeout of idle connections if callers make fewer than [`RETURNS_MIN`] calls: at half of
/// [`RETURNS_MIN`], a sixteenth of the timeout remains.
const RETURNS_EXPONENT: i32 = 4;
/// Minimum timeout of idle connections, as a share of the control period.
const TIMEOUT_MIN_SHARE: f64 = 0.02;
/// Utilization of the cores up to which they count as idle.
const IDLE_UTILIZATION: f64 = 0.25;

/// Computes the timeout after which idle connections of callers are closed.
pub struct IdleConnections {
    /// Whether all connections are kept open because reading was behind.
    keeps_all: bool,
    /// Idle time after which callers close connections themselves, ns.
    timeout_max: f64,
    callers: f64,
}

impl IdleConnections {
    /// Creates the state for `callers` callers, which close idle connections themselves after
    /// `timeout_max`.
    pub fn new(timeout_max: Nanos, callers: f64) -> Self {
        Self { keeps_all: false, timeout_max: timeout_max as f64, callers }
    }

    /// Returns the timeout of idle connections for the next control period. `arrival_rate` is in arrivals
    /// per second. Connections are kept if callers send calls often enough to reuse them. While the reading
    /// of arrivals is behind, and then until the cores are idle, all connections are kept: callers that
    /// find no free connection cause no reading cost.
    pub fn timeout(&mut self, arrival_rate: f64, is_reading_behind: bool, utilization: f64) -> Nanos {
        let returns = arrival_rate * self.timeout_max / 1e9 / self.callers / RETURNS_MIN;
        self.keeps_all = is_reading_behind || (self.keeps_all && utilization > IDLE_UTILIZATION);
        let ratio = if self.keeps_all { 1.0 } else { returns.min(1.0).powi(RETURNS_EXPONENT) };
        let timeout_min = CONTROL_PERIOD as f64 * TIMEOUT_MIN_SHARE;
        (self.timeout_max * ratio).max(timeout_min).min(self.timeout_max) as Nanos
    }
}
