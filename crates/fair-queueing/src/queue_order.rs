//! Order of start-time fair queueing: each arrival has a start tag, and lower tags are served first.
//!
//! Each tenant has two queues, one for arrivals within its share and one for its surplus. Surplus arrivals
//! wait until other tenants' arrivals within their shares are served. Among surplus arrivals, those of the
//! tenant that has borrowed least are served first.

/// One value for each of a tenant's two queues.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PerQueue {
    /// Value for the queue of arrivals within the tenant's share.
    pub within: f64,
    /// Value for the queue of arrivals beyond the tenant's share.
    pub surplus: f64,
}

impl PerQueue {
    /// Returns the value for the surplus queue, or for the other queue if `surplus` is false.
    pub fn get(&self, surplus: bool) -> f64 {
        if surplus { self.surplus } else { self.within }
    }

    /// Mutable variant of [`PerQueue::get`].
    pub fn get_mut(&mut self, surplus: bool) -> &mut f64 {
        if surplus { &mut self.surplus } else { &mut self.within }
    }
}

/// Start tags for the next arrivals in a tenant's queues, in nanoseconds of one core per unit of weight.
pub type QueueTails = PerQueue;

/// Highest start tags served so far, one for each queue.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceClock {
    tags: PerQueue,
}

impl ServiceClock {
    /// Returns the highest start tag served so far from one of the queues.
    pub fn tag(&self, surplus: bool) -> f64 {
        self.tags.get(surplus)
    }

    /// Records that an arrival with this start tag is served. The clock never goes back.
    pub fn advance(&mut self, surplus: bool, start_tag: u64) {
        let tag = self.tags.get_mut(surplus);
        *tag = tag.max(start_tag as f64);
    }
}
