//! Budget of call time that this server may use at a dependency shared by all servers.
//!
//! The budget refills at a constant rate up to a maximum. A call reserves its timeout when it starts, and
//! the unused part of the timeout is returned to the budget when the call ends. The mean number of
//! concurrent calls therefore stays within the quota over each window.

use crate::{Downstream, Nanos, Outcome};

/// Refill rate of the budget, as a share of [`CallBudget::quota`]. The maximum budget is the rest of the
/// quota multiplied by the length of the window.
const STEADY_SHARE: f64 = 0.7;
/// Share of the maximum budget that is reserved for calls of the top rank, so that a call of the top rank
/// still finds budget when calls are slow.
const TOP_RANK_SHARE: f64 = 0.3;
/// Maximum timeout of a call, as a multiple of [`Request::attempt_timeout_ns`].
const TIMEOUT_MAX_RATIO: f64 = 4.0;

/// Lower bound of the shortened timeout of a call whose request exceeds the maximum budget, as a share of
/// the maximum budget. Written as a difference because the literal 0.3 rounds to a different number.
const TIMEOUT_MIN_SHARE: f64 = 1.0 - 0.7;

/// Inputs for reserving the budget of one call.
pub struct Request {
    /// Requested timeout: the time until the result of the call is no longer useful. If the call may be
    /// repeated and its attempt timeout is shorter, the attempt timeout is requested.
    pub timeout: Nanos,
    /// Timeout of an attempt that may be repeated, ns; 0 until the duration of a call has been observed.
    pub attempt_timeout_ns: f64,
    /// Base timeout, which is half of the timeout of a first attempt, ns; 0 until the duration of a call
    /// has been observed.
    pub base_timeout_ns: f64,
    /// Whether the run that makes the call has the highest rank.
    pub is_top_rank: bool,
}

/// Budget of call time at one shared dependency.
pub struct CallBudget {
    /// Mean number of concurrent calls that this server may have.
    quota: f64,
    /// Time for which an abandoned call still occupies the dependency.
    linger: Nanos,
    /// Call time that can be reserved now, ns.
    available_ns: f64,
    /// Call time required by the most recent request, ns. A waiting call can start once this much is
    /// available.
    needed_ns: f64,
    /// Maximum call time that can accumulate, ns.
    max_ns: f64,
}

impl CallBudget {
    /// Creates the budget; `None` if the downstream calls do not go to a shared dependency.
    pub fn new(downstream: Downstream) -> Option<Self> {
        let Downstream::Shared { quota, linger, window } = downstream else { return None };
        let max_ns = quota * window as f64 * (1.0 - STEADY_SHARE);
        Some(Self { quota, linger, available_ns: f64::INFINITY, needed_ns: 0.0, max_ns })
    }

    /// Refills the budget for the time `elapsed` since the last refill.
    pub fn advance(&mut self, elapsed: Nanos) {
        let gained = self.quota * STEADY_SHARE * elapsed as f64;
        self.available_ns = (self.available_ns + gained).min(self.max_ns);
    }

    /// Reserves budget for a call and returns the call's timeout. Returns `None`, and reserves nothing, if
    /// the budget is too low.
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

    /// Returns the unused call time of an ended call to the budget. The linger time of an abandoned call
    /// remains reserved, because the call still occupies the dependency.
    pub fn refund(&mut self, timeout: Nanos, duration: Nanos, outcome: Outcome) {
        let linger = if outcome == Outcome::Unknown { 0 } else { self.linger };
        self.available_ns += (timeout + linger) as f64 - duration as f64;
    }

    /// Returns the time at which the budget will suffice for the most recent request; `None` if it suffices
    /// now.
    pub fn enough_at(&self, now: Nanos) -> Option<Nanos> {
        let time_until_enough = (self.needed_ns - self.available_ns) / (self.quota * STEADY_SHARE);
        (time_until_enough > 0.0).then(|| now + time_until_enough as Nanos + 1)
    }
}
