//! The controller's two timers.

use crate::{Host, Nanos};

/// Goes off once a control period; gauges are wanted with it.
pub const CONTROL_TIMER: u32 = 0;
/// Goes off at the next deadline, backoff's end or refill of the call budget.
const DEADLINE_TIMER: u32 = 1;

/// The deadline timer.
pub struct Timers {
    deadline_at: Nanos,
}

impl Timers {
    /// The deadline timer is not set.
    pub fn new() -> Self {
        Self { deadline_at: Nanos::MAX }
    }

    /// The deadline timer may have gone off.
    pub fn on_timer(&mut self, now: Nanos) {
        if now >= self.deadline_at {
            self.deadline_at = Nanos::MAX;
        }
    }

    /// Sets the deadline timer unless it goes off earlier; true where it was set.
    pub fn set_deadline(&mut self, now: Nanos, at: Nanos, host: &mut dyn Host) -> bool {
        let is_earlier = at < self.deadline_at;
        if is_earlier {
            self.deadline_at = at;
            host.set_timer(at.saturating_sub(now).max(1), DEADLINE_TIMER);
        }
        is_earlier
    }
}
