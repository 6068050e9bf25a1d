//! Counters and tenant statistics for operators.

/// Counters of scheduling events since the scheduler was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SchedulerCounters {
    /// Arrivals within their tenant's share.
    pub within: u64,
    /// Arrivals beyond their tenant's share.
    pub surplus: u64,
    /// Arrivals whose tenant name was not yet established (too few visits, or too soon after the first).
    pub newcomers: u64,
    /// Arrivals whose tenant name was established but had no account, so that the sketch recorded their
    /// usage.
    pub sketched: u64,
    /// Accounts evicted to free a slot for another tenant.
    pub evicted: u64,
    /// Promises of admission issued to rejected arrivals.
    pub promised: u64,
    /// Retries admitted because they redeemed a promise.
    pub kept: u64,
    /// Retries that arrived in time but whose promise was not honoured, because virtual time had advanced
    /// much more slowly than predicted.
    pub broken: u64,
    /// Retries that presented their ticket before the promised time.
    pub early: u64,
    /// Retries with an invalid ticket: expired, already used, never issued, or issued to another tenant.
    pub unknown: u64,
    /// Promises (to admit the retry of a rejected arrival) that expired before a retry presented the ticket.
    pub lapsed: u64,
    /// Requests for a promise that were refused, because the wait would have been too long or too many
    /// promises were active.
    pub unpromised: u64,
}

/// Statistics of one of the tenants with the highest demand.
#[derive(Clone, Debug, PartialEq)]
pub struct TopTenant {
    /// Name of the tenant: non-ASCII and control bytes are escaped, and a long name is truncated.
    pub name: String,
    /// Weight of the tenant.
    pub weight: f64,
    /// Recent demand of the tenant, in cores.
    pub demand: f64,
    /// Time in seconds for which the tenant has used its share in advance: the distance of its finish ahead
    /// of virtual time, divided by the fair rate; 0 if its finish is in the past.
    pub ahead: f64,
    /// Number of arrivals within the tenant's share.
    pub within: u64,
    /// Number of arrivals beyond the tenant's share.
    pub surplus: u64,
}
