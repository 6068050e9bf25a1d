//! Cost of reading arrivals: the delay before an arrival is read, and the number of cores that reading
//! uses.

use crate::Nanos;
use crate::decaying_mean::DecayingMean;
use crate::regulator::CONTROL_PERIOD;

/// Normal delay between the time an arrival reaches the machine and the time the host reads it, as a share
/// of the longest usual core time.
const NORMAL_DELAY_SHARE: f64 = 0.5;
/// Reading delay above which the server is flooded, as a share of the shortest latency objective. All ranks
/// except the highest are then rejected.
const FLOOD_DELAY_SHARE: f64 = 0.25;

/// Measured cost of reading arrivals.
pub struct Reading {
    delay: DecayingMean,
    threads: DecayingMean,
    shortest_objective: Nanos,
}

impl Reading {
    /// Creates the measurements without observations. The reading delay above which the server is flooded
    /// is a share of `shortest_objective`.
    pub fn new(shortest_objective: Nanos, now: Nanos) -> Self {
        Self {
            delay: DecayingMean::new(CONTROL_PERIOD / 2, now),
            threads: DecayingMean::new(CONTROL_PERIOD * 2, now),
            shortest_objective,
        }
    }

    /// Records that the host read an arrival `delay` after the arrival reached the machine.
    pub fn observe_delay(&mut self, now: Nanos, delay: Nanos) {
        self.delay.add(now, delay as f64);
    }

    /// Records the number of threads that were running or ready to run and do not belong to runs.
    pub fn observe_threads(&mut self, now: Nanos, threads: f64) {
        self.threads.add(now, threads);
    }

    /// Returns the number of cores that reading uses, as a decaying mean over the last control periods.
    pub fn threads(&self) -> f64 {
        self.threads.mean()
    }

    /// Returns the recent mean reading delay, ns; it decays to 0 without arrivals.
    fn delay(&self, now: Nanos) -> f64 {
        self.delay.mean() * self.delay.weight(now).min(1.0)
    }

    /// Returns the mean reading delay in excess of the normal delay, ns. The normal delay is a share of
    /// `longest_core_ns`.
    pub fn excess_delay(&self, now: Nanos, longest_core_ns: f64) -> f64 {
        (self.delay(now) - longest_core_ns * NORMAL_DELAY_SHARE).max(0.0)
    }

    /// Whether reading arrivals alone overloads the server, which then recovers only if callers send less.
    pub fn is_flooded(&self, now: Nanos) -> bool {
        self.delay(now) > FLOOD_DELAY_SHARE * self.shortest_objective as f64
    }
}
