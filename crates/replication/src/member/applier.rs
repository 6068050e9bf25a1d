//! Selects the revision that the host applies next, and records which revisions it applied or rejected.

use crate::committed_log::CommittedLog;
use crate::message::{REASON_BYTES_MAX, Rejection};
use crate::snapshot::Snapshot;
use crate::time::{Nanos, SECOND_NS};

/// Duration of the catch-up period, which starts when a member first learns of a revision from another
/// member. During this period the member raises its catch-up target to the highest log end that others
/// report.
const CATCH_UP_NS: Nanos = 2 * SECOND_NS;
/// Maximum UTF-8 length of a character, in bytes.
const CHARACTER_BYTES_MAX: usize = 4;

/// Hands revisions to the host one at a time. The host applies or rejects each.
#[derive(Debug, Default)]
pub(super) struct Applier {
    /// Number of the last revision applied since the start; never decreases.
    applied: u64,
    /// Number of the revision that the host is applying.
    applying: Option<u64>,
    /// The last rejected revision, unless a later one was applied.
    rejected: Option<Rejection>,
    /// Whether the log held a revision from disk at the start.
    started_from_disk: bool,
    /// Highest log end that other members reported during the catch-up period.
    catch_up_target: u64,
    /// End of the catch-up period; 0 until another member reports a revision.
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

    /// Records that another member holds the log up to `number`. The catch-up target is raised only during
    /// the catch-up period: under a steady stream of changes, a target that keeps rising would never be
    /// reached.
    pub(super) fn on_newest_number(&mut self, number: u64, now: Nanos) {
        if self.catch_up_until == 0 && number > 0 {
            self.catch_up_until = now + CATCH_UP_NS;
        }
        if now < self.catch_up_until {
            self.catch_up_target = self.catch_up_target.max(number);
        }
    }

    /// Returns the newest complete revision if the host is to apply it now. Each revision is returned once,
    /// and the next one only after the host has applied or rejected it.
    ///
    /// A member that started with an empty disk first catches up with the others. Before its restart it may
    /// have applied a newer revision than the first one that it receives, and no server may go back to an
    /// older revision.
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

    /// Records that the host has rejected a revision, which is not handed to it again.
    pub(super) fn on_rejected(&mut self, number: u64, reason: &str) {
        self.applying = None;
        let reason = reason.chars().take(REASON_BYTES_MAX / CHARACTER_BYTES_MAX).collect();
        self.rejected = Some(Rejection { number, reason });
    }
}
