//! The cost of reading arrivals: how long they lie unread, and the cores that reading takes.

use crate::Nanos;
use crate::decaying_mean::DecayingMean;
use crate::regulator::CONTROL_PERIOD;

/// Time unread that is ordinary, as a share of the longest usual run.
const ORDINARY_DELAY_SHARE: f64 = 0.5;
/// Time unread that is a flood, as a share of the shortest latency objective.
const FLOOD_DELAY_SHARE: f64 = 0.25;

/// What is observed of reading.
pub struct Reading {
    delay: DecayingMean,
    threads: DecayingMean,
    shortest_objective: Nanos,
}

impl Reading {
    /// Nothing observed yet; the shortest latency objective says what is a flood.
    pub fn new(shortest_objective: Nanos, now: Nanos) -> Self {
        Self {
            delay: DecayingMean::new(CONTROL_PERIOD / 2, now),
            threads: DecayingMean::new(CONTROL_PERIOD * 2, now),
            shortest_objective,
        }
    }

    /// An arrival was read this long after it reached the machine.
    pub fn observe_delay(&mut self, now: Nanos, delay: Nanos) {
        self.delay.add(now, delay as f64);
    }

    /// So many threads other than runs wanted a core.
    pub fn observe_threads(&mut self, now: Nanos, threads: f64) {
        self.threads.add(now, threads);
    }

    /// Cores that reading takes, as the mean of the last periods.
    pub fn threads(&self) -> f64 {
        self.threads.mean()
    }

    /// How long arrivals lie unread of late, ns; fades where none come.
    fn delay(&self, now: Nanos) -> f64 {
        self.delay.mean() * self.delay.weight(now).min(1.0)
    }

    /// Time unread beyond what is ordinary, ns.
    pub fn excess_delay(&self, now: Nanos, longest_core_ns: f64) -> f64 {
        (self.delay(now) - longest_core_ns * ORDINARY_DELAY_SHARE).max(0.0)
    }

    /// Whether reading alone overloads the server: only callers that stay away can help it.
    pub fn is_flooded(&self, now: Nanos) -> bool {
        self.delay(now) > FLOOD_DELAY_SHARE * self.shortest_objective as f64
    }
}
