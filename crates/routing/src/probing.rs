//! Schedule of probes to an unhealthy service. Without probes no server would detect the recovery of the
//! service, and the evidence against the service would expire at all servers at the same time.

use crate::Nanos;

/// Schedule of this server's probes of one service: at most one probe at a time and one per interval.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProbeSchedule {
    in_progress: bool,
    next_at: Nanos,
}

impl ProbeSchedule {
    /// Starts probing a service that has become unhealthy. The first probe is due after `delay`. The caller
    /// chooses a random part of the probe interval, so that the servers of a fleet do not probe at the same
    /// time.
    pub fn begin(&mut self, now: Nanos, delay: Nanos) {
        self.next_at = now + delay;
    }

    /// Returns the time at which the next probe is due; `None` while a probe is in progress.
    pub fn next_at(&self) -> Option<Nanos> {
        (!self.in_progress).then_some(self.next_at)
    }

    /// Whether a probe is due.
    pub fn is_due(&self, now: Nanos) -> bool {
        self.next_at().is_some_and(|at| at <= now)
    }

    /// Marks a probe as in progress, and schedules the next probe `interval` after `now`.
    pub fn start(&mut self, now: Nanos, interval: Nanos) {
        self.in_progress = true;
        self.next_at = now + interval;
    }

    /// Marks the probe in progress as ended.
    pub fn end(&mut self) {
        self.in_progress = false;
    }
}
