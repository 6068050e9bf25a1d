//! Slow start (as in Envoy): a service that has recovered gets its share of calls back in proportion to the
//! time since then.
//!
//! Each server counts the service's share out call by call, from a random beginning, instead of drawing for
//! each call: the calls of a whole fleet then add up to the ramp, without chance on top of it.

use crate::Nanos;

/// Slow start of one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStart {
    /// When the service recovered; `None` where it was never unhealthy.
    recovered_at: Option<Nanos>,
    /// Part of a call that the service is owed, 0 to 1.
    credit: f64,
}

impl SlowStart {
    /// The service has recovered; `credit`, 0 to 1, is the part of a call that it is owed at first.
    pub fn begin(&mut self, now: Nanos, credit: f64) {
        self.recovered_at = Some(now);
        self.credit = credit;
    }

    /// Part of a full share that the service may have now: below 1 during the slow start, which takes
    /// `duration` nanoseconds, and 1 after it.
    pub fn ratio(&self, now: Nanos, duration: Nanos) -> f64 {
        let since = self.recovered_at.map_or(Nanos::MAX, |at| now.saturating_sub(at));
        if since < duration { since as f64 / duration as f64 } else { 1.0 }
    }

    /// Adds the service's part of one call, of which a full share is one in `services`. Credit stays within
    /// one call: what a busy service did not get is not made up for, so that it gets no burst later.
    pub fn accrue(&mut self, ratio: f64, services: usize) {
        self.credit = (self.credit + ratio / services as f64).min(1.0);
    }

    /// Whether a whole call is owed.
    pub fn is_owed_call(&self) -> bool {
        self.credit >= 1.0
    }

    /// The service gets the call that it is owed.
    pub fn spend(&mut self) {
        self.credit = 0.0;
    }
}
