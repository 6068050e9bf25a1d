//! Measures the cost of reading arrivals: the delay until an arrival is read, and the number of cores that
//! reading uses.

use crate::Nanos;
use crate::decaying_mean::DecayingMean;
use crate::regulator::CONTROL_PERIOD;

/// Normal reading delay, as a share of the longest usual core time. The reading delay is the time from when
/// an arrival reaches the machine until the host reads it.
const NORMAL_DELAY_SHARE: f64 = 0.5;
/// Reading delay above which the server is flooded, as a share of the shortest latency objective. A flooded
/// server rejects all ranks except the highest.
const FLOOD_DELAY_SHARE: f64 = 0.25;

/// Measurements of the cost of reading arrivals.
pub struct Reading {
    delay: DecayingMean,
    threads: DecayingMean,
    shortest_objective: Nanos,
}

impl Reading {
    /// Creates measurements that contain no observations. The shortest latency objective of all operations
    /// determines the reading delay above which the server is flooded.
    pub fn new(shortest_objective: Nanos, now: Nanos) -> Self {
        Self {
            delay: DecayingMean::new(CONTROL_PERIOD / 2, now),
            threads: DecayingMean::new(CONTROL_PERIOD * 2, now),
            shortest_objective,
        }
    }

    /// Records the reading delay of one arrival: the time from when the arrival reached the machine until the
    /// host read it.
    pub fn observe_delay(&mut self, now: Nanos, delay: Nanos) {
        self.delay.add(now, delay as f64);
    }

    /// Records the number of threads that are considered to read arrivals. These are the threads that are
    /// running or ready to run, except the threads that execute runs.
    pub fn observe_threads(&mut self, now: Nanos, threads: f64) {
        self.threads.add(now, threads);
    }

    /// Returns the number of cores that reading arrivals uses, as a decaying mean over the last control
    /// periods.
    pub fn threads(&self) -> f64 {
        self.threads.mean()
    }

    /// Returns the mean reading delay of recent arrivals, ns. Without new arrivals the result decays to 0.
    fn delay(&self, now: Nanos) -> f64 {
        self.delay.mean() * self.delay.weight(now).min(1.0)
    }

    /// Returns the mean reading delay minus the normal reading delay, ns, but at least 0. The normal reading
    /// delay is a share of the longest usual core time, `longest_core_ns`.
    pub fn excess_delay(&self, now: Nanos, longest_core_ns: f64) -> f64 {
        (self.delay(now) - longest_core_ns * NORMAL_DELAY_SHARE).max(0.0)
    }

    /// Whether reading the arrivals alone, without running them, overloads the server. Such a server recovers
    /// only if callers send fewer invocations.
    pub fn is_flooded(&self, now: Nanos) -> bool {
        self.delay(now) > FLOOD_DELAY_SHARE * self.shortest_objective as f64
    }
}
