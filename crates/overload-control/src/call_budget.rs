//! Budget of call time that this server may use at a dependency shared by all servers.
//!
//! The budget refills at a constant rate up to a maximum. A call reserves its timeout when it starts, and
//! the unused time is returned when it ends. The mean number of concurrent calls therefore stays within the
//! quota over each window.

use crate::{Downstream, Nanos, Outcome};

/// Refill rate of the budget, as a share of the quota. The rest of the quota over a window is the maximum
/// that the budget can accumulate.
const STEADY_SHARE: f64 = 0.7;
/// Share of the maximum budget reserved for calls of the top rank, so that these calls find budget when
/// calls are slow.
const TOP_RANK_SHARE: f64 = 0.3;
/// Maximum timeout of a call, as a multiple of the attempt timeout.
const TIMEOUT_MAX_RATIO: f64 = 4.0;

/// Minimum timeout of a call that exceeds even the maximum budget, as a share of that maximum. Written as a
/// difference because the literal 0.3 rounds to a different number.
const TIMEOUT_MIN_SHARE: f64 = 1.0 - 0.7;

/// Budget requested for one call.
pub struct Request {
    /// Requested timeout: the time until the result is no longer useful, or the attempt timeout of a call
    /// that may be repeated if that is shorter.
    pub timeout: Nanos,
    /// Timeout of this attempt for a call that may be repeated, ns; 0 before any call time is learned.
    pub attempt_timeout_ns: f64,
    /// Half of the timeout of a first attempt, ns; 0 before any call time is learned.
    pub base_timeout_ns: f64,
    /// Whether the run has the highest rank.
    pub is_top_rank: bool,
}

/// Budget at one shared dependency.
pub struct CallBudget {
    /// Mean number of concurrent calls that this server may have.
    quota: f64,
    /// Time for which an abandoned call still occupies the dependency.
    linger: Nanos,
    /// Call time that can be reserved now, ns.
    available_ns: f64,
    /// Call time that the waiting call needs, ns.
    needed_ns: f64,
    /// Maximum call time that can accumulate, ns.
    max_ns: f64,
}

impl CallBudget {
    /// Creates the budget; `None` if the downstream is not a shared dependency.
    pub fn new(downstream: Downstream) -> Option<Self> {
        let Downstream::Shared { quota, linger, window } = downstream else { return None };
        let max_ns = quota * window as f64 * (1.0 - STEADY_SHARE);
        Some(Self { quota, linger, available_ns: f64::INFINITY, needed_ns: 0.0, max_ns })
    }

    /// Refills the budget for the time that has elapsed.
    pub fn advance(&mut self, elapsed: Nanos) {
        let gained = self.quota * STEADY_SHARE * elapsed as f64;
        self.available_ns = (self.available_ns + gained).min(self.max_ns);
    }

    /// Reserves budget for a call and returns the call's timeout; `None` if the budget is too low.
    pub fn reserve(&mut self, request: &Request) -> Option<Nanos> {
        let linger = self.linger as f64;
        let timeout_max = if request.attempt_timeout_ns > 0.0 {
            request.attempt_timeout_ns * TIMEOUT_MAX_RATIO
        } else {
            f64::INFINITY
        };
        let wanted = (request.timeout as f64).min(timeout_max);
        let reserved = if request.is_top_rank { 0.0 } else { self.max_ns * TOP_RANK_SHARE };
        self.needed_ns = (wanted + linger + reserved).min(self.max_ns);
        if self.available_ns < self.needed_ns {
            return None;
        }
        let timeout_min = self.max_ns * TIMEOUT_MIN_SHARE;
        let affordable = (self.available_ns - linger).max(request.base_timeout_ns).max(timeout_min);
        let timeout = wanted.min(affordable) as Nanos;
        self.available_ns -= timeout as f64 + linger;
        Some(timeout)
    }

    /// Returns the unused budget of an ended call. The linger time of an abandoned call is not returned,
    /// because the call still occupies the dependency.
    pub fn refund(&mut self, timeout: Nanos, duration: Nanos, outcome: Outcome) {
        let linger = if outcome == Outcome::Unknown { 0 } else { self.linger };
        self.available_ns += (timeout + linger) as f64 - duration as f64;
    }

    /// Returns the time at which the budget will suffice for the waiting call; `None` if it suffices now.
    pub fn enough_at(&self, now: Nanos) -> Option<Nanos> {
        let time_until_enough = (self.needed_ns - self.available_ns) / (self.quota * STEADY_SHARE);
        (time_until_enough > 0.0).then(|| now + time_until_enough as Nanos + 1)
    }
}
