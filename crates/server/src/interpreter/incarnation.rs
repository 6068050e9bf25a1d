//! State about the interpreter that is kept when a link is lost: the interpreter's current incarnation, and
//! how recent attempts to connect have ended.

use meadowstream_overload_control::Nanos;
use std::time::Duration;

/// Time limit for a restarted server to become ready, even if its interpreter is slow. Each single step of
/// connecting to the interpreter may take at most this time.
const READINESS_DEADLINE: Duration = Duration::from_secs(10);
/// Tolerance, in nanoseconds, for comparing two computed start times of the interpreter. Two times that
/// differ by at most this value belong to the same start.
///
/// The computed times are inexact, because banners state the interpreter's age in whole milliseconds and
/// clocks may drift apart.
const START_TOLERANCE_NS: Nanos = 1_000_000_000;
/// Maximum number of times that the time limit for one step of connecting is doubled. Each attempt to connect
/// to the interpreter doubles the limit if the attempt times out.
const DOUBLINGS_MAX: u32 = 8;

/// The interpreter's current incarnation, and how attempts to connect to the interpreter have ended.
#[derive(Default)]
pub struct Incarnation {
    /// Index of the last notice that the server has read from this incarnation of the interpreter.
    pub last_read: u64,
    /// Upper bound on the time at which the interpreter started, in Unix nanoseconds. Computed from the
    /// interpreter's banners; `None` before the first banner.
    started: Option<Nanos>,
    /// Number of attempts to connect to the interpreter that have timed out since a link was last
    /// established.
    timeouts: u32,
}

impl Incarnation {
    /// Returns the time limit for one step of connecting to the interpreter. The first limit is the readiness
    /// deadline divided by `divisor`. Each timeout doubles the limit, so that a slow interpreter can be
    /// connected eventually. The limit never exceeds the readiness deadline.
    pub fn time_allowance(&self, divisor: u32) -> Duration {
        let doubled = (READINESS_DEADLINE / divisor).saturating_mul(1 << self.timeouts.min(DOUBLINGS_MAX));
        doubled.min(READINESS_DEADLINE)
    }

    /// Records how an attempt to connect to the interpreter has ended. `was_linked` is true if a link was
    /// established. `timed_out` is true if the attempt or the link ended by a timeout.
    pub fn record_end(&mut self, was_linked: bool, timed_out: bool) {
        self.timeouts = if was_linked { 0 } else { self.timeouts + u32::from(timed_out) };
    }

    /// Handles a banner of the interpreter. Returns whether the interpreter was restarted since the previous
    /// banner.
    ///
    /// The banner states the interpreter's `age`. The server requested the banner at the time `requested` and
    /// read it at the time `read`. The two times can be far apart if the machine was suspended in between.
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
