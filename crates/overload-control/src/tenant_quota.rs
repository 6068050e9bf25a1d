//! Tenant quotas. Each tenant that is listed in the settings has a token bucket. The fleet-wide quota of the
//! tenant is divided among the servers, and the bucket refills at the rate of this server's part. Tenants
//! that are not listed are limited by fair queueing.

use crate::invocations::Invocation;
use crate::{Arrival, Deployment, Nanos};
use meadowstream_fair_queueing::{Admission as FairAdmission, FairScheduler, ServiceOutcome, TenantKey};

/// Capacity of a tenant's token bucket, as the time in seconds in which an empty bucket refills.
const BURST_SECONDS: f64 = 15.0;
/// Maximum work ahead of virtual time that fair queueing admits for a tenant of weight 1. The maximum is a
/// share of the work that the server can do within the shortest latency objective. Without this maximum, an
/// arrival could be admitted and later rejected because its deadline is too close.
const IN_SERVER_SHARE: f64 = 0.25;

/// Token bucket of one tenant. Each invocation of the tenant takes one token.
struct TokenBucket {
    /// Number of tokens added to the bucket per second.
    rate: f64,
    tokens: f64,
    updated: Nanos,
}

impl TokenBucket {
    /// Takes a token for an invocation. Returns false, and takes nothing, if the bucket contains less than
    /// one token.
    fn take(&mut self, now: Nanos) -> bool {
        let seconds = (now - self.updated) as f64 / 1e9;
        self.tokens = (self.tokens + self.rate * seconds).min((self.rate * BURST_SECONDS).max(1.0));
        self.updated = now;
        let has_token = self.tokens >= 1.0;
        self.tokens -= f64::from(has_token);
        has_token
    }
}

/// Advice on retrying, which the server sends to the caller with a rejection.
#[derive(Clone, Copy, Debug)]
pub struct RetryAdvice {
    /// Delay after which the caller should retry.
    pub retry_after: Nanos,
    /// Ticket with which the server promises to admit the retry; `None` if the server made no promise.
    pub ticket: Option<u64>,
}

/// Result of checking an arrival against the quota of its tenant.
pub struct QuotaDecision {
    /// Decision of the fair queueing scheduler on the arrival; `None` without fair queueing.
    pub fair_admission: Option<FairAdmission>,
    /// Whether the arrival exceeds the quota of its tenant.
    pub is_over_quota: bool,
}

/// Quotas of all tenants.
pub struct TenantQuotas {
    buckets: Vec<TokenBucket>,
    fair: Option<FairScheduler>,
}

impl TenantQuotas {
    /// Creates the quotas. Each token bucket initially contains the tokens of one second.
    pub fn new(deployment: &Deployment, seed: u64, now: Nanos) -> Self {
        let bucket = |allowance: &f64| {
            let rate = allowance / deployment.peers;
            TokenBucket { rate, tokens: rate, updated: now }
        };
        let fair = deployment.fair_queueing.clone().map(|mut settings| {
            settings.promise_max = deployment.retry_after_max;
            FairScheduler::new(settings, deployment.cores * deployment.target_utilization, seed, now)
        });
        Self { buckets: deployment.tenant_allowance.iter().map(bucket).collect(), fair }
    }

    /// Checks an arrival against the quota of its tenant. `work` is the core time that the invocation is
    /// expected to take, ns.
    pub fn on_arrival(&mut self, now: Nanos, arrival: &Arrival, work: f64) -> QuotaDecision {
        let has_token = match self.buckets.get_mut(arrival.tenant) {
            Some(bucket) => bucket.take(now),
            None => true,
        };
        let Some((fair, sender)) = self.fair.as_mut().zip(arrival.sender.as_ref()) else {
            return QuotaDecision { fair_admission: None, is_over_quota: !has_token };
        };
        let tenant = TenantKey { name: &sender.tenant, origin: sender.origin };
        let admission = fair.arrive(now, tenant, work, sender.ticket);
        QuotaDecision { fair_admission: Some(admission), is_over_quota: admission.surplus }
    }

    /// Notifies the fair queueing scheduler that the run of an invocation has started.
    pub fn on_run_started(&mut self, invocation: &Invocation) {
        if let (Some(fair), Some(admission)) = (&mut self.fair, &invocation.fair_admission) {
            fair.start_service(admission);
        }
    }

    /// Notifies the fair queueing scheduler that an invocation has left the server.
    pub fn on_end(&mut self, now: Nanos, invocation: &Invocation) {
        if let (Some(fair), Some(admission)) = (&mut self.fair, &invocation.fair_admission) {
            let outcome = if invocation.has_run {
                ServiceOutcome::Ran(invocation.core_time)
            } else {
                ServiceOutcome::NeverRan
            };
            fair.end_service(now, admission, outcome);
        }
    }

    /// Notifies the fair queueing scheduler of the end of an invocation that never ran, and returns retry
    /// advice for the caller. The advice is a delay and, if possible, the ticket of a promise of admission.
    /// The promise takes effect after `promise_after`, or later if the tenant's quota becomes available only
    /// later. Without fair queueing, or if the invocation has run, returns `None` and changes nothing.
    pub fn end_with_promise(
        &mut self,
        now: Nanos,
        invocation: &mut Invocation,
        promise_after: Nanos,
    ) -> Option<RetryAdvice> {
        let fair = self.fair.as_mut()?;
        let admission = invocation.fair_admission.take_if(|_| !invocation.has_run)?;
        fair.end_service(now, &admission, ServiceOutcome::NeverRan);
        let advice = fair.promise(now, &admission, promise_after);
        Some(RetryAdvice { retry_after: advice.retry_after, ticket: advice.ticket })
    }

    /// Sets the capacity that fair queueing divides among tenants, in cores.
    pub fn set_capacity(&mut self, now: Nanos, capacity: f64, shortest_objective: Nanos) {
        if let Some(fair) = &mut self.fair {
            fair.update_fair_rate(now, capacity, capacity * shortest_objective as f64 * IN_SERVER_SHARE);
        }
    }

    /// Returns the fair queueing scheduler; `None` if fair queueing is off.
    pub fn fair_queue(&mut self) -> Option<&mut FairScheduler> {
        self.fair.as_mut()
    }
}
