//! Graceful shutdown of the server. Invocations that arrive before the end of the drain grace are served.
//! Every invocation is answered before the process stops.

use crate::{Deployment, Nanos};

/// Time between the last answers and the stop of the process, in multiples of the answer grace. The answer
/// grace is the time reserved for an answer to reach its caller.
const ANSWER_GRACE_COUNT: u64 = 2;

/// Times that are computed when the server receives the drain notice.
#[derive(Clone, Copy, Debug)]
struct Notice {
    /// End of the drain grace. Invocations that reach the machine later are not run.
    serve_until: Nanos,
    /// Time at which the process stops.
    stop_at: Nanos,
}

/// State of the graceful shutdown.
pub struct Draining {
    notice: Option<Notice>,
    drain_grace: Nanos,
    answer_grace: Nanos,
    /// Number of servers of this server's tier, including this server.
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

    /// Starts draining. The server received the drain notice at `noticed_at`, and the process stops `grace`
    /// later.
    pub fn begin(&mut self, noticed_at: Nanos, grace: Nanos) {
        self.notice =
            Some(Notice { serve_until: noticed_at + self.drain_grace, stop_at: noticed_at + grace });
    }

    /// Whether the server has received the drain notice.
    pub fn has_begun(&self) -> bool {
        self.notice.is_some()
    }

    /// Whether an invocation reached the machine after the drain grace and must not be run. `reached` is the
    /// time at which the invocation reached the machine.
    pub fn is_too_late(&self, reached: Nanos) -> bool {
        self.notice.is_some_and(|notice| reached > notice.serve_until)
    }

    /// Returns the time by which a draining server must have sent its last answers. Returns `Nanos::MAX` if
    /// the server is not draining.
    pub fn last_answers(&self) -> Nanos {
        let lead = ANSWER_GRACE_COUNT * self.answer_grace;
        self.notice.map_or(Nanos::MAX, |notice| notice.stop_at.saturating_sub(lead))
    }

    /// Whether callers should continue to send invocations to this server. Always true before the drain
    /// notice, and false after the drain grace. During the drain grace, callers should continue only if the
    /// other servers of the tier lack spare capacity for this server's work. The spare capacity is calculated
    /// at the target utilization.
    pub fn wants_arrivals(&self, now: Nanos, target_utilization: f64) -> bool {
        let is_needed = (self.peers - 1.0) * (1.0 - target_utilization) < 1.0;
        self.notice.is_none_or(|notice| is_needed && now < notice.serve_until)
    }
}
