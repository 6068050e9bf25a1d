//! Counters of scheduling events, and statistics of tenants, for operators.

/// Counters of scheduling events. Each counter starts at 0 when the scheduler is created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SchedulerCounters {
    /// Number of arrivals that were within their tenant's share.
    pub within: u64,
    /// Number of arrivals that were beyond their tenant's share.
    pub surplus: u64,
    /// Number of arrivals whose tenant name was still new to this server. A name is new until enough arrivals
    /// have had the name and enough time has passed since the first arrival.
    pub newcomers: u64,
    /// Number of arrivals whose usage was recorded in the sketch (an approximate record in fixed memory). The
    /// sketch is used for an established tenant if no account is available.
    pub sketched: u64,
    /// Number of accounts evicted so that another tenant could get an account.
    pub evicted: u64,
    /// Number of rejected arrivals that got a promise. A promise is a ticket with which a retry will be
    /// admitted.
    pub promised: u64,
    /// Number of retries that were admitted because they presented the ticket of a promise.
    pub kept: u64,
    /// Number of promises that the scheduler did not honour although the retry arrived in time. Virtual time
    /// had advanced much more slowly than predicted, so the tenant's share had no capacity for the retry yet.
    pub broken: u64,
    /// Number of retries that presented the ticket of a promise before the promised time. Such a retry voids
    /// the promise and is treated like an arrival without a ticket.
    pub early: u64,
    /// Number of retries with an invalid ticket. Such a ticket has expired, was already used, was never
    /// issued, or was issued to another tenant.
    pub unknown: u64,
    /// Number of promises that expired because no retry presented the promise's ticket.
    pub lapsed: u64,
    /// Number of requests for a promise that were refused. Either the wait would have been too long, or too
    /// many promises were active.
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
    /// Time by which the tenant has used its share in advance, in seconds. The value is 0 if the tenant has
    /// used no share in advance. It is computed from the tenant's finish, the virtual time up to which the
    /// tenant has used its share: the distance from the current virtual time to the finish, divided by the
    /// fair rate.
    pub ahead: f64,
    /// Number of the tenant's arrivals within its share since its account was created.
    pub within: u64,
    /// Number of the tenant's arrivals beyond its share since its account was created.
    pub surplus: u64,
}
