//! Which names have been seen, and since when: a set-associative table of short tags of their fingerprints.
//!
//! A name that has been seen often enough is evicted by time alone, not by any number of new names.

use crate::Nanos;
use crate::tenant::Fingerprint;

/// Records in one set.
const WAYS: usize = 16;
/// Resolution of the times kept, in nanoseconds.
const STEP_NS: Nanos = 250_000_000;
/// Visits are counted up to here; 0 stands for a free record.
const VISITS_MAX: u16 = 15;
/// Bits of [`NameRecord::last_visit`] that count visits.
const VISITS_BITS: u16 = 4;
/// Steps are kept modulo 2^12 beside the count of visits.
const STEP_MASK: u16 = 0xfff;
/// Steps without a visit after which a proven name may be evicted.
const PROVEN_FOR_STEPS: u16 = 1200;

#[derive(Clone, Copy, Debug, Default)]
struct NameRecord {
    tag: u32,
    /// Step of the first visit.
    first_visit: u16,
    /// Step of the last visit in twelve bits, and the number of visits in four.
    last_visit: u16,
}

impl NameRecord {
    fn new(tag: u32, step: u16) -> Self {
        Self { tag, first_visit: step, last_visit: Self::pack(step, 1) }
    }

    fn pack(step: u16, visits: u16) -> u16 {
        (step & STEP_MASK) << VISITS_BITS | visits.min(VISITS_MAX)
    }

    fn visits(self) -> u16 {
        self.last_visit & VISITS_MAX
    }

    fn steps_unused(self, step: u16) -> u16 {
        (step & STEP_MASK).wrapping_sub(self.last_visit >> VISITS_BITS) & STEP_MASK
    }
}

/// What was known of a name before a visit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Acquaintance {
    /// Earlier visits, counted up to 15.
    pub visits: u8,
    /// Time since the first of them, in nanoseconds.
    pub known_for: Nanos,
}

/// The table.
#[derive(Debug)]
pub struct KnownNames {
    sets: Vec<[NameRecord; WAYS]>,
    /// Visits after which a name is proven.
    proven_visits: u16,
}

impl KnownNames {
    /// A table of so many names, rounded up.
    pub fn new(names: usize, proven_visits: u8) -> Self {
        let sets = vec![[NameRecord::default(); WAYS]; Self::sets(names)];
        Self { sets, proven_visits: u16::from(proven_visits) }
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
    pub fn visit(&mut self, name: Fingerprint, now: Nanos) -> Acquaintance {
        let step = (now / STEP_NS) as u16;
        let sets = self.sets.len();
        let set = &mut self.sets[(name >> 32) as usize % sets];
        let tag = (name as u32) | 1;
        let found = set.iter_mut().find(|record| record.tag == tag && record.visits() > 0);
        if let Some(record) = found.filter(|record| record.steps_unused(step) <= PROVEN_FOR_STEPS) {
            let known_for = Nanos::from(step.wrapping_sub(record.first_visit)) * STEP_NS;
            let before = Acquaintance { visits: record.visits() as u8, known_for };
            record.last_visit = NameRecord::pack(step, record.visits() + 1);
            return before;
        }
        Self::replace_least(set, self.proven_visits, NameRecord::new(tag, step), step);
        Acquaintance::default()
    }

    /// Puts a record in the place of the one with the fewest visits, of equals of the one unused for longest.
    /// A proven one stays until it is old; then the new name is not recorded.
    fn replace_least(set: &mut [NameRecord; WAYS], proven_visits: u16, new: NameRecord, step: u16) {
        let rank =
            |record: &&mut NameRecord| (record.visits().min(proven_visits), !record.steps_unused(step));
        let Some(least) = set.iter_mut().min_by_key(rank) else { return };
        if least.visits() < proven_visits || least.steps_unused(step) > PROVEN_FOR_STEPS {
            *least = new;
        }
    }
}
