//! Clocks that run at a wrong rate or leap.

use crate::clock::{Nanos, Reading};

/// Rates are thousandths of true time.
const TRUE_RATE: u64 = 1000;
/// True time starts here, in nanoseconds since the epoch: incarnations are wall times.
pub const EPOCH: Nanos = 1_700_000_000_000_000_000;
/// Reading of every monotonic clock at the start, in nanoseconds.
const MONOTONIC_START: Nanos = 5;

/// How one server's clocks run.
#[derive(Clone, Copy, Debug)]
pub struct ClockRates {
    /// Rate of the monotonic clock, in thousandths of true time.
    pub monotonic_rate: u64,
    /// Rate of the wall clock, in thousandths of true time.
    pub wall_rate: u64,
    /// Nanoseconds by which the wall clock is off besides.
    pub wall_leap: i64,
}

impl Default for ClockRates {
    fn default() -> Self {
        ClockRates { monotonic_rate: TRUE_RATE, wall_rate: TRUE_RATE, wall_leap: 0 }
    }
}

/// The two clocks of one server.
pub(super) struct SimulatedClocks {
    rates: ClockRates,
    /// True time at which the rates were last set, and what the clocks showed then but for the leap.
    set_at: Nanos,
    shown: Reading,
}

impl SimulatedClocks {
    pub fn new() -> SimulatedClocks {
        let shown = Reading { monotonic: MONOTONIC_START, wall: EPOCH };
        SimulatedClocks { rates: ClockRates::default(), set_at: 0, shown }
    }

    /// What the clocks show at the true time `now`.
    pub fn read(&self, now: Nanos) -> Reading {
        let shown = self.shown_without_leap(now);
        Reading { wall: shown.wall.saturating_add_signed(self.rates.wall_leap), ..shown }
    }

    /// Lets the clocks run otherwise from `now` on. The old leap is undone only as far as time is above 0.
    pub fn set_rates(&mut self, now: Nanos, rates: ClockRates) {
        let mut shown = self.read(now);
        shown.wall = shown.wall.saturating_add_signed(-self.rates.wall_leap);
        (self.rates, self.set_at, self.shown) = (rates, now, shown);
    }

    fn shown_without_leap(&self, now: Nanos) -> Reading {
        let passed = now - self.set_at;
        Reading {
            monotonic: self.shown.monotonic + passed * self.rates.monotonic_rate / TRUE_RATE,
            wall: self.shown.wall + passed * self.rates.wall_rate / TRUE_RATE,
        }
    }
}
