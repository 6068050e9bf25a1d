//! Table of recently seen tenant names. For each name it holds the number of visits (arrivals with the name)
//! and the times of the first and the last visit. The table is set-associative and stores a short tag derived
//! from each name's fingerprint.
//!
//! A name with at least the number of visits passed to [`KnownNames::new`] is evicted only after 300 s
//! without a visit, even if many new names arrive.
//!
//! Times are stored as counts of 250 ms that wrap around. The last visit has 12 bits, so a name without a
//! visit for 1,024 s, or for a multiple of 1,024 s, appears to have been visited just now. The first visit
//! has 16 bits, so the time since the first visit restarts at 0 after 16,384 s.

use crate::Nanos;
use crate::tenant::Fingerprint;

/// Number of records in one set of the set-associative table.
const WAYS: usize = 16;
/// Resolution of the stored times at which arrivals with a name occurred, in nanoseconds.
const STEP_NS: Nanos = 250_000_000;
/// Maximum number of visits (arrivals with the name) that a record can hold. Further visits are not counted.
/// A record with 0 visits is free.
const VISITS_MAX: u16 = 15;
/// Number of bits of [`NameRecord::last_visit_and_count`] that hold the number of visits (arrivals with the
/// name).
const VISITS_BITS: u16 = 4;
/// Mask for the 12 bits that store the time of the last visit (arrival with the name). The other 4 bits of
/// the 16-bit field store the number of visits.
const STEP_MASK: u16 = 0xfff;
/// Time without a visit (an arrival with the name) after which any name may be evicted, in nanoseconds. Until
/// then, a name with at least [`KnownNames::kept_visits`] visits is kept.
const UNUSED_MAX_NS: Nanos = 300_000_000_000;
const UNUSED_MAX_STEPS: u16 = (UNUSED_MAX_NS / STEP_NS) as u16;

#[derive(Clone, Copy, Debug, Default)]
struct NameRecord {
    tag: u32,
    /// Time of the first visit (arrival with the name), in steps of [`STEP_NS`], modulo 2^16.
    first_visit: u16,
    /// Time of the last visit (arrival with the name) and number of visits. The time is in the upper 12 bits,
    /// in steps of [`STEP_NS`] modulo 2^12. The number of visits is in the lower 4 bits.
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

/// Earlier visits of a name (arrivals with the name), without the current visit. All values are 0 if the name
/// was not in the table, or if its last visit was more than 300 s ago.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NameHistory {
    /// Number of earlier visits (arrivals with the name), at most 15.
    pub visits: u8,
    /// Time since the first visit (arrival with the name), in nanoseconds.
    pub since_first_visit: Nanos,
}

/// Table of recently seen names.
#[derive(Debug)]
pub struct KnownNames {
    sets: Vec<[NameRecord; WAYS]>,
    /// Number of visits (arrivals with the name) that protects a name from eviction. A name with at least
    /// this many visits is evicted only after [`UNUSED_MAX_NS`] without another visit.
    kept_visits: u16,
}

impl KnownNames {
    /// Creates a table with capacity for at least `names` names. A name with at least `kept_visits` visits
    /// (arrivals with the name) is evicted only after 300 s without another visit.
    pub fn new(names: usize, kept_visits: u8) -> Self {
        let sets = vec![[NameRecord::default(); WAYS]; Self::sets(names)];
        Self { sets, kept_visits: u16::from(kept_visits) }
    }

    fn sets(names: usize) -> usize {
        names.div_ceil(WAYS).next_power_of_two()
    }

    /// Returns the maximum memory of a table with capacity for `names` names, in bytes.
    pub fn bytes_max(names: usize) -> usize {
        Self::sets(names) * size_of::<[NameRecord; WAYS]>()
    }

    /// Returns the memory that the table uses now, in bytes.
    pub fn bytes(&self) -> usize {
        self.sets.capacity() * size_of::<[NameRecord; WAYS]>()
    }

    /// Records a visit of a name (an arrival with the name). Returns the number of the name's earlier visits
    /// and the time since its first visit.
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
        Self::replace_least_visited(set, self.kept_visits, NameRecord::new(tag, step), step);
        NameHistory::default()
    }

    /// Stores `new` in place of the record with the fewest visits. Visits above `kept_visits` do not count in
    /// the comparison. Among records with equal counts, the least recently visited record is replaced.
    ///
    /// A record with at least `kept_visits` visits is replaced only after [`UNUSED_MAX_NS`] without a visit.
    /// If no record of the set may be replaced, `new` is not stored.
    fn replace_least_visited(set: &mut [NameRecord; WAYS], kept_visits: u16, new: NameRecord, step: u16) {
        let rank = |record: &&mut NameRecord| (record.visits().min(kept_visits), !record.steps_unused(step));
        let Some(least_visited) = set.iter_mut().min_by_key(rank) else { return };
        if least_visited.visits() < kept_visits || least_visited.steps_unused(step) > UNUSED_MAX_STEPS {
            *least_visited = new;
        }
    }
}
