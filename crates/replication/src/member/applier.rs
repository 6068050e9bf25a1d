//! Which revision the host is to apply next, and what became of those before.

use crate::committed_log::CommittedLog;
use crate::message::{REASON_BYTES_MAX, Rejection};
use crate::snapshot::Snapshot;
use crate::time::{Nanos, SECOND_NS};

/// For so long after it first learns of a revision, a member learns from others how far the log goes.
const CATCH_UP_NS: Nanos = 2 * SECOND_NS;
/// Longest encoding of a character, in bytes.
const CHARACTER_BYTES_MAX: usize = 4;

/// One revision at a time is applied by the host, which may reject it.
#[derive(Debug, Default)]
pub(super) struct Applier {
    /// The last revision applied since the start; never falls.
    applied: u64,
    /// The revision that the host is applying.
    applying: Option<u64>,
    /// The last revision rejected, unless a later one was applied.
    rejected: Option<Rejection>,
    /// The log held a revision from disk at the start.
    started_from_disk: bool,
    /// The highest number learnt from others in the first moments.
    catch_up_target: u64,
    /// When these end; 0 until something is learnt.
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

    /// Another member holds the log up to a number. Only what is learnt in the first moments is waited for:
    /// while changes keep coming, a later target would never be reached.
    pub(super) fn on_newest_number(&mut self, number: u64, now: Nanos) {
        if self.catch_up_until == 0 && number > 0 {
            self.catch_up_until = now + CATCH_UP_NS;
        }
        if now < self.catch_up_until {
            self.catch_up_target = self.catch_up_target.max(number);
        }
    }

    /// The newest complete revision, where it is to be applied now. It is returned once, and no other until
    /// its outcome is known.
    ///
    /// A member that started with an empty disk first catches up: what it had applied before its restart may
    /// be newer than what comes first, and no server goes back to an older revision.
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

    /// The host has applied a revision.
    pub(super) fn on_applied(&mut self, number: u64) {
        self.applying = None;
        self.applied = self.applied.max(number);
        self.rejected.take_if(|rejection| rejection.number <= number);
    }

    /// The host has rejected a revision, which is not offered again.
    pub(super) fn on_rejected(&mut self, number: u64, reason: &str) {
        self.applying = None;
        let reason = reason.chars().take(REASON_BYTES_MAX / CHARACTER_BYTES_MAX).collect();
        self.rejected = Some(Rejection { number, reason });
    }
}
