//! The module's clock: Unix nanoseconds at the start, and from then on it never goes back.

use meadowstream_overload_control::Nanos;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub struct Clock {
    started: Instant,
    unix: Nanos,
}

fn unix() -> Nanos {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_nanos() as Nanos)
}

impl Clock {
    pub fn start() -> Self {
        Self { started: Instant::now(), unix: unix() }
    }

    pub fn now(&self) -> Nanos {
        self.unix + self.started.elapsed().as_nanos() as Nanos
    }

    pub fn instant(&self, at: Nanos) -> Instant {
        self.started + Duration::from_nanos(at.saturating_sub(self.unix))
    }

    /// How long ago a Unix time in milliseconds was; below 0 for what is still to come.
    pub fn age(&self, since_ms: u64) -> i64 {
        let since = i64::try_from(since_ms).unwrap_or(i64::MAX).saturating_mul(1_000_000);
        (unix() as i64).saturating_sub(since)
    }
}
