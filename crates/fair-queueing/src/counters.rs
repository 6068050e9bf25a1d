//! Counters and tenant statistics for operators.

/// Counters of scheduling events since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SchedulerCounters {
    /// Arrivals within their tenant's share.
    pub within: u64,
    /// Arrivals beyond their tenant's share.
    pub surplus: u64,
    /// Arrivals with a name that was not yet established.
    pub newcomers: u64,
    /// Arrivals with an established name but without an account.
    pub sketched: u64,
    /// Accounts evicted to make space for another tenant.
    pub evicted: u64,
    /// Promises made.
    pub promised: u64,
    /// Returns admitted because of a promise.
    pub kept: u64,
    /// Returns in time whose promise was not honoured because virtual time advanced much more slowly than
    /// predicted.
    pub broken: u64,
    /// Returns before the promised time.
    pub early: u64,
    /// Returns with an invalid ticket: expired, already used, never issued, or issued to another tenant.
    pub unknown: u64,
    /// Promises that expired without a return.
    pub lapsed: u64,
    /// Rejections without a promise, because the wait would have been too long or too many promises were
    /// active.
    pub unpromised: u64,
}

/// Statistics of one of the tenants with the highest demand.
#[derive(Clone, Debug, PartialEq)]
pub struct TopTenant {
    /// Name of the tenant as text, escaped and truncated.
    pub name: String,
    /// Weight of the tenant.
    pub weight: f64,
    /// Recent demand of the tenant, in cores.
    pub demand: f64,
    /// How far the tenant's finish is ahead of virtual time, in seconds of its share.
    pub ahead: f64,
    /// Number of arrivals within the tenant's share.
    pub within: u64,
    /// Number of arrivals beyond the tenant's share.
    pub surplus: u64,
}
