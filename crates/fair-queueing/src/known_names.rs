//! Which names have been seen, and since when: a set-associative table of short tags of their fingerprints.
//!
//! A name that has been seen often enough is evicted by time alone, not by any number of new names.
//!
//! Times are kept in steps of 250 ms that wrap round. The last visit has 12 bits: a name unused for 1,024 s
//! or a multiple of it seems to have been used just now. The first visit has 16 bits: the time since then
//! begins at 0 again after 16,384 s.

use crate::Nanos;
use crate::tenant::Fingerprint;

/// Records in one set.
const WAYS: usize = 16;
/// Resolution of the times kept, in nanoseconds.
const STEP_NS: Nanos = 250_000_000;
/// Visits are counted up to here; 0 stands for a free record.
const VISITS_MAX: u16 = 15;
/// Bits of [`NameRecord::last_visit_and_count`] that count visits.
const VISITS_BITS: u16 = 4;
/// Steps are kept modulo 2^12 beside the count of visits.
const STEP_MASK: u16 = 0xfff;
/// A name with enough visits may be evicted after so long without another, in nanoseconds.
const UNUSED_MAX_NS: Nanos = 300_000_000_000;
const UNUSED_MAX_STEPS: u16 = (UNUSED_MAX_NS / STEP_NS) as u16;

#[derive(Clone, Copy, Debug, Default)]
struct NameRecord {
    tag: u32,
    /// Step of the first visit.
    first_visit: u16,
    /// Step of the last visit in twelve bits, and the number of visits in four.
    last_visit_and_count: u16,
}

impl NameRecord {
    fn new(tag: u32, step: u16) -> Self {
        Self { tag, first_visit: step, last_visit_and_count: Self::pack(step, 1) }
    }

    fn pack(step: u16, visits: u16) -> u16 {
        (step & STEP_MASK) << VISITS_BITS | visits.min(VISITS_MAX)
    }

    fn visits(self) -> u16 {
        self.last_visit_and_count & VISITS_MAX
    }

    fn steps_unused(self, step: u16) -> u16 {
        (step & STEP_MASK).wrapping_sub(self.last_visit_and_count >> VISITS_BITS) & STEP_MASK
    }
}

/// What was recorded of a name before a visit; nothing where it is not in the table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NameHistory {
    /// Earlier visits, counted up to 15.
    pub visits: u8,
    /// Time since the first of them, in nanoseconds.
    pub since_first_visit: Nanos,
}

/// The table.
#[derive(Debug)]
pub struct KnownNames {
    sets: Vec<[NameRecord; WAYS]>,
    /// Visits after which a name stays until it has been unused for long.
    kept_visits: u16,
}

impl KnownNames {
    /// A table of so many names, rounded up; one with `kept_visits` visits is evicted by time alone.
    pub fn new(names: usize, kept_visits: u8) -> Self {
        let sets = vec![[NameRecord::default(); WAYS]; Self::sets(names)];
        Self { sets, kept_visits: u16::from(kept_visits) }
    }

    fn sets(names: usize) -> usize {
        names.div_ceil(WAYS).next_power_of_two()
    }

    /// Bytes that a table of so many names takes.
    pub fn bytes_max(names: usize) -> usize {
        Self::sets(names) * size_of::<[NameRecord; WAYS]>()
    }

    /// Bytes held now.
    pub fn bytes(&self) -> usize {
        self.sets.capacity() * size_of::<[NameRecord; WAYS]>()
    }

    /// Records a visit, and returns what was known before it.
    pub fn visit(&mut self, fingerprint: Fingerprint, now: Nanos) -> NameHistory {
        let step = (now / STEP_NS) as u16;
        let sets = self.sets.len();
        let set = &mut self.sets[fingerprint.middle_half() as usize % sets];
        let tag = (fingerprint.low_half() as u32) | 1;
        let found = set.iter_mut().find(|record| record.tag == tag && record.visits() > 0);
        if let Some(record) = found.filter(|record| record.steps_unused(step) <= UNUSED_MAX_STEPS) {
            let since_first_visit = Nanos::from(step.wrapping_sub(record.first_visit)) * STEP_NS;
            let before = NameHistory { visits: record.visits() as u8, since_first_visit };
            record.last_visit_and_count = NameRecord::pack(step, record.visits() + 1);
            return before;
        }
        Self::replace_least(set, self.kept_visits, NameRecord::new(tag, step), step);
        NameHistory::default()
    }

    /// Puts a record in the place of the one with the fewest visits, of equals of the one unused for longest.
    /// One with enough visits stays until it has been unused for long; until then the new name is not
    /// recorded.
    fn replace_least(set: &mut [NameRecord; WAYS], kept_visits: u16, new: NameRecord, step: u16) {
        let rank = |record: &&mut NameRecord| (record.visits().min(kept_visits), !record.steps_unused(step));
        let Some(least) = set.iter_mut().min_by_key(rank) else { return };
        if least.visits() < kept_visits || least.steps_unused(step) > UNUSED_MAX_STEPS {
            *least = new;
        }
    }
}
