//! When a service that is unhealthy is probed. Without probes nobody would learn that it has recovered, and
//! the evidence of all servers would fade at the same time.

use crate::Nanos;

/// Probes of one service by this server: one at a time, and one an interval.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProbeSchedule {
    in_progress: bool,
    next_at: Nanos,
}

impl ProbeSchedule {
    /// The service has become unhealthy: the first probe is due after `delay`, a random part of the interval,
    /// so that the probes of a fleet do not come at the same time.
    pub fn begin(&mut self, now: Nanos, delay: Nanos) {
        self.next_at = now + delay;
    }

    /// When the next probe is due; `None` while one is in progress.
    pub fn next_at(&self) -> Option<Nanos> {
        (!self.in_progress).then_some(self.next_at)
    }

    /// Whether a probe is due.
    pub fn is_due(&self, now: Nanos) -> bool {
        self.next_at().is_some_and(|at| at <= now)
    }

    /// A probe is sent.
    pub fn start(&mut self, now: Nanos, interval: Nanos) {
        self.in_progress = true;
        self.next_at = now + interval;
    }

    /// The probe has ended.
    pub fn end(&mut self) {
        self.in_progress = false;
    }
}
