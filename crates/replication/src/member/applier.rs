//! Selects the revision of the configuration that the host applies next. Records which revisions the host has
//! applied or rejected.

use crate::committed_log::CommittedLog;
use crate::message::{REASON_BYTES_MAX, Rejection};
use crate::snapshot::Snapshot;
use crate::time::{Nanos, SECOND_NS};

/// Duration of a member's catch-up period. The period begins when the member, after its start, first learns
/// of a revision from another member. If the member started with an empty disk, it first has to catch up: it
/// applies no revision until its log is as long as the longest log that other members report during this
/// period.
const CATCH_UP_NS: Nanos = 2 * SECOND_NS;
/// Maximum UTF-8 length of a character, in bytes. Used to convert the maximum length of a reason from bytes
/// to characters.
const CHARACTER_BYTES_MAX: usize = 4;

/// Passes revisions to the host, one at a time. The host applies or rejects each revision.
#[derive(Debug, Default)]
pub(super) struct Applier {
    /// Number of the last revision that the host has applied since the member started. Never decreases.
    applied: u64,
    /// Number of the revision that the host has received, but not yet applied or rejected. `None` if there is
    /// no such revision.
    applying: Option<u64>,
    /// The last revision that the host rejected. `None` if the host has rejected none, or has since applied a
    /// later revision.
    rejected: Option<Rejection>,
    /// Whether the member found a revision on its disk when it started. If not, it applies no revision before
    /// it has caught up with the other members.
    started_from_disk: bool,
    /// Number of the last entry in the longest log that other members reported during the catch-up period
    /// ([`CATCH_UP_NS`]). A member that started with an empty disk applies no revision before its own log
    /// reaches this number.
    catch_up_target: u64,
    /// End of the catch-up period ([`CATCH_UP_NS`]), in Unix nanoseconds. The value is 0 until another member
    /// reports a revision.
    catch_up_until: Nanos,
}

impl Applier {
    pub(super) fn new(started_from_disk: bool) -> Applier {
        Applier { started_from_disk, ..Applier::default() }
    }

    pub(super) fn applied(&self) -> u64 {
        self.applied
    }

    pub(super) fn rejected(&self) -> Option<&Rejection> {
        self.rejected.as_ref()
    }

    /// Records that another member's log ends at entry `number`. During the catch-up period, raises
    /// `catch_up_target` to this number if it is higher. A member that started with an empty disk applies no
    /// revision before its own log reaches the target. After the period, the target stays the same, because a
    /// target that rose with every change might never be reached.
    pub(super) fn on_newest_number(&mut self, number: u64, now: Nanos) {
        if self.catch_up_until == 0 && number > 0 {
            self.catch_up_until = now + CATCH_UP_NS;
        }
        if now < self.catch_up_until {
            self.catch_up_target = self.catch_up_target.max(number);
        }
    }

    /// Returns the newest complete revision if the host is to apply it now. Each revision is returned only
    /// once, and only after the host has applied or rejected the previous one.
    ///
    /// A member that started with an empty disk returns no revision until it has caught up with the other
    /// members. The reason is that a server must never go back to an older revision. Before its restart, the
    /// member may have applied a newer revision than the first one that it receives now.
    pub(super) fn next(&mut self, log: &CommittedLog) -> Option<Snapshot> {
        let catches_up = log.number() < self.catch_up_target && !self.started_from_disk;
        if self.applied == 0 && catches_up {
            return None;
        }
        let complete = log.complete();
        let rejected = self.rejected.as_ref().map_or(0, |rejection| rejection.number);
        if self.applying.is_some() || complete.number() <= self.applied.max(rejected) {
            return None;
        }
        self.applying = Some(complete.number());
        Some(complete.clone())
    }

    /// Records that the host has applied a revision.
    pub(super) fn on_applied(&mut self, number: u64) {
        self.applying = None;
        self.applied = self.applied.max(number);
        self.rejected.take_if(|rejection| rejection.number <= number);
    }

    /// Records that the host has rejected a revision. A rejected revision is not passed to the host again.
    pub(super) fn on_rejected(&mut self, number: u64, reason: &str) {
        self.applying = None;
        let reason = reason.chars().take(REASON_BYTES_MAX / CHARACTER_BYTES_MAX).collect();
        self.rejected = Some(Rejection { number, reason });
    }
}
