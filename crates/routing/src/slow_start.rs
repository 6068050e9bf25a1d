//! Slow start (as in Envoy): a recovered service regains its share of calls in proportion to the time since
//! its recovery.
//!
//! Each server accumulates the service's share call by call, from a random initial credit, instead of
//! drawing at random for each call. The calls of a whole fleet then add up to the ramp without additional
//! random variation.

use crate::Nanos;

/// Slow start of one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStart {
    /// Time of the recovery; `None` if the service was never unhealthy.
    recovered_at: Option<Nanos>,
    /// Fraction of a call that the service is owed, from 0 to 1.
    credit: f64,
}

impl SlowStart {
    /// Starts slow start at the recovery of the service; `credit`, from 0 to 1, is the initial fraction of
    /// a call that it is owed.
    pub fn begin(&mut self, now: Nanos, credit: f64) {
        self.recovered_at = Some(now);
        self.credit = credit;
    }

    /// Returns the service's current fraction of a full share: below 1 during slow start, which takes
    /// `duration` nanoseconds, and 1 after it.
    pub fn ratio(&self, now: Nanos, duration: Nanos) -> f64 {
        let since = self.recovered_at.map_or(Nanos::MAX, |at| now.saturating_sub(at));
        if since < duration { since as f64 / duration as f64 } else { 1.0 }
    }

    /// Adds the service's share of one call; a full share is one call in `services`. The credit is capped
    /// at one call: calls that a busy service missed are not made up for, so that it receives no burst
    /// later.
    pub fn accrue(&mut self, ratio: f64, services: usize) {
        self.credit = (self.credit + ratio / services as f64).min(1.0);
    }

    /// Whether the service is owed a whole call.
    pub fn is_owed_call(&self) -> bool {
        self.credit >= 1.0
    }

    /// Resets the credit after the service has received the call that it was owed.
    pub fn spend(&mut self) {
        self.credit = 0.0;
    }
}
