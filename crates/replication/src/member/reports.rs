//! Reports that a member sends to the leader. A report states which revisions the member's host has applied
//! or rejected.

use super::Member;
use crate::message::{Message, Report};
use crate::time::{MILLISECOND_NS, Nanos, SECOND_NS};
use rand_chacha::rand_core::Rng;

/// Interval between two regular reports of a member to the leader.
pub(super) const REPORT_INTERVAL_NS: Nanos = 10 * SECOND_NS;
/// Maximum delay of the report about a newly applied or rejected revision. The delay is random, so that
/// members do not all report at the same time.
const REPORT_WITHIN_NS: Nanos = 200 * MILLISECOND_NS;

impl Member {
    /// Records that the host has applied a revision.
    pub fn on_applied(&mut self, number: u64, now: Nanos) {
        self.applier.on_applied(number);
        self.report_soon(now);
    }

    /// Records that the host has rejected a revision for the given `reason`, which is truncated to its
    /// maximum length. The revision is not passed to the host again.
    pub fn on_rejected(&mut self, number: u64, reason: &str, now: Nanos) {
        self.applier.on_rejected(number, reason);
        self.report_soon(now);
    }

    /// Schedules the next report within [`REPORT_WITHIN_NS`]. Called after a revision is applied or rejected,
    /// so that the leader receives the result before the next regular report.
    fn report_soon(&mut self, now: Nanos) {
        self.report_due = self.report_due.min(now + self.rng.next_u64() % REPORT_WITHIN_NS);
    }

    /// Sends a report to the leader. If no leader is known or the known leader is not alive, sends the report
    /// to a random replica.
    pub(super) fn send_report(&mut self, now: Nanos) {
        let leader = self.leader.clone().filter(|name| self.peers.is_alive(name));
        let replicas = &self.settings.replicas;
        let any = &replicas[(self.rng.next_u64() % replicas.len() as u64) as usize];
        let to = leader.unwrap_or_else(|| any.clone());
        let report = Report {
            applied: self.applier.applied(),
            committed: self.log.number(),
            rejected: self.applier.rejected().cloned(),
        };
        if to == self.name {
            self.on_report(&to, report);
        } else {
            let location = self.settings.location.clone();
            self.send(&to, &Message::Report { report, location }, now);
        }
    }

    /// Records the report of the member `from`. Does nothing on a server, which receives no reports.
    pub(super) fn on_report(&mut self, from: &str, report: Report) {
        if let Some(control) = &mut self.control {
            control.progress.on_report(from, report);
        }
    }
}
