//! Schedule of the probes that a server sends to an unhealthy service. A probe is an idempotent call that is
//! sent to the service to detect its recovery. Without probes no server would detect the recovery. The
//! reports against the service would expire at all servers at the same time, and all servers would then send
//! calls to the service again.

use crate::Nanos;

/// Schedule of this server's probes of one service. At most one probe is in progress at a time, and at most
/// one starts per probe interval.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProbeSchedule {
    in_progress: bool,
    next_at: Nanos,
}

impl ProbeSchedule {
    /// Starts probing a service that has become unhealthy. The first probe is due after `delay`. The caller
    /// passes a random part of the probe interval, so that the servers of a fleet do not all probe at the
    /// same time.
    pub fn begin(&mut self, now: Nanos, delay: Nanos) {
        self.next_at = now + delay;
    }

    /// Returns the time at which the next probe is due. Returns `None` while a probe is in progress.
    pub fn next_at(&self) -> Option<Nanos> {
        (!self.in_progress).then_some(self.next_at)
    }

    /// Whether a probe is due.
    pub fn is_due(&self, now: Nanos) -> bool {
        self.next_at().is_some_and(|at| at <= now)
    }

    /// Records that a probe has started at `now`. The next probe is due `interval` later.
    pub fn start(&mut self, now: Nanos, interval: Nanos) {
        self.in_progress = true;
        self.next_at = now + interval;
    }

    /// Records that the probe in progress has ended.
    pub fn end(&mut self) {
        self.in_progress = false;
    }
}
