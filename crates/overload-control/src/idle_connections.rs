//! How long idle connections stay open.

use crate::Nanos;
use crate::regulator::CONTROL_PERIOD;

/// Connections stay where a caller returns this often before it would close its own.
const RETURNS_MIN: f64 = 4.0;
/// Power of the returns by which the timeout falls where callers return less often: half as many returns
/// leave a sixteenth of it.
const STEEPNESS: i32 = 4;
/// Shortest timeout, as a share of the control period.
const TIMEOUT_MIN_SHARE: f64 = 0.02;
/// Utilization under which the cores are idle.
const IDLE_UTILIZATION: f64 = 0.25;

/// State of the rule.
pub struct IdleConnections {
    /// All connections stay open.
    keeps_all: bool,
    /// After this callers close them by themselves, ns.
    timeout_max: f64,
    callers: f64,
}

impl IdleConnections {
    /// For so many callers, which close idle connections by themselves after `timeout_max`.
    pub fn new(timeout_max: Nanos, callers: f64) -> Self {
        Self { keeps_all: false, timeout_max: timeout_max as f64, callers }
    }

    /// The timeout of the next period, by arrivals a second and the utilization. Connections stay where
    /// callers return often enough to use them again. While reading is behind, all of them stay until the
    /// cores are idle: a caller that finds none free costs nothing to read.
    pub fn timeout(&mut self, arrival_rate: f64, is_reading_behind: bool, utilization: f64) -> Nanos {
        let returns = arrival_rate * self.timeout_max / 1e9 / self.callers / RETURNS_MIN;
        self.keeps_all = is_reading_behind || (self.keeps_all && utilization > IDLE_UTILIZATION);
        let ratio = if self.keeps_all { 1.0 } else { returns.min(1.0).powi(STEEPNESS) };
        let timeout_min = CONTROL_PERIOD as f64 * TIMEOUT_MIN_SHARE;
        (self.timeout_max * ratio).max(timeout_min).min(self.timeout_max) as Nanos
    }
}
