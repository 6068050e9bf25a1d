//! Recently seen names and the times of their first visits: a set-associative table of short tags derived
//! from the names' fingerprints.
//!
//! A name with enough visits is evicted only after 300 s without a visit, however many new names arrive.
//!
//! Times are stored in steps of 250 ms that wrap around. The last visit has 12 bits, so a name that has been
//! unused for 1,024 s, or a multiple of that, appears to have been used just now. The first visit has 16
//! bits, so the time since the first visit restarts at 0 after 16,384 s.

use crate::Nanos;
use crate::tenant::Fingerprint;

/// Number of records in one set.
const WAYS: usize = 16;
/// Resolution of the stored times, in nanoseconds.
const STEP_NS: Nanos = 250_000_000;
/// Maximum stored number of visits; 0 marks a free record.
const VISITS_MAX: u16 = 15;
/// Number of bits of [`NameRecord::last_visit_and_count`] that hold the visit count.
const VISITS_BITS: u16 = 4;
/// Mask of the last visit's step, which is stored modulo 2^12 next to the visit count.
const STEP_MASK: u16 = 0xfff;
/// Time without a visit after which a name with enough visits may be evicted, in nanoseconds.
const UNUSED_MAX_NS: Nanos = 300_000_000_000;
const UNUSED_MAX_STEPS: u16 = (UNUSED_MAX_NS / STEP_NS) as u16;

#[derive(Clone, Copy, Debug, Default)]
struct NameRecord {
    tag: u32,
    /// Step of the first visit.
    first_visit: u16,
    /// Step of the last visit in the upper 12 bits, and the number of visits in the lower 4.
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

/// Record of a name before a visit; all zero if the name was not in the table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NameHistory {
    /// Number of earlier visits, at most 15.
    pub visits: u8,
    /// Time since the first visit, in nanoseconds.
    pub since_first_visit: Nanos,
}

/// Table of recently seen names.
#[derive(Debug)]
pub struct KnownNames {
    sets: Vec<[NameRecord; WAYS]>,
    /// Number of visits after which a name is evicted only after [`UNUSED_MAX_NS`] without another visit.
    kept_visits: u16,
}

impl KnownNames {
    /// Creates a table for this many names, rounded up. A name with at least `kept_visits` visits is evicted
    /// only after 300 s without another visit.
    pub fn new(names: usize, kept_visits: u8) -> Self {
        let sets = vec![[NameRecord::default(); WAYS]; Self::sets(names)];
        Self { sets, kept_visits: u16::from(kept_visits) }
    }

    fn sets(names: usize) -> usize {
        names.div_ceil(WAYS).next_power_of_two()
    }

    /// Returns the bytes that a table for this many names takes.
    pub fn bytes_max(names: usize) -> usize {
        Self::sets(names) * size_of::<[NameRecord; WAYS]>()
    }

    /// Returns the bytes in use.
    pub fn bytes(&self) -> usize {
        self.sets.capacity() * size_of::<[NameRecord; WAYS]>()
    }

    /// Records a visit and returns the record before it.
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

    /// Replaces the record with the fewest visits, and among equals the one unused for longest. A record with
    /// at least `kept_visits` visits is replaced only after [`UNUSED_MAX_NS`] without a visit. If no record
    /// may be replaced, the new name is not stored.
    fn replace_least_visited(set: &mut [NameRecord; WAYS], kept_visits: u16, new: NameRecord, step: u16) {
        let rank = |record: &&mut NameRecord| (record.visits().min(kept_visits), !record.steps_unused(step));
        let Some(least_visited) = set.iter_mut().min_by_key(rank) else { return };
        if least_visited.visits() < kept_visits || least_visited.steps_unused(step) > UNUSED_MAX_STEPS {
            *least_visited = new;
        }
    }
}
