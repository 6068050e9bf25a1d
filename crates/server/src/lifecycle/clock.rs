//! The server's clock: Unix nanoseconds at the start, and monotonic from then on.

use meadowstream_overload_control::Nanos;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The server's clock.
pub struct Clock {
    started: Instant,
    /// Unix time of the start.
    started_unix: Nanos,
}

fn unix() -> Nanos {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_nanos() as Nanos)
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self { started: Instant::now(), started_unix: unix() }
    }

    /// The time now.
    pub fn now(&self) -> Nanos {
        self.started_unix + self.started.elapsed().as_nanos() as Nanos
    }

    /// The instant of a time of this clock.
    pub fn instant(&self, at: Nanos) -> Instant {
        self.started + Duration::from_nanos(at.saturating_sub(self.started_unix))
    }

    /// Nanoseconds since a Unix time in milliseconds by the wall clock; negative for a time to come.
    pub fn age(&self, since_ms: u64) -> i64 {
        let since = i64::try_from(since_ms).unwrap_or(i64::MAX).saturating_mul(1_000_000);
        (unix() as i64).saturating_sub(since)
    }
}
