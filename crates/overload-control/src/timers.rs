//! The controller's two timers.

use crate::{Host, Nanos};

/// Timer that expires once per control period; gauges are reported with it.
pub const CONTROL_TIMER: u32 = 0;
/// Timer that expires at the next deadline, end of a backoff, or refill of the call budget.
const DEADLINE_TIMER: u32 = 1;

/// State of the deadline timer.
pub struct Timers {
    deadline_at: Nanos,
}

impl Timers {
    /// Creates a deadline timer that is not set.
    pub fn new() -> Self {
        Self { deadline_at: Nanos::MAX }
    }

    /// Clears the deadline timer if it has expired.
    pub fn on_timer(&mut self, now: Nanos) {
        if now >= self.deadline_at {
            self.deadline_at = Nanos::MAX;
        }
    }

    /// Sets the deadline timer to `at` unless it is already set to an earlier time; returns whether it was
    /// set.
    pub fn set_deadline(&mut self, now: Nanos, at: Nanos, host: &mut dyn Host) -> bool {
        let is_earlier = at < self.deadline_at;
        if is_earlier {
            self.deadline_at = at;
            host.set_timer(at.saturating_sub(now).max(1), DEADLINE_TIMER);
        }
        is_earlier
    }
}
