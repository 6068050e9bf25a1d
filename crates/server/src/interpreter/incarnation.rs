//! What is known of the interpreter over successive links.

use meadowstream_overload_control::Nanos;
use std::time::Duration;

/// A server is to be ready within this time after its restart, whatever its interpreter does.
const READINESS_DEADLINE: Duration = Duration::from_secs(10);
/// Banners state the start in whole milliseconds, by clocks that may drift apart: starts this close are one.
const START_TOLERANCE_NS: Nanos = 1_000_000_000;
/// Limit of the doubling of time allowances.
const DOUBLINGS_MAX: u32 = 8;

/// The interpreter's incarnation and how links to it went.
#[derive(Default)]
pub struct Incarnation {
    /// Number of the last notice that was read.
    pub last_read: u64,
    /// When it started at the latest, as its banners said.
    started: Option<Nanos>,
    /// Attempts since the last link for which the time allowance was too short.
    timeouts: u32,
}

impl Incarnation {
    /// The time allowed for a step that gets this part of the whole at first. Each attempt that timed out
    /// doubles it, so that an interpreter that is always slow gets a link in the end.
    pub fn time_allowance(&self, divisor: u32) -> Duration {
        let doubled = (READINESS_DEADLINE / divisor).saturating_mul(1 << self.timeouts.min(DOUBLINGS_MAX));
        doubled.min(READINESS_DEADLINE)
    }

    /// An attempt has ended without a link, or a link was lost.
    pub fn record_end(&mut self, was_linked: bool, timed_out: bool) {
        self.timeouts = if was_linked { 0 } else { self.timeouts + u32::from(timed_out) };
    }

    /// Whether a banner is that of an interpreter which started after the one before. It was requested and
    /// read at these times, and states this age; the machine may have stood still between them.
    pub fn detect_restart(&mut self, requested: Nanos, read: Nanos, age: Nanos) -> bool {
        let earliest = requested.saturating_sub(age);
        let latest = read.saturating_sub(age);
        let restarted = self.started.is_some_and(|before| earliest > before + START_TOLERANCE_NS);
        let known = self.started.filter(|_| !restarted);
        self.started = Some(known.map_or(latest, |before| before.min(latest)));
        if restarted {
            self.last_read = 0;
        }
        restarted
    }
}
