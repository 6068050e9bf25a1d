//! Measures elapsed time for leases in a way that remains safe if one of two clocks stops or jumps.
//!
//! Each reading includes the monotonic clock and the wall clock. The advances of these two clocks since the
//! previous reading are compared. The fast clock advances by the larger advance, and decides when this server
//! must stop using its own lease. The slow clock advances by the smaller advance, and decides when units that
//! other servers may use are free again.
//!
//! A single broken clock can therefore only end this server's lease too early, or reclaim another server's
//! lease too late. In either case the units in use stay within the budget. Two clocks that fail in the same
//! way at the same time are not covered.

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;

/// Maximum difference between the advances of the monotonic clock and the wall clock from one reading to the
/// next, in nanoseconds. If the difference is larger, the two clocks count as disagreeing.
const DISAGREEMENT_NS: Nanos = 1_000_000_000;

/// One reading of the monotonic clock and the wall clock, taken at the same time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reading {
    /// Value of the monotonic clock, in nanoseconds since an arbitrary point in time.
    pub monotonic: Nanos,
    /// Value of the wall clock, in nanoseconds since the Unix epoch.
    pub wall: Nanos,
}

/// Upper and lower bound of the time elapsed since the first reading of the clocks, in nanoseconds. A value
/// of one bound can be compared only with other values of the same bound.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Time {
    /// The fast clock: an upper bound of the elapsed time, in nanoseconds. It decides when this server's own
    /// lease ends.
    pub fast: Nanos,
    /// The slow clock: a lower bound of the elapsed time, in nanoseconds. It decides when the leases and
    /// votes of other servers have ended.
    pub slow: Nanos,
}

impl Time {
    /// Returns the time `at` for a monotonic clock and a wall clock that agree. Both bounds of the elapsed
    /// time are then `at`.
    pub fn from_agreeing_clocks(at: Nanos) -> Time {
        Time { fast: at, slow: at }
    }
}

/// Computes bounds of the elapsed time from readings of the monotonic clock and the wall clock.
#[derive(Clone, Debug, Default)]
pub struct DriftClock {
    last: Option<Reading>,
    time: Time,
    /// Number of readings at which the monotonic clock and the wall clock disagreed. At such a reading, the
    /// advances of the two clocks since the previous reading differ by more than one second.
    pub disagreements: u64,
}

impl DriftClock {
    /// Returns the bounds of the elapsed time at a reading of the clocks. If a clock went back since the
    /// previous reading, its advance counts as 0.
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
