//! Order in which start-time fair queueing serves arrivals: each arrival has a start tag, and lower tags are
//! served first.
//!
//! Each tenant has two queues: one for arrivals within its share, and one for surplus arrivals (beyond the
//! share). Surplus arrivals are served after all arrivals within the shares of other tenants. Tenants are
//! compared by their surplus work so far, divided by their weights. Surplus arrivals of the tenant with the
//! lowest quotient are served first.

/// Two start tags: one for arrivals within their tenant's share and one for surplus arrivals (beyond the
/// share). Both are in nanoseconds of one core per unit of weight.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PerQueue {
    /// Start tag for arrivals within their tenant's share, in nanoseconds of one core per unit of weight.
    pub within: f64,
    /// Start tag for surplus arrivals, which are beyond their tenant's share, in nanoseconds of one core per
    /// unit of weight.
    pub surplus: f64,
}

impl PerQueue {
    /// Returns the start tag for surplus arrivals if `surplus` is true. Otherwise returns the start tag for
    /// arrivals within their tenant's share.
    pub fn get(&self, surplus: bool) -> f64 {
        if surplus { self.surplus } else { self.within }
    }

    /// Returns a mutable reference to the start tag that [`PerQueue::get`] returns.
    pub fn get_mut(&mut self, surplus: bool) -> &mut f64 {
        if surplus { &mut self.surplus } else { &mut self.within }
    }
}

/// Start tags that a tenant's next arrivals will get, one for each of the tenant's two queues. The unit is
/// nanoseconds of one core per unit of weight.
pub type QueueTails = PerQueue;

/// Highest start tags served so far, over all tenants. There is one value for arrivals within their tenant's
/// share and one for surplus arrivals (beyond the share).
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceClock {
    tags: PerQueue,
}

impl ServiceClock {
    /// Returns the highest start tag served so far, over all tenants. If `surplus` is true, this is the tag
    /// for surplus arrivals, otherwise the tag for arrivals within their tenant's share.
    pub fn tag(&self, surplus: bool) -> f64 {
        self.tags.get(surplus)
    }

    /// Records the start tag of an arrival that begins to be served. A tag that is not above the highest tag
    /// served so far has no effect.
    pub fn advance(&mut self, surplus: bool, start_tag: u64) {
        let tag = self.tags.get_mut(surplus);
        *tag = tag.max(start_tag as f64);
    }
}
