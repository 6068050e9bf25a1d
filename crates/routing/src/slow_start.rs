//! Slow start (as in Envoy): a recovered service regains its share of calls in proportion to the time since
//! its recovery.
//!
//! Each server adds the service's share of every call to a credit, which starts at a random value. The
//! service may receive a call when the credit reaches 1. With a random draw for each call instead, the
//! total of a fleet's calls to the service would vary randomly around the intended ramp.

use crate::Nanos;

/// Slow start of one service at one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStart {
    /// Time of the last recovery; `None` if the service was never unhealthy.
    recovered_at: Option<Nanos>,
    /// Accumulated share of a call, from 0 to 1. At 1 the service may receive a call.
    credit: f64,
}

impl SlowStart {
    /// Starts slow start when the service has recovered. `credit`, from 0 to 1, is the initial credit.
    pub fn begin(&mut self, now: Nanos, credit: f64) {
        self.recovered_at = Some(now);
        self.credit = credit;
    }

    /// Returns the service's present share of calls as a ratio to its full share. The ratio is below 1
    /// during slow start, which takes `duration` nanoseconds, and 1 afterwards.
    pub fn ratio(&self, now: Nanos, duration: Nanos) -> f64 {
        let since = self.recovered_at.map_or(Nanos::MAX, |at| now.saturating_sub(at));
        if since < duration { since as f64 / duration as f64 } else { 1.0 }
    }

    /// Adds the service's share of one call to its credit: `ratio` times the full share, which is one call
    /// in `services`. The credit is capped at one call, so that a service that was too busy for its calls
    /// does not receive them as a burst later.
    pub fn accrue(&mut self, ratio: f64, services: usize) {
        self.credit = (self.credit + ratio / services as f64).min(1.0);
    }

    /// Whether the credit has reached one whole call.
    pub fn is_owed_call(&self) -> bool {
        self.credit >= 1.0
    }

    /// Resets the credit after the service has received a call for it.
    pub fn spend(&mut self) {
        self.credit = 0.0;
    }
}
