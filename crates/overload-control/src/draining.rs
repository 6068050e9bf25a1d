//! Graceful shutdown: invocations that arrive before the drain grace ends are served, and every invocation
//! is answered before the process stops.

use crate::{Deployment, Nanos};

/// Time reserved between the last answers and the stop of the process, in multiples of the answer grace.
const ANSWER_GRACE_COUNT: u64 = 2;

/// Points in time that are derived from the drain notice.
#[derive(Clone, Copy, Debug)]
struct Notice {
    /// Invocations that reach the machine after this time are not run.
    serve_until: Nanos,
    /// Time at which the process stops.
    stop_at: Nanos,
}

/// State of the graceful shutdown.
pub struct Draining {
    notice: Option<Notice>,
    drain_grace: Nanos,
    answer_grace: Nanos,
    /// Number of servers of this tier, including this one.
    peers: f64,
}

impl Draining {
    /// Creates the state of a server that has not received a drain notice.
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

    /// Whether an invocation that reached the machine at time `reached` arrived after the drain grace and
    /// must not be run.
    pub fn is_too_late(&self, reached: Nanos) -> bool {
        self.notice.is_some_and(|notice| reached > notice.serve_until)
    }

    /// Returns the time by which the last answers must be sent; `Nanos::MAX` before the drain notice.
    pub fn last_answers(&self) -> Nanos {
        let lead = ANSWER_GRACE_COUNT * self.answer_grace;
        self.notice.map_or(Nanos::MAX, |notice| notice.stop_at.saturating_sub(lead))
    }

    /// Whether callers should continue to send invocations to this server. During the drain grace they
    /// should if the other servers of the tier, running at their target utilization, lack the spare
    /// capacity to take over this server's work.
    pub fn wants_arrivals(&self, now: Nanos, target_utilization: f64) -> bool {
        let is_needed = (self.peers - 1.0) * (1.0 - target_utilization) < 1.0;
        self.notice.is_none_or(|notice| is_needed && now < notice.serve_until)
    }
}
