//! The server's clock. The clock is set to the wall-clock time (Unix time) once, when the clock is started.
//! Afterwards the clock advances monotonically.

use meadowstream_overload_control::Nanos;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that returns Unix time in nanoseconds.
pub struct Clock {
    started: Instant,
    /// Wall-clock time at which this clock was started, in Unix nanoseconds.
    started_unix: Nanos,
}

fn unix() -> Nanos {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_nanos() as Nanos)
}

impl Clock {
    /// Starts a clock whose time is the current wall-clock time.
    pub fn start() -> Self {
        Self { started: Instant::now(), started_unix: unix() }
    }

    /// Returns this clock's current time, in Unix nanoseconds.
    pub fn now(&self) -> Nanos {
        self.started_unix + self.started.elapsed().as_nanos() as Nanos
    }

    /// Converts the time `at`, in Unix nanoseconds of this clock, to an [`Instant`].
    pub fn instant(&self, at: Nanos) -> Instant {
        self.started + Duration::from_nanos(at.saturating_sub(self.started_unix))
    }

    /// Returns the time that has passed since `since_ms`, in nanoseconds. `since_ms` is a Unix time in
    /// milliseconds that a peer has stated. The result is negative if this time is in the future.
    ///
    /// The wall clock of this machine or of the peer may have been stepped since this clock was started,
    /// and also since the peer stated the time. The peer's time is therefore compared with the wall clock
    /// and with this clock, and the result is the shorter of the two spans.
    pub fn age(&self, since_ms: u64) -> i64 {
        let since = i64::try_from(since_ms).unwrap_or(i64::MAX).saturating_mul(1_000_000);
        let by_wall_clock = (unix() as i64).saturating_sub(since);
        let by_this_clock = (self.now() as i64).saturating_sub(since);
        if by_wall_clock.unsigned_abs() < by_this_clock.unsigned_abs() {
            by_wall_clock
        } else {
            by_this_clock
        }
    }
}
