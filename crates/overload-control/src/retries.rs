//! Measures the share of arrivals that are retries by callers. Decides whether a rejected invocation may be
//! retried at another server.

use crate::Nanos;
use crate::decaying_mean::DecayingMean;
use crate::regulator::CONTROL_PERIOD;

/// Maximum share of retries among arrivals. Above this share, callers of rejected invocations are advised not
/// to retry at another server. If callers do not mark retries, the refusal time ratio of the basic class is
/// compared with this limit instead.
const PRESSURE_MAX: f64 = 0.3;

/// Measurements of the retries that callers make.
pub struct Retries {
    /// Rate of arrivals, and the share of arrivals that callers marked as retries. The half-life is a few
    /// control periods, so that the measurements follow a change within seconds.
    marked: DecayingMean,
    /// Whether the callers of this server mark their retries.
    are_marked: bool,
}

impl Retries {
    /// Creates measurements that contain no arrivals. `are_marked` states whether callers mark their retries.
    pub fn new(are_marked: bool, now: Nanos) -> Self {
        Self { marked: DecayingMean::new(CONTROL_PERIOD * 4, now), are_marked }
    }

    /// Records an arrival, and whether its caller marked it as a retry.
    pub fn observe(&mut self, now: Nanos, is_marked: bool) {
        self.marked.add(now, f64::from(is_marked));
    }

    /// Returns the estimated number of arrivals per second.
    pub fn arrival_rate(&self, now: Nanos) -> f64 {
        self.marked.rate(now)
    }

    /// Whether retries of rejected invocations at other servers would add to an overload of the fleet.
    /// `basic_ratio` is the refusal time ratio of the basic class.
    pub fn are_harmful(&self, basic_ratio: f64) -> bool {
        let pressure = if self.are_marked { self.marked.mean() } else { basic_ratio };
        pressure > PRESSURE_MAX
    }
}
