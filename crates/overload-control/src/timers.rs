//! The controller's two timers.

use crate::{Host, Nanos};

/// Id of the timer that expires once per control period. The host reports the gauges when this timer expires.
pub const CONTROL_TIMER: u32 = 0;
/// Id of the deadline timer. The timer expires at the next deadline, at the end of a backoff, or when the
/// call budget suffices for a waiting call.
const DEADLINE_TIMER: u32 = 1;

/// State of the deadline timer. The control timer needs no state, because it expires at regular intervals.
pub struct Timers {
    deadline_at: Nanos,
}

impl Timers {
    /// Creates the state of a deadline timer that is not set.
    pub fn new() -> Self {
        Self { deadline_at: Nanos::MAX }
    }

    /// Marks the deadline timer as not set if its time has been reached.
    pub fn on_timer(&mut self, now: Nanos) {
        if now >= self.deadline_at {
            self.deadline_at = Nanos::MAX;
        }
    }

    /// Sets the deadline timer to the time `at`. Does nothing if the timer is already set to `at` or to an
    /// earlier time. Returns whether the timer was set.
    pub fn set_deadline(&mut self, now: Nanos, at: Nanos, host: &mut dyn Host) -> bool {
        let is_earlier = at < self.deadline_at;
        if is_earlier {
            self.deadline_at = at;
            host.set_timer(at.saturating_sub(now).max(1), DEADLINE_TIMER);
        }
        is_earlier
    }
}
