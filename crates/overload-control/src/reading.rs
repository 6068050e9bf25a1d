//! Cost of reading arrivals: the delay before an arrival is read, and the cores that reading uses.

use crate::Nanos;
use crate::decaying_mean::DecayingMean;
use crate::regulator::CONTROL_PERIOD;

/// Normal reading delay, as a share of the longest usual core time of a run.
const ORDINARY_DELAY_SHARE: f64 = 0.5;
/// Reading delay above which the server is flooded, as a share of the shortest latency objective.
const FLOOD_DELAY_SHARE: f64 = 0.25;

/// Measurements of the cost of reading arrivals.
pub struct Reading {
    delay: DecayingMean,
    threads: DecayingMean,
    shortest_objective: Nanos,
}

impl Reading {
    /// Creates the measurements without observations. The flood threshold is derived from
    /// `shortest_objective`.
    pub fn new(shortest_objective: Nanos, now: Nanos) -> Self {
        Self {
            delay: DecayingMean::new(CONTROL_PERIOD / 2, now),
            threads: DecayingMean::new(CONTROL_PERIOD * 2, now),
            shortest_objective,
        }
    }

    /// Records that an arrival was read `delay` after it reached the machine.
    pub fn observe_delay(&mut self, now: Nanos, delay: Nanos) {
        self.delay.add(now, delay as f64);
    }

    /// Records the number of threads other than runs that were running or ready to run.
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

    /// Returns the reading delay in excess of the normal delay, ns.
    pub fn excess_delay(&self, now: Nanos, longest_core_ns: f64) -> f64 {
        (self.delay(now) - longest_core_ns * ORDINARY_DELAY_SHARE).max(0.0)
    }

    /// Whether reading alone overloads the server. The server then recovers only if callers send less.
    pub fn is_flooded(&self, now: Nanos) -> bool {
        self.delay(now) > FLOOD_DELAY_SHARE * self.shortest_objective as f64
    }
}
