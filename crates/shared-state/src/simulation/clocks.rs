//! Simulated clocks that may run at a wrong rate or jump.

use crate::clock::{Nanos, Reading};

/// Rate of a correct clock; rates are in thousandths of true time.
const TRUE_RATE: u64 = 1000;
/// Start of true time, in nanoseconds since the Unix epoch. It is above 0 because incarnations are wall
/// times.
pub const EPOCH: Nanos = 1_700_000_000_000_000_000;
/// Reading of every monotonic clock at the start of the simulation, in nanoseconds.
const MONOTONIC_START: Nanos = 5;

/// Rates of one server's clocks.
#[derive(Clone, Copy, Debug)]
pub struct ClockRates {
    /// Rate of the monotonic clock, in thousandths of true time.
    pub monotonic_rate: u64,
    /// Rate of the wall clock, in thousandths of true time.
    pub wall_rate: u64,
    /// Additional offset of the wall clock, in nanoseconds.
    pub wall_offset: i64,
}

impl Default for ClockRates {
    fn default() -> Self {
        ClockRates { monotonic_rate: TRUE_RATE, wall_rate: TRUE_RATE, wall_offset: 0 }
    }
}

/// The two clocks of one server.
pub(super) struct SimulatedClocks {
    rates: ClockRates,
    /// True time at which the rates were last set.
    set_at: Nanos,
    /// Reading of the clocks at `set_at`, without the offset of the wall clock.
    last_reading: Reading,
}

impl SimulatedClocks {
    pub fn new() -> SimulatedClocks {
        let last_reading = Reading { monotonic: MONOTONIC_START, wall: EPOCH };
        SimulatedClocks { rates: ClockRates::default(), set_at: 0, last_reading }
    }

    /// Returns the clocks' reading at the true time `now`.
    pub fn read(&self, now: Nanos) -> Reading {
        let reading = self.reading_without_offset(now);
        Reading { wall: reading.wall.saturating_add_signed(self.rates.wall_offset), ..reading }
    }

    /// Sets the rates of the clocks from `now` on. The previous offset is removed, but the wall clock is
    /// never set below 0.
    pub fn set_rates(&mut self, now: Nanos, rates: ClockRates) {
        let mut reading = self.read(now);
        reading.wall = reading.wall.saturating_add_signed(-self.rates.wall_offset);
        (self.rates, self.set_at, self.last_reading) = (rates, now, reading);
    }

    fn reading_without_offset(&self, now: Nanos) -> Reading {
        let passed = now - self.set_at;
        Reading {
            monotonic: self.last_reading.monotonic + passed * self.rates.monotonic_rate / TRUE_RATE,
            wall: self.last_reading.wall + passed * self.rates.wall_rate / TRUE_RATE,
        }
    }
}
