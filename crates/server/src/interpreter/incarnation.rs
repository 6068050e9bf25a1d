//! State about the interpreter that persists over successive links: its current incarnation and recent
//! connection attempts.

use meadowstream_overload_control::Nanos;
use std::time::Duration;

/// Time after a restart within which a server must be ready, however slow its interpreter is.
const READINESS_DEADLINE: Duration = Duration::from_secs(10);
/// Two start times closer together than this, in nanoseconds, are taken for the same start: banners state the
/// start in whole milliseconds, and clocks may drift apart.
const START_TOLERANCE_NS: Nanos = 1_000_000_000;
/// Maximum number of times that a time allowance is doubled.
const DOUBLINGS_MAX: u32 = 8;

/// The interpreter's incarnation, and the results of attempts to link to it.
#[derive(Default)]
pub struct Incarnation {
    /// Index of the last notice that was read.
    pub last_read: u64,
    /// Latest possible start time of the interpreter, computed from its banners.
    started: Option<Nanos>,
    /// Number of attempts that have timed out since the last link.
    timeouts: u32,
}

impl Incarnation {
    /// Returns the time allowed for one step of connecting, initially the readiness deadline divided by
    /// `divisor`. Each attempt that timed out doubles this time, so that an interpreter that is always slow
    /// is linked eventually.
    pub fn time_allowance(&self, divisor: u32) -> Duration {
        let doubled = (READINESS_DEADLINE / divisor).saturating_mul(1 << self.timeouts.min(DOUBLINGS_MAX));
        doubled.min(READINESS_DEADLINE)
    }

    /// Records the end of a link or of an attempt to establish one.
    pub fn record_end(&mut self, was_linked: bool, timed_out: bool) {
        self.timeouts = if was_linked { 0 } else { self.timeouts + u32::from(timed_out) };
    }

    /// Processes a banner that states the interpreter's `age`, and returns whether the interpreter was
    /// restarted since the previous banner. `requested` and `read` are the times at which the banner was
    /// requested and read; the difference may be large if the machine was suspended in between.
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
