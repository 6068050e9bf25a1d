//! State about the interpreter that outlasts a single link: its current incarnation, and the results of
//! recent attempts to connect.

use meadowstream_overload_control::Nanos;
use std::time::Duration;

/// Time after a restart within which a server must be ready, however slow its interpreter is. Also the
/// maximum time allowed for one step of connecting.
const READINESS_DEADLINE: Duration = Duration::from_secs(10);
/// Maximum difference, in nanoseconds, between two start times of the interpreter that are taken for the
/// same start. Banners state the age of the interpreter in whole milliseconds, and clocks may drift apart.
const START_TOLERANCE_NS: Nanos = 1_000_000_000;
/// Maximum number of times that the time allowed for one step of connecting is doubled.
const DOUBLINGS_MAX: u32 = 8;

/// The interpreter's incarnation, and the results of attempts to link to it.
#[derive(Default)]
pub struct Incarnation {
    /// Index of the last notice that was read from the interpreter.
    pub last_read: u64,
    /// Upper bound of the time at which the interpreter started, computed from its banners.
    started: Option<Nanos>,
    /// Number of attempts to connect that have timed out since the last link.
    timeouts: u32,
}

impl Incarnation {
    /// Returns the time allowed for one step of connecting. The time is the readiness deadline divided by
    /// `divisor`, and doubles with each attempt that timed out, up to the readiness deadline. An
    /// interpreter that is always slow is therefore linked eventually.
    pub fn time_allowance(&self, divisor: u32) -> Duration {
        let doubled = (READINESS_DEADLINE / divisor).saturating_mul(1 << self.timeouts.min(DOUBLINGS_MAX));
        doubled.min(READINESS_DEADLINE)
    }

    /// Records the end of a link or of an attempt to establish one.
    pub fn record_end(&mut self, was_linked: bool, timed_out: bool) {
        self.timeouts = if was_linked { 0 } else { self.timeouts + u32::from(timed_out) };
    }

    /// Processes a banner that states the interpreter's `age`. Returns whether the interpreter was
    /// restarted since the previous banner. `requested` and `read` are the times at which the banner was
    /// requested and read; they may be far apart if the machine was suspended in between.
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
