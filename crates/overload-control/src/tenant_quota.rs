//! Quotas of tenants: by the fleet's allowance where tenants are listed in the settings, by fair queueing
//! where they become known as they come.

use crate::invocations::Invocation;
use crate::{Arrival, Deployment, Nanos};
use meadowstream_fair_queueing::{Admission as FairAdmission, FairScheduler, ServiceOutcome, TenantKey};

/// Seconds of its allowance that a tenant may send at once.
const BURST_SECONDS: f64 = 15.0;
/// Work of a tenant within its quota that may be in the server, as a share of what is done in the shortest
/// latency objective.
const IN_SERVER_SHARE: f64 = 0.25;

/// A token bucket: one token for each invocation.
struct TokenBucket {
    /// Tokens a second.
    rate: f64,
    tokens: f64,
    updated: Nanos,
}

impl TokenBucket {
    /// Takes a token; false where there is none.
    fn take(&mut self, now: Nanos) -> bool {
        let seconds = (now - self.updated) as f64 / 1e9;
        self.tokens = (self.tokens + self.rate * seconds).min((self.rate * BURST_SECONDS).max(1.0));
        self.updated = now;
        let has_token = self.tokens >= 1.0;
        self.tokens -= f64::from(has_token);
        has_token
    }
}

/// What a tenant is told with a rejection.
#[derive(Clone, Copy, Debug)]
pub struct RetryAdvice {
    /// Time until the caller is to return.
    pub retry_after: Nanos,
    /// The ticket of a promise of admission at that time.
    pub ticket: Option<u64>,
}

/// Where an arrival stands among tenants.
pub struct Standing {
    /// How fair queueing admitted it, where tenants are told apart as they come.
    pub fair_admission: Option<FairAdmission>,
    /// Its tenant has used up its quota.
    pub is_over_quota: bool,
}

/// Quotas of all tenants.
pub struct TenantQuotas {
    buckets: Vec<TokenBucket>,
    fair: Option<FairScheduler>,
}

impl TenantQuotas {
    /// All quotas are unused.
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

    /// An invocation has come that will take this much core time, ns.
    pub fn on_arrival(&mut self, now: Nanos, arrival: &Arrival, work: f64) -> Standing {
        let has_token = match self.buckets.get_mut(arrival.tenant) {
            Some(bucket) => bucket.take(now),
            None => true,
        };
        let Some((fair, sender)) = self.fair.as_mut().zip(arrival.sender.as_ref()) else {
            return Standing { fair_admission: None, is_over_quota: !has_token };
        };
        let tenant = TenantKey { name: &sender.tenant, origin: sender.origin };
        let admission = fair.arrive(now, tenant, work, sender.ticket);
        Standing { fair_admission: Some(admission), is_over_quota: admission.surplus }
    }

    /// The run of an invocation starts.
    pub fn on_run_started(&mut self, invocation: &Invocation) {
        if let (Some(fair), Some(admission)) = (&mut self.fair, &invocation.fair_admission) {
            fair.start_service(admission);
        }
    }

    /// An invocation leaves the server.
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

    /// Ends an invocation that never ran and advises its tenant when its quota has capacity again, after
    /// `least` at the earliest, with a promise of admission where one can be made. `None`, and nothing is
    /// done, where there is no fair queueing or the invocation has run.
    pub fn end_with_promise(
        &mut self,
        now: Nanos,
        invocation: &mut Invocation,
        least: Nanos,
    ) -> Option<RetryAdvice> {
        let fair = self.fair.as_mut()?;
        let admission = invocation.fair_admission.take_if(|_| !invocation.has_run)?;
        fair.end_service(now, &admission, ServiceOutcome::NeverRan);
        let advice = fair.promise(now, &admission, least);
        Some(RetryAdvice { retry_after: advice.retry_after, ticket: advice.ticket })
    }

    /// Follows the capacity, in cores.
    pub fn set_capacity(&mut self, now: Nanos, capacity: f64, shortest_objective: Nanos) {
        if let Some(fair) = &mut self.fair {
            fair.update_fair_rate(now, capacity, capacity * shortest_objective as f64 * IN_SERVER_SHARE);
        }
    }

    /// The fair queue, where tenants are told apart as they come.
    pub fn fair_queue(&mut self) -> Option<&mut FairScheduler> {
        self.fair.as_mut()
    }
}
