//! Order of start-time fair queueing: each arrival has a start tag, and lower tags are served first.
//!
//! Arrivals within their tenant's share and those beyond it have queues of their own: a tenant's surplus
//! waits for the arrivals of others, and among surplus those go first whose tenant has borrowed less.

/// A value for each of the two queues.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PerQueue {
    /// Of the queue of arrivals within their tenant's share.
    pub within: f64,
    /// Of the queue of arrivals beyond it.
    pub surplus: f64,
}

impl PerQueue {
    /// The value of one of them.
    pub fn get(&self, surplus: bool) -> f64 {
        if surplus { self.surplus } else { self.within }
    }

    /// The value of one of them, to change.
    pub fn get_mut(&mut self, surplus: bool) -> &mut f64 {
        if surplus { &mut self.surplus } else { &mut self.within }
    }
}

/// Start tags after which a tenant's next arrivals come, in nanoseconds of one core for a unit of weight.
pub type QueueTails = PerQueue;

/// Start tags of the latest arrivals that came to be served.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceClock {
    tags: PerQueue,
}

impl ServiceClock {
    /// The tag that the queue has come to.
    pub fn tag(&self, surplus: bool) -> f64 {
        self.tags.get(surplus)
    }

    /// An arrival with this start tag is served; the clock does not go back.
    pub fn advance(&mut self, surplus: bool, start_tag: u64) {
        let tag = self.tags.get_mut(surplus);
        *tag = tag.max(start_tag as f64);
    }
}
