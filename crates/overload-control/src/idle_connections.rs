//! Timeout after which idle connections are closed.

use crate::Nanos;
use crate::regulator::CONTROL_PERIOD;

/// Number of times that a caller must return within `timeout_max` for its connections to be kept open.
const RETURNS_MIN: f64 = 4.0;
/// If callers return less often than `RETURNS_MIN`, the timeout falls with this power of their return rate:
/// half the returns leave a sixteenth of the timeout.
const RETURNS_EXPONENT: i32 = 4;
/// Minimum timeout, as a share of the control period.
const TIMEOUT_MIN_SHARE: f64 = 0.02;
/// Utilization up to which the cores count as idle.
const IDLE_UTILIZATION: f64 = 0.25;

/// Computes the timeout of idle connections.
pub struct IdleConnections {
    /// Whether all connections are kept open.
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

    /// Returns the timeout for the next period, given arrivals per second and the utilization. Connections
    /// are kept if callers return often enough to reuse them. While reading is behind, all are kept until
    /// the cores are idle: a caller that finds no free connection causes no reading cost.
    pub fn timeout(&mut self, arrival_rate: f64, is_reading_behind: bool, utilization: f64) -> Nanos {
        let returns = arrival_rate * self.timeout_max / 1e9 / self.callers / RETURNS_MIN;
        self.keeps_all = is_reading_behind || (self.keeps_all && utilization > IDLE_UTILIZATION);
        let ratio = if self.keeps_all { 1.0 } else { returns.min(1.0).powi(RETURNS_EXPONENT) };
        let timeout_min = CONTROL_PERIOD as f64 * TIMEOUT_MIN_SHARE;
        (self.timeout_max * ratio).max(timeout_min).min(self.timeout_max) as Nanos
    }
}
