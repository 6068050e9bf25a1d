//! Time on which leases may be built although a clock stands still or jumps.
//!
//! Each reading takes the monotonic and the wall clock. What this server may still use is measured by
//! whichever went further (the fast clock), what others may still use by whichever went less (the slow
//! clock). One broken clock then ends a lease early or reclaims one late, and the sum in use stays within the
//! budget. Both clocks broken the same way at once are not covered.

/// Nanoseconds: a point in time or a duration.
pub type Nanos = u64;

/// Difference between the clocks over the span between two readings from which it is counted, in nanoseconds.
const DISAGREEMENT_NS: Nanos = 1_000_000_000;

/// One reading of both clocks, in nanoseconds from any starting point of each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reading {
    /// The monotonic clock.
    pub monotonic: Nanos,
    /// The wall clock, in nanoseconds since the epoch.
    pub wall: Nanos,
}

/// Time passed since the first reading, in nanoseconds. Only differences of the same bound mean anything.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Time {
    /// Upper bound: ends what this server holds.
    pub fast: Nanos,
    /// Lower bound: ends what other servers hold.
    pub slow: Nanos,
}

impl Time {
    /// Time by two clocks that agree.
    pub fn both(at: Nanos) -> Time {
        Time { fast: at, slow: at }
    }
}

/// Turns readings of the two clocks into bounds of the time passed.
#[derive(Clone, Debug, Default)]
pub struct DriftClock {
    last: Option<Reading>,
    time: Time,
    /// Readings at which the clocks differed by more than a second over the span since the reading before.
    pub disagreements: u64,
}

impl DriftClock {
    /// The time as of this reading. A clock that went back counts as one that stood still.
    pub fn read(&mut self, reading: Reading) -> Time {
        if let Some(last) = self.last {
            let monotonic = reading.monotonic.saturating_sub(last.monotonic);
            let wall = reading.wall.saturating_sub(last.wall);
            let (least, most) = (monotonic.min(wall), monotonic.max(wall));
            self.disagreements += u64::from(most - least > DISAGREEMENT_NS);
            self.time.fast = self.time.fast.saturating_add(most);
            self.time.slow = self.time.slow.saturating_add(least);
        }
        self.last = Some(reading);
        self.time
    }
}
