//! Slow start (as in Envoy): after its recovery, a service receives a share of calls that grows in proportion
//! to the time since the recovery.
//!
//! Each server accumulates a credit for the service, which starts at a random value. Each call adds the
//! service's share of one call to the credit. The service may receive a call when the credit reaches 1. If a
//! random draw decided for each call instead, the total of the fleet's calls to the service would vary
//! randomly around the intended ramp.

use crate::Nanos;

/// State of the slow start of one service at one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStart {
    /// Time at which the service last recovered; `None` if it has never recovered.
    recovered_at: Option<Nanos>,
    /// Credit of the service, from 0 to 1: the part of a call that it has accumulated. At 1 the service may
    /// receive a call.
    credit: f64,
}

impl SlowStart {
    /// Begins the slow start of a service that recovered at `now`. `credit` is the initial credit, from 0 to
    /// 1.
    pub fn begin(&mut self, now: Nanos, credit: f64) {
        self.recovered_at = Some(now);
        self.credit = credit;
    }

    /// Returns the service's current share of calls, divided by its full share. The result grows from 0 to 1
    /// during slow start, which takes `duration` nanoseconds, and is 1 afterwards.
    pub fn ratio(&self, now: Nanos, duration: Nanos) -> f64 {
        let since = self.recovered_at.map_or(Nanos::MAX, |at| now.saturating_sub(at));
        if since < duration { since as f64 / duration as f64 } else { 1.0 }
    }

    /// Adds the service's share of one call to its credit. This share is `ratio` times the full share, which
    /// is one call in `services`. The credit never exceeds one call. If it could, a service that was too busy
    /// for its calls would receive these calls later as a burst.
    pub fn accrue(&mut self, ratio: f64, services: usize) {
        self.credit = (self.credit + ratio / services as f64).min(1.0);
    }

    /// Whether the credit has reached one whole call, so that the service may receive a call.
    pub fn is_owed_call(&self) -> bool {
        self.credit >= 1.0
    }

    /// Sets the credit to 0 after the service has received a call.
    pub fn spend(&mut self) {
        self.credit = 0.0;
    }
}
