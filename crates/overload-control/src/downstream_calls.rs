//! Downstream calls: how many go on at once, their timeouts, retries and backoff.

use crate::call_budget::{CallBudget, Request};
use crate::decaying_mean::DecayingMean;
use crate::operation_times::TIMES_HALF_LIFE;
use crate::{Deployment, Nanos, Outcome};

/// As many calls as the limit permits, succeeding while it binds, raise it by this share of the core count.
/// Each rejected call cuts it to the ratio below.
const LIMIT_GROWTH: f64 = 0.1;
const LIMIT_CUT_RATIO: f64 = 0.93;
/// Base timeout of a call that may be repeated, in usual call times. The first attempt has twice the base,
/// and each further attempt twice the timeout of the one before.
const BASE_TIMEOUT_RATIO: f64 = 2.0;
/// Attempts after which the timeout doubles no more.
const DOUBLINGS_MAX: u32 = 8;
/// Backoff after a rejected call, as a share of the usual time of a run.
const BACKOFF_SHARE: f64 = 0.25;

/// A call that is about to be made.
pub struct Attempt {
    /// Attempts before this one.
    pub attempts: u32,
    /// Until when its result is of use, from now.
    pub time_left: Nanos,
    /// Cost of the run as a ratio to the usual one.
    pub cost_ratio: f64,
    /// The call may be repeated.
    pub is_idempotent: bool,
    /// The run is of the highest rank.
    pub is_top_rank: bool,
}

/// Runs that stand at calls.
#[derive(Clone, Copy)]
pub struct OpenCalls {
    /// Runs that wait to make their call.
    pub awaiting: f64,
    /// Calls that are under way.
    pub calling: f64,
}

/// State of the calls of this server.
pub struct DownstreamCalls {
    cores: f64,
    /// Learned number of calls that the downstream tier takes at once.
    limit: f64,
    /// The fleet's shared state permits no call now.
    is_withheld: bool,
    call_time: DecayingMean,
    budget: Option<CallBudget>,
}

impl DownstreamCalls {
    /// The limit on calls starts at the core count.
    pub fn new(deployment: &Deployment, now: Nanos) -> Self {
        Self {
            cores: deployment.cores,
            limit: deployment.cores,
            is_withheld: false,
            call_time: DecayingMean::new(TIMES_HALF_LIFE, now),
            budget: CallBudget::new(deployment.downstream),
        }
    }

    /// Time has passed.
    pub fn advance(&mut self, elapsed: Nanos) {
        if let Some(budget) = &mut self.budget {
            budget.advance(elapsed);
        }
    }

    /// Whether the limit permits one more call. A shared dependency has a budget of call time instead.
    pub fn is_within_limit(&self, calling: f64) -> bool {
        self.budget.is_some() || calling + 1.0 <= self.limit
    }

    /// Notes whether the fleet's shared state permits a call.
    pub fn set_withheld(&mut self, is_withheld: bool) {
        self.is_withheld = is_withheld;
    }

    /// The timeout of a call; `None` where the budget of a shared dependency has not enough for it.
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

    /// A call with this timeout has ended, or the run ended under it.
    pub fn refund(&mut self, timeout: Nanos, took: Nanos, outcome: Outcome) {
        if let Some(budget) = &mut self.budget {
            budget.refund(timeout, took, outcome);
        }
    }

    /// Learns from an ended call. The limit grows only where it binds: only then does a success say that it
    /// is too low.
    pub fn observe(&mut self, now: Nanos, outcome: Outcome, took: Nanos, open: OpenCalls) {
        match outcome {
            Outcome::Succeeded => {
                self.call_time.add(now, took as f64);
                self.limit += LIMIT_GROWTH * self.cores / self.limit * f64::from(self.is_at_limit(open));
            }
            Outcome::Unknown => self.call_time.add(now, took as f64),
            Outcome::NeverRan => self.limit = (self.limit * LIMIT_CUT_RATIO).max(1.0),
            Outcome::Failed | Outcome::Cancelled => {}
        }
    }

    /// How long to wait after a rejected call, for an operation whose runs usually take this long, ns.
    pub fn backoff(usual_elapsed_ns: f64) -> Nanos {
        (usual_elapsed_ns * BACKOFF_SHARE) as Nanos
    }

    /// The learned limit binds.
    fn is_at_limit(&self, open: OpenCalls) -> bool {
        open.awaiting + open.calling > self.limit
    }

    /// Downstream is the scarcer resource now: runs stand at calls that may not be made yet.
    pub fn is_saturated(&self, open: OpenCalls) -> bool {
        (self.is_withheld && open.awaiting > 0.0) || self.is_at_limit(open)
    }

    /// Call time that waits beyond the limit, ns.
    pub fn backlog(&self, open: OpenCalls) -> f64 {
        let excess = ((open.awaiting + open.calling) / self.limit - 1.0).max(0.0);
        excess * self.call_time.mean()
    }

    /// When the budget has enough for the call that waits.
    pub fn enough_budget_at(&self, now: Nanos) -> Option<Nanos> {
        self.budget.as_ref()?.enough_at(now)
    }
}
