//! Schedule of probes to an unhealthy service. Without probes no server would detect its recovery, and the
//! evidence of all servers would expire at the same time.

use crate::Nanos;

/// Probes of one service by this server: at most one at a time and one per interval.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProbeSchedule {
    in_progress: bool,
    next_at: Nanos,
}

impl ProbeSchedule {
    /// Starts probing a service that has become unhealthy. The first probe is due after `delay`, a random
    /// part of the interval, so that the servers of a fleet do not probe at the same time.
    pub fn begin(&mut self, now: Nanos, delay: Nanos) {
        self.next_at = now + delay;
    }

    /// Returns the time at which the next probe is due; `None` while one is in progress.
    pub fn next_at(&self) -> Option<Nanos> {
        (!self.in_progress).then_some(self.next_at)
    }

    /// Whether a probe is due.
    pub fn is_due(&self, now: Nanos) -> bool {
        self.next_at().is_some_and(|at| at <= now)
    }

    /// Marks a probe as in progress and schedules the next one.
    pub fn start(&mut self, now: Nanos, interval: Nanos) {
        self.in_progress = true;
        self.next_at = now + interval;
    }

    /// Marks the probe as ended.
    pub fn end(&mut self) {
        self.in_progress = false;
    }
}
