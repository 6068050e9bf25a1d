//! Graceful shutdown: what has arrived by the end of the drain grace is served, and everything is answered
//! before the process stops.

use crate::{Deployment, Nanos};

/// How many answer graces before the stop the last answers are given.
const ANSWER_GRACE_COUNT: u64 = 2;

/// The notice to drain.
#[derive(Clone, Copy, Debug)]
struct Notice {
    /// What reaches the machine later is not run.
    serve_until: Nanos,
    stop_at: Nanos,
}

/// State of the shutdown.
pub struct Draining {
    notice: Option<Notice>,
    drain_grace: Nanos,
    answer_grace: Nanos,
    /// Servers of this tier.
    peers: f64,
}

impl Draining {
    /// A server that serves.
    pub fn new(deployment: &Deployment) -> Self {
        Self {
            notice: None,
            drain_grace: deployment.drain_grace,
            answer_grace: deployment.answer_grace,
            peers: deployment.peers,
        }
    }

    /// The notice came at `noticed_at`; the process stops `grace` after it.
    pub fn begin(&mut self, noticed_at: Nanos, grace: Nanos) {
        self.notice =
            Some(Notice { serve_until: noticed_at + self.drain_grace, stop_at: noticed_at + grace });
    }

    /// Whether the notice has come.
    pub fn has_begun(&self) -> bool {
        self.notice.is_some()
    }

    /// Whether an invocation that reached the machine at this time came too late to be run.
    pub fn is_too_late(&self, reached: Nanos) -> bool {
        self.notice.is_some_and(|notice| reached > notice.serve_until)
    }

    /// When the last answers have to be given.
    pub fn last_answers(&self) -> Nanos {
        let lead = ANSWER_GRACE_COUNT * self.answer_grace;
        self.notice.map_or(Nanos::MAX, |notice| notice.stop_at.saturating_sub(lead))
    }

    /// Whether callers should still send. A draining server goes on for its grace where the capacity that the
    /// others leave free at their target utilization would not carry its work.
    pub fn wants_arrivals(&self, now: Nanos, target_utilization: f64) -> bool {
        let is_needed = (self.peers - 1.0) * (1.0 - target_utilization) < 1.0;
        self.notice.is_none_or(|notice| is_needed && now < notice.serve_until)
    }
}
