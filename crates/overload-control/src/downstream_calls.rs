//! Controls the downstream calls of this server: concurrency limit, timeouts, retries and backoff.

use crate::call_budget::{CallBudget, Request};
use crate::decaying_mean::DecayingMean;
use crate::operation_times::TIMES_HALF_LIFE;
use crate::{Deployment, Nanos, Outcome};

/// Growth of the limit on concurrent calls while the limit is reached. If the limit is N calls, N successful
/// calls raise it by this share of the number of cores. For example, on ten cores, 50 successful calls raise
/// a limit of 50 by about 1.
const LIMIT_GROWTH: f64 = 0.1;
/// Factor by which the limit on concurrent calls is multiplied after each rejected call.
const LIMIT_CUT_RATIO: f64 = 0.93;
/// Base timeout of a call that may be repeated, as a multiple of the usual duration of a call. The first
/// attempt has twice the base timeout. The timeout doubles with each further attempt.
const BASE_TIMEOUT_RATIO: f64 = 2.0;
/// Maximum number of times that the timeout of a call doubles over its attempts.
const DOUBLINGS_MAX: u32 = 8;
/// Delay before a rejected call is retried, as a share of the usual time from start to end of the operation's
/// runs.
const BACKOFF_SHARE: f64 = 0.25;

/// An attempt to make a downstream call.
pub struct Attempt {
    /// Number of earlier attempts to make this call.
    pub attempts: u32,
    /// Remaining time in which the result of the call is useful.
    pub time_left: Nanos,
    /// Estimated cost of the run that makes the call, divided by the usual cost of a run of its operation.
    pub cost_ratio: f64,
    /// Whether the call may be repeated without harm.
    pub is_idempotent: bool,
    /// Whether the run that makes the call has the highest rank.
    pub is_top_rank: bool,
}

/// Number of runs that wait to make a downstream call, and number of downstream calls in progress.
#[derive(Clone, Copy)]
pub struct OpenCalls {
    /// Number of runs that wait to make their downstream call.
    pub awaiting: f64,
    /// Number of calls in progress.
    pub calling: f64,
}

/// State of the downstream calls of this server.
pub struct DownstreamCalls {
    cores: f64,
    /// Learned limit on the number of concurrent calls to the downstream tier.
    limit: f64,
    /// Whether the last call that this server wanted to make was denied by the fleet's shared state.
    is_withheld: bool,
    call_time: DecayingMean,
    budget: Option<CallBudget>,
}

impl DownstreamCalls {
    /// Creates the state of the downstream calls. The initial limit on concurrent calls is the number of
    /// cores.
    pub fn new(deployment: &Deployment, now: Nanos) -> Self {
        Self {
            cores: deployment.cores,
            limit: deployment.cores,
            is_withheld: false,
            call_time: DecayingMean::new(TIMES_HALF_LIFE, now),
            budget: CallBudget::new(deployment.downstream),
        }
    }

    /// Takes into account that an earlier process of this server may have spent the call budget.
    pub fn expect_predecessor(&mut self) {
        if let Some(budget) = &mut self.budget {
            budget.spend_all();
        }
    }

    /// Refills the call budget, if there is one, for the time `elapsed` since the last refill.
    pub fn advance(&mut self, elapsed: Nanos) {
        if let Some(budget) = &mut self.budget {
            budget.advance(elapsed);
        }
    }

    /// Whether the limit on concurrent calls permits another call while `calling` calls are in progress.
    /// Calls to a shared dependency are always within the limit, because a budget of call time limits them
    /// instead.
    pub fn is_within_limit(&self, calling: f64) -> bool {
        self.budget.is_some() || calling + 1.0 <= self.limit
    }

    /// Stores whether the fleet's shared state denies downstream calls at present. While it denies them,
    /// downstream calls count as saturated if a run waits for its call.
    pub fn set_withheld(&mut self, is_withheld: bool) {
        self.is_withheld = is_withheld;
    }

    /// Returns the timeout of a call that is about to start. A call to a shared dependency also reserves call
    /// budget. Returns `None` if this budget is too low.
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

    /// Returns the unused part of `timeout` to the call budget, after the call or its run has ended.
    pub fn refund(&mut self, timeout: Nanos, duration: Nanos, outcome: Outcome) {
        if let Some(budget) = &mut self.budget {
            budget.refund(timeout, duration, outcome);
        }
    }

    /// Updates the usual duration of calls and the limit on concurrent calls after a call has ended. A
    /// success raises the limit only if the limit is reached. A success below the limit does not show that
    /// more calls are possible.
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

    /// Returns the delay before a rejected call is retried. `usual_elapsed_ns` is the usual time from start
    /// to end of the operation's runs.
    pub fn backoff(usual_elapsed_ns: f64) -> Nanos {
        (usual_elapsed_ns * BACKOFF_SHARE) as Nanos
    }

    /// Whether the calls in progress and the runs that wait for a call together exceed the limit on
    /// concurrent calls.
    fn is_at_limit(&self, open: OpenCalls) -> bool {
        open.awaiting + open.calling > self.limit
    }

    /// Whether runs must wait before they can make downstream calls. Downstream capacity is then scarcer than
    /// the cores.
    pub fn is_saturated(&self, open: OpenCalls) -> bool {
        (self.is_withheld && open.awaiting > 0.0) || self.is_at_limit(open)
    }

    /// Returns the delay of downstream calls that exceed the limit on concurrent calls, ns. The delay is the
    /// usual duration of a call multiplied by the relative excess over the limit. The excess counts calls in
    /// progress and runs that wait for a call.
    pub fn backlog(&self, open: OpenCalls) -> f64 {
        let excess = ((open.awaiting + open.calling) / self.limit - 1.0).max(0.0);
        excess * self.call_time.mean()
    }

    /// Returns the time at which the call budget will be large enough for the waiting call. Returns `None` if
    /// the budget is large enough now or if there is no budget.
    pub fn enough_budget_at(&self, now: Nanos) -> Option<Nanos> {
        self.budget.as_ref()?.enough_at(now)
    }
}
