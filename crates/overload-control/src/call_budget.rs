//! Budget that limits how much time this server's calls use at a dependency that all servers share.
//!
//! The budget is an amount of call time. It refills at a constant rate up to a maximum. A call reserves its
//! timeout when it starts. When the call ends, the unused part of the timeout returns to the budget. The mean
//! number of concurrent calls therefore stays within the quota over each window.

use crate::{Downstream, Nanos, Outcome};

/// Rate at which the call budget refills, as a share of [`CallBudget::quota`]. The rest of the quota,
/// multiplied by the length of the window, is the maximum budget.
const STEADY_SHARE: f64 = 0.7;
/// Share of the maximum budget that only calls of the highest rank may use. Without this reserve, a call of
/// the highest rank could find no budget when calls are slow.
const TOP_RANK_SHARE: f64 = 0.3;
/// Maximum timeout of a call, as a multiple of its attempt timeout ([`Request::attempt_timeout_ns`]).
const TIMEOUT_MAX_RATIO: f64 = 4.0;

/// Minimum timeout of a call, as a share of the maximum budget. If a call requests more than the maximum
/// budget, its timeout is shortened, but not below this minimum. The value is written as a difference because
/// the literal 0.3 is rounded to a different number.
const TIMEOUT_MIN_SHARE: f64 = 1.0 - 0.7;

/// Properties of a call for which budget is reserved.
pub struct Request {
    /// Requested timeout of the call: the time until the result is no longer useful. If the call may be
    /// repeated and its attempt timeout is shorter, the attempt timeout is requested instead.
    pub timeout: Nanos,
    /// Attempt timeout: time after which an attempt is abandoned if the call may be repeated, ns; 0 until the
    /// duration of a call has been observed.
    pub attempt_timeout_ns: f64,
    /// Base timeout of the call, ns: half of the attempt timeout of the first attempt. If the call requests
    /// more than the maximum budget, its timeout is shortened, but not below the base timeout. 0 until the
    /// duration of a call has been observed.
    pub base_timeout_ns: f64,
    /// Whether the run that makes the call has the highest rank.
    pub is_top_rank: bool,
}

/// Budget of call time that this server may use at a shared dependency.
pub struct CallBudget {
    /// Mean number of concurrent calls that this server may have at the dependency.
    quota: f64,
    /// Time for which an abandoned call still occupies the dependency, ns.
    linger: Nanos,
    /// Current budget: call time that can be reserved now, ns.
    available_ns: f64,
    /// Budget that the most recent request required, ns. The requested call can start once the current budget
    /// is this large.
    needed_ns: f64,
    /// Maximum budget, ns. Refilling stops when the current budget reaches this amount.
    max_ns: f64,
}

impl CallBudget {
    /// Creates the budget. Returns `None` if the server does not call a shared dependency.
    pub fn new(downstream: Downstream) -> Option<Self> {
        let Downstream::Shared { quota, linger, window } = downstream else { return None };
        let max_ns = quota * window as f64 * (1.0 - STEADY_SHARE);
        Some(Self { quota, linger, available_ns: f64::INFINITY, needed_ns: 0.0, max_ns })
    }

    /// Spends the whole budget. It is refilled from now on.
    pub fn spend_all(&mut self) {
        self.available_ns = 0.0;
    }

    /// Refills the budget for the time `elapsed` since the last refill.
    pub fn advance(&mut self, elapsed: Nanos) {
        let gained = self.quota * STEADY_SHARE * elapsed as f64;
        self.available_ns = (self.available_ns + gained).min(self.max_ns);
    }

    /// Reserves budget for a call and returns the timeout of the call. If the budget is too low, reserves
    /// nothing and returns `None`.
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

    /// Returns the unused part of a call's timeout to the budget when the call has ended. If the call was
    /// abandoned, the linger time stays reserved, because the call still occupies the dependency for this
    /// time.
    pub fn refund(&mut self, timeout: Nanos, duration: Nanos, outcome: Outcome) {
        let linger = if outcome == Outcome::Unknown { 0 } else { self.linger };
        self.available_ns += (timeout + linger) as f64 - duration as f64;
    }

    /// Returns the time at which the budget will be large enough for the most recent request; `None` if it is
    /// large enough now.
    pub fn enough_at(&self, now: Nanos) -> Option<Nanos> {
        let time_until_enough = (self.needed_ns - self.available_ns) / (self.quota * STEADY_SHARE);
        (time_until_enough > 0.0).then(|| now + time_until_enough as Nanos + 1)
    }
}
