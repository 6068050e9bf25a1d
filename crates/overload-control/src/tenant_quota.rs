//! Tenant quotas. A tenant listed in the settings has a token bucket, filled at this server's part of the
//! fleet's allowance. Tenants that are not listed are subject to fair queueing.

use crate::invocations::Invocation;
use crate::{Arrival, Deployment, Nanos};
use meadowstream_fair_queueing::{Admission as FairAdmission, FairScheduler, ServiceOutcome, TenantKey};

/// Maximum burst of a tenant, in seconds of its allowance.
const BURST_SECONDS: f64 = 15.0;
/// Maximum work in the server of a tenant within its quota, as a share of the work that the server does
/// within the shortest latency objective.
const IN_SERVER_SHARE: f64 = 0.25;

/// A token bucket; each invocation takes one token.
struct TokenBucket {
    /// Tokens per second.
    rate: f64,
    tokens: f64,
    updated: Nanos,
}

impl TokenBucket {
    /// Takes a token; returns false if none is left.
    fn take(&mut self, now: Nanos) -> bool {
        let seconds = (now - self.updated) as f64 / 1e9;
        self.tokens = (self.tokens + self.rate * seconds).min((self.rate * BURST_SECONDS).max(1.0));
        self.updated = now;
        let has_token = self.tokens >= 1.0;
        self.tokens -= f64::from(has_token);
        has_token
    }
}

/// Retry advice sent to the caller with a rejection.
#[derive(Clone, Copy, Debug)]
pub struct RetryAdvice {
    /// Time after which the caller should retry.
    pub retry_after: Nanos,
    /// Ticket of a promise of admission at that time.
    pub ticket: Option<u64>,
}

/// Result of checking an arrival against the quota of its tenant.
pub struct QuotaDecision {
    /// Admission by the fair queueing scheduler; `None` without fair queueing.
    pub fair_admission: Option<FairAdmission>,
    /// Whether the tenant has used up its quota.
    pub is_over_quota: bool,
}

/// Quotas of all tenants.
pub struct TenantQuotas {
    buckets: Vec<TokenBucket>,
    fair: Option<FairScheduler>,
}

impl TenantQuotas {
    /// Creates the quotas; each bucket starts with one second of the tenant's allowance at this server.
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

    /// Checks an arrival that is expected to take `work` ns of core time.
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

    /// Informs fair queueing that the run of an invocation has started.
    pub fn on_run_started(&mut self, invocation: &Invocation) {
        if let (Some(fair), Some(admission)) = (&mut self.fair, &invocation.fair_admission) {
            fair.start_service(admission);
        }
    }

    /// Informs fair queueing that an invocation has left the server.
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

    /// Ends an invocation that never ran and returns the time, `promise_after` from now at the earliest, at
    /// which its tenant's quota has capacity again. The advice includes a promise of admission if one can
    /// be made. Does nothing and returns `None` without fair queueing, or if the invocation has run.
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

    /// Updates the capacity of the server for fair queueing, in cores.
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
