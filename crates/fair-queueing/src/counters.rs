//! What operators see of fair queueing.

/// Events since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SchedulerCounters {
    /// Arrivals within their tenant's share.
    pub within: u64,
    /// Arrivals beyond it.
    pub surplus: u64,
    /// Arrivals whose name was not known yet.
    pub newcomers: u64,
    /// Arrivals of known names without an account.
    pub sketched: u64,
    /// Accounts given to another tenant.
    pub evicted: u64,
    /// Promises made.
    pub promised: u64,
    /// Returns admitted as promised.
    pub kept: u64,
    /// Returns in time whose promise did not hold, since the server was far worse off than foreseen.
    pub broken: u64,
    /// Returns before the promised time.
    pub early: u64,
    /// Returns with a ticket that does not stand: too late, used before, never given, or another tenant's.
    pub unknown: u64,
    /// Promises for which nobody returned in time.
    pub lapsed: u64,
    /// Rejections without a promise: its time would have been too long, or too many promises stood.
    pub unpromised: u64,
}

/// One of the tenants with most demand.
#[derive(Clone, Debug, PartialEq)]
pub struct TopTenant {
    /// Its name as text, cut and escaped.
    pub name: String,
    /// Its weight.
    pub weight: f64,
    /// Its recent demand, in cores.
    pub demand: f64,
    /// How far its finish is ahead, in seconds of its share.
    pub ahead: f64,
    /// Its arrivals within its share.
    pub within: u64,
    /// Its arrivals beyond it.
    pub surplus: u64,
}
