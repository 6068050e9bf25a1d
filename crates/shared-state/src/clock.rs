//! Time for leases that remains safe if one of two clocks stops or jumps.
//!
//! Each reading includes the monotonic clock and the wall clock. The fast clock advances by the larger of
//! their two advances, and decides when this server must stop using its own lease. The slow clock advances by
//! the smaller one, and decides when units that other servers may use are free again. A single broken clock
//! can therefore only end this server's lease too early, or reclaim another server's lease too late, so the
//! units in use stay within the budget. Two clocks that fail in the same way at the same time are not
//! covered.

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;

/// Difference between the advances of the two clocks from one reading to the next, in nanoseconds, above
/// which the reading counts as a disagreement.
const DISAGREEMENT_NS: Nanos = 1_000_000_000;

/// One reading of the monotonic clock and the wall clock, taken at the same time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reading {
    /// Value of the monotonic clock, in nanoseconds since an arbitrary start.
    pub monotonic: Nanos,
    /// Value of the wall clock, in nanoseconds since the Unix epoch.
    pub wall: Nanos,
}

/// Upper and lower bound of the time elapsed since the first reading, in nanoseconds. Only differences
/// between two values of the same bound are meaningful.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Time {
    /// Upper bound of the elapsed time (the fast clock), which decides when this server's own lease ends.
    pub fast: Nanos,
    /// Lower bound of the elapsed time (the slow clock), which decides when other servers' leases and votes
    /// have ended.
    pub slow: Nanos,
}

impl Time {
    /// Returns the time for two clocks that agree: both bounds are `at`.
    pub fn from_agreeing_clocks(at: Nanos) -> Time {
        Time { fast: at, slow: at }
    }
}

/// Converts readings of the two clocks into bounds of the elapsed time.
#[derive(Clone, Debug, Default)]
pub struct DriftClock {
    last: Option<Reading>,
    time: Time,
    /// Number of readings at which the advances of the two clocks since the previous reading differed by more
    /// than one second.
    pub disagreements: u64,
}

impl DriftClock {
    /// Returns the bounds of the elapsed time at this reading. A clock that went back since the previous
    /// reading counts as one that did not advance.
    pub fn read(&mut self, reading: Reading) -> Time {
        if let Some(last) = self.last {
            let monotonic = reading.monotonic.saturating_sub(last.monotonic);
            let wall = reading.wall.saturating_sub(last.wall);
            let (smaller, larger) = (monotonic.min(wall), monotonic.max(wall));
            self.disagreements += u64::from(larger - smaller > DISAGREEMENT_NS);
            self.time.fast = self.time.fast.saturating_add(larger);
            self.time.slow = self.time.slow.saturating_add(smaller);
        }
        self.last = Some(reading);
        self.time
    }
}
