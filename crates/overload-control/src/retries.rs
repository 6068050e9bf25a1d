//! Retries of callers: how many come, and whether a rejected invocation may be tried elsewhere.

use crate::Nanos;
use crate::decaying_mean::DecayingMean;
use crate::regulator::CONTROL_PERIOD;

/// Share of marked retries, or refusal ratio of basic, up to which a rejected invocation may be tried
/// elsewhere.
const PRESSURE_MAX: f64 = 0.3;

/// What is observed of retries.
pub struct Retries {
    /// Arrivals, and the share of them that is marked; a half-life of some control periods, to react within
    /// seconds.
    marked: DecayingMean,
    /// Whether callers mark retries.
    are_marked: bool,
}

impl Retries {
    /// None observed yet.
    pub fn new(are_marked: bool, now: Nanos) -> Self {
        Self { marked: DecayingMean::new(CONTROL_PERIOD * 4, now), are_marked }
    }

    /// An arrival, marked as a retry or not.
    pub fn observe(&mut self, now: Nanos, is_marked: bool) {
        self.marked.add(now, f64::from(is_marked));
    }

    /// Arrivals a second.
    pub fn arrival_rate(&self, now: Nanos) -> f64 {
        self.marked.rate(now)
    }

    /// Whether retries elsewhere would only add to an overload of the whole fleet.
    pub fn are_harmful(&self, basic_ratio: f64) -> bool {
        let pressure = if self.are_marked { self.marked.mean() } else { basic_ratio };
        pressure > PRESSURE_MAX
    }
}
