//! Graceful shutdown: invocations that arrive by the end of the drain grace are served, and every
//! invocation is answered before the process stops.

use crate::{Deployment, Nanos};

/// Number of answer graces between the last answers and the stop of the process.
const ANSWER_GRACE_COUNT: u64 = 2;

/// Times that follow from the drain notice.
#[derive(Clone, Copy, Debug)]
struct Notice {
    /// Invocations that reach the machine after this time are not run.
    serve_until: Nanos,
    /// Time at which the process stops.
    stop_at: Nanos,
}

/// State of the shutdown.
pub struct Draining {
    notice: Option<Notice>,
    drain_grace: Nanos,
    answer_grace: Nanos,
    /// Number of servers of this tier.
    peers: f64,
}

impl Draining {
    /// Creates the state of a server that is not draining.
    pub fn new(deployment: &Deployment) -> Self {
        Self {
            notice: None,
            drain_grace: deployment.drain_grace,
            answer_grace: deployment.answer_grace,
            peers: deployment.peers,
        }
    }

    /// Starts draining. The notice was received at `noticed_at`, and the process stops `grace` later.
    pub fn begin(&mut self, noticed_at: Nanos, grace: Nanos) {
        self.notice =
            Some(Notice { serve_until: noticed_at + self.drain_grace, stop_at: noticed_at + grace });
    }

    /// Whether the drain notice has been received.
    pub fn has_begun(&self) -> bool {
        self.notice.is_some()
    }

    /// Whether an invocation that reached the machine at time `reached` is too late to be run.
    pub fn is_too_late(&self, reached: Nanos) -> bool {
        self.notice.is_some_and(|notice| reached > notice.serve_until)
    }

    /// Returns the time by which the last answers have to be given.
    pub fn last_answers(&self) -> Nanos {
        let lead = ANSWER_GRACE_COUNT * self.answer_grace;
        self.notice.map_or(Nanos::MAX, |notice| notice.stop_at.saturating_sub(lead))
    }

    /// Whether callers should continue to send invocations. A draining server accepts them during the drain
    /// grace if the other servers, running at their target utilization, lack the spare capacity for its
    /// work.
    pub fn wants_arrivals(&self, now: Nanos, target_utilization: f64) -> bool {
        let is_needed = (self.peers - 1.0) * (1.0 - target_utilization) < 1.0;
        self.notice.is_none_or(|notice| is_needed && now < notice.serve_until)
    }
}
