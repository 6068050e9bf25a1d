//! Retries by callers: their share of the arrivals, and whether a rejected invocation may be retried
//! elsewhere.

use crate::Nanos;
use crate::decaying_mean::DecayingMean;
use crate::regulator::CONTROL_PERIOD;

/// Maximum share of marked retries at which a rejected invocation may be retried elsewhere. If callers do
/// not mark retries, the refusal time ratio of basic is compared instead.
const PRESSURE_MAX: f64 = 0.3;

/// Measurements of retries by callers.
pub struct Retries {
    /// Rate of arrivals and the share of them that is marked. The half-life is a few control periods, to
    /// react within seconds.
    marked: DecayingMean,
    /// Whether callers mark retries.
    are_marked: bool,
}

impl Retries {
    /// Creates the measurements of retries without observations.
    pub fn new(are_marked: bool, now: Nanos) -> Self {
        Self { marked: DecayingMean::new(CONTROL_PERIOD * 4, now), are_marked }
    }

    /// Records an arrival and whether it is marked as a retry.
    pub fn observe(&mut self, now: Nanos, is_marked: bool) {
        self.marked.add(now, f64::from(is_marked));
    }

    /// Returns the number of arrivals per second.
    pub fn arrival_rate(&self, now: Nanos) -> f64 {
        self.marked.rate(now)
    }

    /// Whether retries at other servers would only add to an overload of the fleet.
    pub fn are_harmful(&self, basic_ratio: f64) -> bool {
        let pressure = if self.are_marked { self.marked.mean() } else { basic_ratio };
        pressure > PRESSURE_MAX
    }
}
