//! Order of start-time fair queueing: each arrival has a start tag, and lower tags are served first.
//!
//! Each tenant has two queues: one for arrivals within its share, and one for arrivals beyond it (surplus).
//! Surplus arrivals are served after all arrivals within the shares of other tenants. Among surplus arrivals,
//! those of the tenant with the least surplus work so far, divided by its weight, are served first.

/// One value for each of a tenant's two queues.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PerQueue {
    /// Value for the queue of arrivals within the tenant's share.
    pub within: f64,
    /// Value for the queue of arrivals beyond the tenant's share.
    pub surplus: f64,
}

impl PerQueue {
    /// Returns the value for the surplus queue if `surplus` is true, otherwise the value for the queue of
    /// arrivals within the share.
    pub fn get(&self, surplus: bool) -> f64 {
        if surplus { self.surplus } else { self.within }
    }

    /// Mutable variant of [`PerQueue::get`].
    pub fn get_mut(&mut self, surplus: bool) -> &mut f64 {
        if surplus { &mut self.surplus } else { &mut self.within }
    }
}

/// Start tags that the next arrivals in a tenant's two queues will get, in nanoseconds of one core per unit
/// of weight.
pub type QueueTails = PerQueue;

/// Highest start tag served so far among the arrivals of all tenants, separately for arrivals within their
/// tenants' shares and for surplus arrivals.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceClock {
    tags: PerQueue,
}

impl ServiceClock {
    /// Returns the highest start tag served so far: of surplus arrivals if `surplus` is true, otherwise of
    /// arrivals within their tenants' shares.
    pub fn tag(&self, surplus: bool) -> f64 {
        self.tags.get(surplus)
    }

    /// Records that an arrival with `start_tag` begins to be served. A tag below the highest one served so
    /// far has no effect.
    pub fn advance(&mut self, surplus: bool, start_tag: u64) {
        let tag = self.tags.get_mut(surplus);
        *tag = tag.max(start_tag as f64);
    }
}
