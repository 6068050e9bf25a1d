//! Shares of new tenants, kept by origin: the connection's peer or a sender that the operator trusts. A
//! sender cannot forge its origin.
//!
//! All new names from the same origin share one [`Origin`] record, as if they were a single tenant. If an
//! origin sends more distinct names than allowed, the weight of each name decreases. Inventing names
//! therefore gains a sender no more than one tenant's share.

use crate::Nanos;
use crate::demand::{DecayingRate, Demand};
use crate::hyperloglog::WindowedCount;
use crate::learned_ratio::LearnedRatio;
use crate::memory;
use crate::queue_order::QueueTails;
use crate::tenant::Fingerprint;
use std::collections::HashMap;

/// Idle time after which an origin's slot may be reassigned to another origin, in nanoseconds.
const IDLE_NS: Nanos = 60_000_000_000;
/// Length of the window in which the names of an origin are counted, as a multiple of the probation.
const WINDOW_PROBATIONS: u64 = 8;
/// The estimated number of names is updated for one in this many names.
const NAMES_PER_ESTIMATE: u64 = 16;
/// Registers of the HyperLogLog estimator of an origin's names.
const NAME_REGISTERS: usize = 64;
/// Multiplier of the hash that assigns the origins beyond the limit to existing slots (Fibonacci hashing).
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Usage shared by all newcomers of one origin.
#[derive(Debug, Default)]
pub struct Origin {
    id: u64,
    /// Virtual time up to which the newcomers have used their common share.
    pub finish: f64,
    /// Tails of the newcomers' queues.
    pub tails: QueueTails,
    /// Virtual time up to which the newcomers' share is promised.
    pub booked_until: f64,
    /// Learned ratio of the newcomers' work to the usual work of their operations.
    pub ratio: LearnedRatio,
    demand: DecayingRate,
    used_at: Nanos,
    names: WindowedCount<NAME_REGISTERS>,
    /// Latest estimate of [`Origin::names`]; 0 if there is none yet in the current window.
    estimated_names: f64,
}

impl Origin {
    fn new(id: u64, now: Nanos) -> Self {
        Self { id, used_at: now, names: WindowedCount::new(now), ..Self::default() }
    }
}

/// Table of origins, up to a limit.
#[derive(Debug)]
pub struct Origins {
    limit: usize,
    names_per_origin: f64,
    /// Length of the window in which names are counted, in nanoseconds.
    window: Nanos,
    origins: Vec<Origin>,
    indices: HashMap<u64, usize>,
}

impl Origins {
    /// Creates a table of at most `limit` origins. Each origin may have `names_per_origin` names at full
    /// weight.
    pub fn new(limit: usize, names_per_origin: f64, probation: Nanos) -> Self {
        Self {
            limit: limit.max(1),
            names_per_origin,
            window: probation.max(1) * WINDOW_PROBATIONS,
            origins: Vec::new(),
            indices: HashMap::new(),
        }
    }

    /// Returns the most bytes that a table of `limit` origins takes.
    pub fn bytes_max(limit: usize) -> usize {
        2 * limit.max(4) * size_of::<Origin>() + memory::map_bytes_max::<u64, usize>(limit)
    }

    /// Returns the bytes in use.
    pub fn bytes(&self) -> usize {
        self.origins.capacity() * size_of::<Origin>() + memory::map_bytes(&self.indices)
    }

    /// Sets the number of names of one origin that have full weight.
    pub fn set_names_per_origin(&mut self, names: f64) {
        self.names_per_origin = names;
    }

    /// Returns the index of an origin's slot. Origins beyond the limit share existing slots; an origin always
    /// maps to the same slot.
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

    /// Reassigns a slot to another origin. The used share stays charged to the slot.
    fn replace(&mut self, index: usize, id: u64, now: Nanos) {
        let origin = &mut self.origins[index];
        self.indices.remove(&origin.id);
        let (finish, tails, booked_until) = (origin.finish, origin.tails, origin.booked_until);
        *origin = Origin { finish, tails, booked_until, ..Origin::new(id, now) };
        self.indices.insert(id, index);
    }

    /// Returns the factor by which the weight of a name from this origin is multiplied, at most 1.
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

    /// Records the demand of a newcomer of this origin. Returns the index of the origin's slot, and the work
    /// multiplied by the learned ratio of the origin's newcomers.
    pub fn record_newcomer(&mut self, id: u64, now: Nanos, work: f64) -> (usize, f64) {
        let index = self.find_or_insert(id, now);
        let origin = &mut self.origins[index];
        let estimated_work = work * origin.ratio.get();
        origin.demand.add(now, estimated_work);
        (index, estimated_work)
    }

    /// Returns the origin at an index returned by [`Origins::record_newcomer`].
    pub fn get(&self, index: usize) -> &Origin {
        &self.origins[index]
    }

    /// Mutable variant of [`Origins::get`].
    pub fn get_mut(&mut self, index: usize) -> &mut Origin {
        &mut self.origins[index]
    }

    /// Returns the recent demand of the newcomers of each origin.
    pub fn demands(&self, now: Nanos, weight: f64) -> impl Iterator<Item = Demand> {
        self.origins.iter().map(move |origin| Demand {
            cores: origin.demand.cores(now),
            weight,
            tenants: 1.0,
        })
    }
}
