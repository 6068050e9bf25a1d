//! The call time that this server may take of a dependency that all servers share.
//!
//! The budget grows with time up to a maximum. A call takes its timeout from it at its start, and what it did
//! not use is returned at its end, so the mean number of concurrent calls stays within the quota over each
//! window.

use crate::{Downstream, Nanos, Outcome};

/// Share of the quota that the budget grows by; the rest of the quota over a window may be saved up.
const STEADY_SHARE: f64 = 0.7;
/// Share of the largest budget that calls of all but the top rank leave free, so that a call of the top rank
/// finds some where calls are slow.
const TOP_RANK_SHARE: f64 = 0.3;
/// A call has this many times the timeout of one that may be repeated, at the most.
const TIMEOUT_MAX_RATIO: f64 = 4.0;

/// A call that even the largest budget cannot carry whole has at least this share of it as its timeout. A
/// difference, as 0.3 would round to another number.
const TIMEOUT_MIN_SHARE: f64 = 1.0 - 0.7;

/// What a call wants of the budget.
pub struct Request {
    /// Time that the call may take by its deadline and its retries.
    pub timeout: Nanos,
    /// Timeout of a call that may be repeated, ns; 0 where none is learned.
    pub attempt_timeout_ns: f64,
    /// Half of that timeout at the first attempt, ns; 0 where none is learned.
    pub base_timeout_ns: f64,
    /// The run is of the highest rank.
    pub is_top_rank: bool,
}

/// The budget of one shared dependency.
pub struct CallBudget {
    /// Mean number of concurrent calls.
    quota: f64,
    /// How long a call that was given up still occupies the dependency.
    linger: Nanos,
    /// Call time that may be taken, ns.
    available_ns: f64,
    /// Call time that the call which waits for budget needs, ns.
    needed_ns: f64,
    /// Call time that may be saved up, ns.
    max_ns: f64,
}

impl CallBudget {
    /// `None` where calls go to no shared dependency.
    pub fn new(downstream: Downstream) -> Option<Self> {
        let Downstream::Shared { quota, linger, window } = downstream else { return None };
        let max_ns = quota * window as f64 * (1.0 - STEADY_SHARE);
        Some(Self { quota, linger, available_ns: f64::INFINITY, needed_ns: 0.0, max_ns })
    }

    /// Grows with the time that has passed.
    pub fn advance(&mut self, elapsed: Nanos) {
        let gained = self.quota * STEADY_SHARE * elapsed as f64;
        self.available_ns = (self.available_ns + gained).min(self.max_ns);
    }

    /// Takes the time of a call; `None` where there is not enough, else the call's timeout.
    pub fn reserve(&mut self, request: &Request) -> Option<Nanos> {
        let linger = self.linger as f64;
        let timeout_max = if request.attempt_timeout_ns > 0.0 {
            request.attempt_timeout_ns * TIMEOUT_MAX_RATIO
        } else {
            f64::INFINITY
        };
        let wanted = (request.timeout as f64).min(timeout_max);
        let left_free = if request.is_top_rank { 0.0 } else { self.max_ns * TOP_RANK_SHARE };
        self.needed_ns = (wanted + linger + left_free).min(self.max_ns);
        if self.available_ns < self.needed_ns {
            return None;
        }
        let timeout_min = self.max_ns * TIMEOUT_MIN_SHARE;
        let affordable = (self.available_ns - linger).max(request.base_timeout_ns).max(timeout_min);
        let timeout = wanted.min(affordable) as Nanos;
        self.available_ns -= timeout as f64 + linger;
        Some(timeout)
    }

    /// Returns what an ended call did not use. One that was given up still occupies the dependency.
    pub fn refund(&mut self, timeout: Nanos, took: Nanos, outcome: Outcome) {
        let linger = if outcome == Outcome::Unknown { 0 } else { self.linger };
        self.available_ns += (timeout + linger) as f64 - took as f64;
    }

    /// When there is enough for the call that waits.
    pub fn enough_at(&self, now: Nanos) -> Option<Nanos> {
        let rest = (self.needed_ns - self.available_ns) / (self.quota * STEADY_SHARE);
        (rest > 0.0).then(|| now + rest as Nanos + 1)
    }
}
