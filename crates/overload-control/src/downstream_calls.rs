//! Downstream calls: concurrency limit, timeouts, retries and backoff.

use crate::call_budget::{CallBudget, Request};
use crate::decaying_mean::DecayingMean;
use crate::operation_times::TIMES_HALF_LIFE;
use crate::{Deployment, Nanos, Outcome};

/// Amount by which the limit on concurrent calls grows, as a share of the core count. The limit grows by this
/// amount after a number of successful calls equal to the limit. Only successes while the limit is reached
/// are counted.
const LIMIT_GROWTH: f64 = 0.1;
/// Factor by which each rejected call reduces the limit on concurrent calls.
const LIMIT_CUT_RATIO: f64 = 0.93;
/// Base timeout of a call that may be repeated, as a multiple of the usual call time. The first attempt has
/// twice the base timeout, and the timeout doubles with each further attempt.
const BASE_TIMEOUT_RATIO: f64 = 2.0;
/// Number of attempts after which the timeout of an attempt no longer doubles.
const DOUBLINGS_MAX: u32 = 8;
/// Delay before a rejected call is retried, as a share of the usual run time of the operation.
const BACKOFF_SHARE: f64 = 0.25;

/// An attempt of a downstream call that is about to start.
pub struct Attempt {
    /// Number of earlier attempts of this call.
    pub attempts: u32,
    /// Time until the result of the call is no longer useful.
    pub time_left: Nanos,
    /// Estimated cost of the run that makes the call, as a ratio to the usual cost of a run of the
    /// operation.
    pub cost_ratio: f64,
    /// Whether the call may be repeated.
    pub is_idempotent: bool,
    /// Whether the run that makes the call has the highest rank.
    pub is_top_rank: bool,
}

/// Numbers of runs that wait for a downstream call or have one in progress.
#[derive(Clone, Copy)]
pub struct OpenCalls {
    /// Number of runs that wait to make their call.
    pub awaiting: f64,
    /// Number of calls in progress.
    pub calling: f64,
}

/// State of the downstream calls of this server.
pub struct DownstreamCalls {
    cores: f64,
    /// Learned limit on concurrent calls to the downstream tier.
    limit: f64,
    /// Whether the fleet's shared state currently withholds permission for downstream calls.
    is_withheld: bool,
    call_time: DecayingMean,
    budget: Option<CallBudget>,
}

impl DownstreamCalls {
    /// Creates the state of the downstream calls. The limit on concurrent calls starts at the core count.
    pub fn new(deployment: &Deployment, now: Nanos) -> Self {
        Self {
            cores: deployment.cores,
            limit: deployment.cores,
            is_withheld: false,
            call_time: DecayingMean::new(TIMES_HALF_LIFE, now),
            budget: CallBudget::new(deployment.downstream),
        }
    }

    /// Refills the call budget for the time `elapsed` since the last refill.
    pub fn advance(&mut self, elapsed: Nanos) {
        if let Some(budget) = &mut self.budget {
            budget.advance(elapsed);
        }
    }

    /// Whether the limit on concurrent calls permits one more. Calls to a shared dependency are not subject
    /// to this limit but to a budget of call time.
    pub fn is_within_limit(&self, calling: f64) -> bool {
        self.budget.is_some() || calling + 1.0 <= self.limit
    }

    /// Records whether the fleet's shared state withholds permission for downstream calls.
    pub fn set_withheld(&mut self, is_withheld: bool) {
        self.is_withheld = is_withheld;
    }

    /// Returns the timeout of a call. Calls to a shared dependency also reserve call budget; returns `None`
    /// if the budget is too low.
    pub fn reserve(&mut self, attempt: &Attempt) -> Option<Nanos> {
        let base_timeout_ns = self.call_time.mean() * attempt.cost_ratio.max(1.0) * BASE_TIMEOUT_RATIO;
        let attempt_timeout_ns = base_timeout_ns * f64::from(2 << attempt.attempts.min(DOUBLINGS_MAX));
        let has_attempt_timeout = attempt.is_idempotent && attempt_timeout_ns > 0.0;
        let timeout = if has_attempt_timeout {
            attempt.time_left.min(attempt_timeout_ns as Nanos)
        } else {
            attempt.time_left
        };
        let Some(budget) = &mut self.budget else { return Some(timeout) };
        let is_top_rank = attempt.is_top_rank;
        budget.reserve(&Request { timeout, attempt_timeout_ns, base_timeout_ns, is_top_rank })
    }

    /// Returns the unused part of a call's `timeout` to the budget, after the call or its run has ended.
    pub fn refund(&mut self, timeout: Nanos, duration: Nanos, outcome: Outcome) {
        if let Some(budget) = &mut self.budget {
            budget.refund(timeout, duration, outcome);
        }
    }

    /// Updates the usual call time and the limit on concurrent calls after a call has ended. A success
    /// raises the limit only while the limit is reached, since otherwise a success does not indicate that
    /// the limit is too low.
    pub fn observe(&mut self, now: Nanos, outcome: Outcome, duration: Nanos, open: OpenCalls) {
        match outcome {
            Outcome::Succeeded => {
                self.call_time.add(now, duration as f64);
                self.limit += LIMIT_GROWTH * self.cores / self.limit * f64::from(self.is_at_limit(open));
            }
            Outcome::Unknown => self.call_time.add(now, duration as f64),
            Outcome::NeverRan => self.limit = (self.limit * LIMIT_CUT_RATIO).max(1.0),
            Outcome::Failed | Outcome::Cancelled => {}
        }
    }

    /// Returns the backoff after a rejected call, for an operation whose runs usually take
    /// `usual_elapsed_ns`.
    pub fn backoff(usual_elapsed_ns: f64) -> Nanos {
        (usual_elapsed_ns * BACKOFF_SHARE) as Nanos
    }

    /// Whether the number of calls in progress and runs that wait for a call exceeds the learned limit.
    fn is_at_limit(&self, open: OpenCalls) -> bool {
        open.awaiting + open.calling > self.limit
    }

    /// Whether runs wait for downstream calls that may not be made now. Downstream capacity is then scarcer
    /// than the cores.
    pub fn is_saturated(&self, open: OpenCalls) -> bool {
        (self.is_withheld && open.awaiting > 0.0) || self.is_at_limit(open)
    }

    /// Returns the time by which calls are delayed because they exceed the limit on concurrent calls, ns:
    /// the usual call time multiplied by the relative excess over the limit. Calls in progress and runs
    /// that wait for a call are counted.
    pub fn backlog(&self, open: OpenCalls) -> f64 {
        let excess = ((open.awaiting + open.calling) / self.limit - 1.0).max(0.0);
        excess * self.call_time.mean()
    }

    /// Returns the time at which the call budget will suffice for the waiting call; `None` if it suffices
    /// now or if there is no budget.
    pub fn enough_budget_at(&self, now: Nanos) -> Option<Nanos> {
        self.budget.as_ref()?.enough_at(now)
    }
}
