//! Simulated clocks of a server. The clocks may run at a wrong rate or jump.

use crate::clock::{Nanos, Reading};

/// Rate of a correct clock, in thousandths of the rate of true time. True time is the time of the simulation.
const TRUE_RATE: u64 = 1000;
/// Wall clock time at the start of the simulation, in nanoseconds since the Unix epoch. Incarnations of
/// servers are wall clock times, so a realistic value above 0 is used.
pub const EPOCH: Nanos = 1_700_000_000_000_000_000;
/// Value of every simulated monotonic clock at the start of the simulation, in nanoseconds.
const MONOTONIC_START: Nanos = 5;

/// Rates of a server's monotonic clock and wall clock, and the offset of its wall clock.
#[derive(Clone, Copy, Debug)]
pub struct ClockRates {
    /// Rate of the monotonic clock, in thousandths of the rate of true time (the time of the simulation).
    pub monotonic_rate: u64,
    /// Rate of the wall clock, in thousandths of the rate of true time (the time of the simulation).
    pub wall_rate: u64,
    /// Offset that is added to the value of the wall clock, in nanoseconds.
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
    /// Time at which the clock rates were last set, in nanoseconds of true time since the start of the
    /// simulation.
    set_at: Nanos,
    /// Values of the clocks at the true time `set_at`. The offset of the wall clock is not included.
    last_reading: Reading,
}

impl SimulatedClocks {
    pub fn new() -> SimulatedClocks {
        let last_reading = Reading { monotonic: MONOTONIC_START, wall: EPOCH };
        SimulatedClocks { rates: ClockRates::default(), set_at: 0, last_reading }
    }

    /// Returns the values of the monotonic clock and the wall clock at the true time `now`.
    pub fn read(&self, now: Nanos) -> Reading {
        let reading = self.reading_without_offset(now);
        Reading { wall: reading.wall.saturating_add_signed(self.rates.wall_offset), ..reading }
    }

    /// Sets the rates of both clocks and the offset of the wall clock. The values apply from the true time
    /// `now` on. The new offset replaces the previous one. The wall clock is never set below 0.
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
