//! Where calls come from: a connection's peer, or a sender that the operator trusts. Origins cannot be made
//! up.
//!
//! Names that have not been seen for long share one [`Origin`], as one tenant would, and where an origin
//! brings more names than it may, each of them weighs less. Made-up names thus bring nobody more than one
//! tenant's share.

use crate::Nanos;
use crate::demand::{DecayingRate, Demand};
use crate::hyperloglog::WindowedCount;
use crate::learned_ratio::LearnedRatio;
use crate::memory;
use crate::queue_order::QueueTails;
use crate::tenant::Fingerprint;
use std::collections::HashMap;

/// An origin unused for this long may lose its slot to another, in nanoseconds.
const IDLE_NS: Nanos = 60_000_000_000;
/// Names of an origin are counted over windows of so many times the probation.
const WINDOW_PROBATIONS: u64 = 8;
/// The names are estimated again for one name in so many.
const NAMES_PER_ESTIMATE: u64 = 16;
/// Registers of the count of an origin's names.
const NAME_REGISTERS: usize = 64;
/// Spreads origins beyond the limit over the slots (Fibonacci hashing).
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// What the newcomers of one origin have used together.
#[derive(Debug, Default)]
pub struct Origin {
    id: u64,
    /// Virtual time up to which they have used their share.
    pub finish: f64,
    /// Where their queues end.
    pub tails: QueueTails,
    /// Virtual time up to which their share is promised.
    pub booked_until: f64,
    /// Their work as a ratio to the usual work.
    pub ratio: LearnedRatio,
    demand: DecayingRate,
    used_at: Nanos,
    names: WindowedCount<NAME_REGISTERS>,
    /// The last estimate of [`Origin::names`]; 0 where there is none of this window.
    estimated_names: f64,
}

impl Origin {
    fn new(id: u64, now: Nanos) -> Self {
        Self { id, used_at: now, names: WindowedCount::new(now), ..Self::default() }
    }
}

/// All origins, up to a limit.
#[derive(Debug)]
pub struct Origins {
    limit: usize,
    names_per_origin: f64,
    /// Window of the counts of names, in nanoseconds.
    window: Nanos,
    origins: Vec<Origin>,
    indices: HashMap<u64, usize>,
}

impl Origins {
    /// At most `limit` origins, of which each may have `names_per_origin` names at full weight.
    pub fn new(limit: usize, names_per_origin: f64, probation: Nanos) -> Self {
        Self {
            limit: limit.max(1),
            names_per_origin,
            window: probation.max(1) * WINDOW_PROBATIONS,
            origins: Vec::new(),
            indices: HashMap::new(),
        }
    }

    /// Most bytes that so many origins take.
    pub fn bytes_max(limit: usize) -> usize {
        2 * limit.max(4) * size_of::<Origin>() + memory::map_bytes_max::<u64, usize>(limit)
    }

    /// Bytes held now.
    pub fn bytes(&self) -> usize {
        self.origins.capacity() * size_of::<Origin>() + memory::map_bytes(&self.indices)
    }

    /// Sets how many names an origin may have at full weight.
    pub fn set_names_per_origin(&mut self, names: f64) {
        self.names_per_origin = names;
    }

    /// Index of an origin's slot. Origins beyond the limit share slots, each always the same one.
    fn find_or_insert(&mut self, id: u64, now: Nanos) -> usize {
        if let Some(index) = self.indices.get(&id) {
            self.origins[*index].used_at = now;
            return *index;
        }
        if self.origins.len() < self.limit {
            self.indices.insert(id, self.origins.len());
            self.origins.push(Origin::new(id, now));
            return self.origins.len() - 1;
        }
        let index = (id.wrapping_mul(HASH_MULTIPLIER) >> 33) as usize % self.limit;
        if now.saturating_sub(self.origins[index].used_at) > IDLE_NS {
            self.replace(index, id, now);
        }
        index
    }

    /// Gives a slot to another origin; what has been used of its share stays with the slot.
    fn replace(&mut self, index: usize, id: u64, now: Nanos) {
        let origin = &mut self.origins[index];
        self.indices.remove(&origin.id);
        let (finish, tails, booked_until) = (origin.finish, origin.tails, origin.booked_until);
        *origin = Origin { finish, tails, booked_until, ..Origin::new(id, now) };
        self.indices.insert(id, index);
    }

    /// Part of its weight that a name of this origin counts with, 1 at most.
    pub fn weight_ratio(&mut self, id: u64, fingerprint: Fingerprint, now: Nanos) -> f64 {
        let (window, names_per_origin) = (self.window, self.names_per_origin);
        let index = self.find_or_insert(id, now);
        let origin = &mut self.origins[index];
        if origin.names.rotate(now, window) {
            origin.estimated_names = 0.0;
        }
        origin.names.add(fingerprint);
        if origin.estimated_names == 0.0 || fingerprint.low_half().is_multiple_of(NAMES_PER_ESTIMATE) {
            origin.estimated_names = origin.names.estimate();
        }
        (names_per_origin / origin.estimated_names).min(1.0)
    }

    /// A newcomer of this origin asks for work: returns the index of the origin's slot, and the work
    /// corrected by the ratio of its newcomers.
    pub fn record_newcomer(&mut self, id: u64, now: Nanos, work: f64) -> (usize, f64) {
        let index = self.find_or_insert(id, now);
        let origin = &mut self.origins[index];
        let estimated_work = work * origin.ratio.get();
        origin.demand.add(now, estimated_work);
        (index, estimated_work)
    }

    /// The origin at an index that [`Origins::record_newcomer`] has returned.
    pub fn get(&self, index: usize) -> &Origin {
        &self.origins[index]
    }

    /// The same, to change.
    pub fn get_mut(&mut self, index: usize) -> &mut Origin {
        &mut self.origins[index]
    }

    /// Recent demand of the newcomers of each origin.
    pub fn demands(&self, now: Nanos, weight: f64) -> impl Iterator<Item = Demand> {
        self.origins.iter().map(move |origin| Demand {
            cores: origin.demand.cores(now),
            weight,
            tenants: 1.0,
        })
    }
}
