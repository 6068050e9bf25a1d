//! References of recent runs that must not run twice, so that a reference that comes again is recognized
//! after its first invocation has left the table. The table does no I/O and reads no clock.

use meadowstream_overload_control::Nanos;
use std::collections::{HashSet, VecDeque};

/// Maximum number of references. The oldest is forgotten when there are more.
const REFERENCES_MAX: usize = 65_536;

struct RecentRun {
    reference: u64,
    forget_at: Nanos,
}

/// References of recent runs.
#[derive(Default)]
pub struct RecentRuns {
    references: HashSet<u64>,
    /// The same references, the oldest first.
    by_age: VecDeque<RecentRun>,
}

impl RecentRuns {
    /// Remembers the reference of a run until `forget_at`. This time must not decrease from call to call.
    pub fn insert(&mut self, reference: u64, forget_at: Nanos) {
        if self.by_age.len() == REFERENCES_MAX {
            self.forget_oldest();
        }
        if self.references.insert(reference) {
            self.by_age.push_back(RecentRun { reference, forget_at });
        }
    }

    /// Returns whether a run with this reference is remembered.
    pub fn contains(&mut self, now: Nanos, reference: u64) -> bool {
        while self.by_age.front().is_some_and(|run| run.forget_at <= now) {
            self.forget_oldest();
        }
        self.references.contains(&reference)
    }

    fn forget_oldest(&mut self) {
        if let Some(run) = self.by_age.pop_front() {
            self.references.remove(&run.reference);
        }
    }
}

#[cfg(test)]
mod tests;
