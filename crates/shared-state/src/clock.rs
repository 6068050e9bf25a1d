//! Time for leases that remains safe if one clock stops or jumps.
//!
//! Each reading includes the monotonic and the wall clock. The fast clock advances by the larger advance of
//! the two and ends what this server itself may still use. The slow clock advances by the smaller one and
//! ends what other servers may still use. A single broken clock can therefore end this server's lease too
//! early, or reclaim another server's lease too late, and the units in use stay within the budget. Two clocks
//! that fail in the same way at the same time are not covered.

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;

/// Difference between the two clocks' advances since the previous reading above which a reading counts as a
/// disagreement, in nanoseconds.
const DISAGREEMENT_NS: Nanos = 1_000_000_000;

/// One reading of both clocks, in nanoseconds since an arbitrary start of each clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reading {
    /// Value of the monotonic clock.
    pub monotonic: Nanos,
    /// Value of the wall clock, in nanoseconds since the Unix epoch.
    pub wall: Nanos,
}

/// Bounds of the time elapsed since the first reading, in nanoseconds. Only differences between values of the
/// same bound are meaningful.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Time {
    /// Upper bound of the elapsed time, used to end what this server holds.
    pub fast: Nanos,
    /// Lower bound of the elapsed time, used to end what other servers hold.
    pub slow: Nanos,
}

impl Time {
    /// Returns the time shown by two clocks that agree.
    pub fn from_agreeing_clocks(at: Nanos) -> Time {
        Time { fast: at, slow: at }
    }
}

/// Converts readings of the two clocks into bounds of the elapsed time.
#[derive(Clone, Debug, Default)]
pub struct DriftClock {
    last: Option<Reading>,
    time: Time,
    /// Number of readings at which the clocks' advances since the previous reading differed by more than a
    /// second.
    pub disagreements: u64,
}

impl DriftClock {
    /// Returns the time at this reading. A clock that went back counts as one that did not advance.
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
