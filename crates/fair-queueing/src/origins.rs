//! Shares of newcomers (tenants whose names are not yet established), tracked by origin. An origin is the
//! peer of the connection or a sender that the operator trusts, and a sender cannot forge it.
//!
//! All newcomers of one origin share one [`Origin`] record, as if they were a single tenant. If an origin
//! sends more distinct names than allowed, the weight of each name decreases. A sender that invents names
//! therefore gains no more than one tenant's share.

use crate::Nanos;
use crate::demand::{DecayingRate, Demand};
use crate::hyperloglog::WindowedCount;
use crate::learned_ratio::LearnedRatio;
use crate::memory;
use crate::queue_order::QueueTails;
use crate::tenant::Fingerprint;
use std::collections::HashMap;

/// Time without an arrival after which an origin's slot in the table may be reassigned to another origin, in
/// nanoseconds.
const IDLE_NS: Nanos = 60_000_000_000;
/// Length of the time window over which the distinct names of an origin are counted, as a multiple of
/// [`Settings::probation`](crate::settings::Settings::probation).
const WINDOW_PROBATIONS: u64 = 8;
/// Reciprocal of the fraction of names whose arrivals recompute the estimated number of names of their
/// origin. Arrivals with other names use the latest estimate, since computing an estimate reads all
/// registers.
const NAMES_PER_ESTIMATE: u64 = 16;
/// Number of registers of the HyperLogLog estimator that counts an origin's names.
const NAME_REGISTERS: usize = 64;
/// Multiplier of the hash that maps origins beyond the table's limit to existing slots (Fibonacci hashing).
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Usage record shared by all newcomers of one origin.
#[derive(Debug, Default)]
pub struct Origin {
    id: u64,
    /// Virtual time up to which the newcomers have used their common share.
    pub finish: f64,
    /// Start tags that the newcomers' next arrivals will get, in each of the two queues that they share.
    pub tails: QueueTails,
    /// Virtual time up to which promises of admission have reserved the newcomers' share.
    pub booked_until: f64,
    /// Ratio of the work that the newcomers' invocations use to the work that their operations usually need,
    /// learned from earlier invocations.
    pub ratio: LearnedRatio,
    demand: DecayingRate,
    used_at: Nanos,
    names: WindowedCount<NAME_REGISTERS>,
    /// Latest estimate of the number of distinct names of the origin; 0 if none has been computed yet in the
    /// current time window.
    estimated_names: f64,
}

impl Origin {
    fn new(id: u64, now: Nanos) -> Self {
        Self { id, used_at: now, names: WindowedCount::new(now), ..Self::default() }
    }
}

/// Table of the usage records of origins, up to a limit.
#[derive(Debug)]
pub struct Origins {
    limit: usize,
    names_per_origin: f64,
    /// Length of the time window over which the distinct names of an origin are counted, in nanoseconds.
    window: Nanos,
    origins: Vec<Origin>,
    indices: HashMap<u64, usize>,
}

impl Origins {
    /// Creates a table of at most `limit` origins. Up to `names_per_origin` tenant names of one origin keep
    /// their full weight. `probation` determines the time window over which names are counted.
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

    /// Returns the memory in use, in bytes.
    pub fn bytes(&self) -> usize {
        self.origins.capacity() * size_of::<Origin>() + memory::map_bytes(&self.indices)
    }

    /// Sets the maximum number of tenant names of one origin that keep their full weight. If an origin sends
    /// more names, the weight of each is reduced.
    pub fn set_names_per_origin(&mut self, names: f64) {
        self.names_per_origin = names;
    }

    /// Returns the index of the slot that holds an origin's record. Once the table is full, a new origin
    /// shares the slot that its id hashes to, or takes the slot over if that has been idle.
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

    /// Reassigns a slot to another origin. The new origin takes over the used share, the queue tails and the
    /// reserved share of the previous origin.
    fn replace(&mut self, index: usize, id: u64, now: Nanos) {
        let origin = &mut self.origins[index];
        self.indices.remove(&origin.id);
        let (finish, tails, booked_until) = (origin.finish, origin.tails, origin.booked_until);
        *origin = Origin { finish, tails, booked_until, ..Origin::new(id, now) };
        self.indices.insert(id, index);
    }

    /// Records a name of an origin, and returns the factor by which the name's weight is multiplied, at most
    /// 1.
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

    /// Records the demand of an arrival whose tenant is a newcomer of origin `id`. `work` is the work that
    /// the operation usually needs, in nanoseconds of one core. Returns the index of the origin's slot, and
    /// `work` multiplied by the learned ratio of the origin's newcomers.
    pub fn record_newcomer(&mut self, id: u64, now: Nanos, work: f64) -> (usize, f64) {
        let index = self.find_or_insert(id, now);
        let origin = &mut self.origins[index];
        let estimated_work = work * origin.ratio.get();
        origin.demand.add(now, estimated_work);
        (index, estimated_work)
    }

    /// Returns the record at an index returned by [`Origins::record_newcomer`].
    pub fn get(&self, index: usize) -> &Origin {
        &self.origins[index]
    }

    /// Mutable variant of [`Origins::get`].
    pub fn get_mut(&mut self, index: usize) -> &mut Origin {
        &mut self.origins[index]
    }

    /// Returns one demand for each origin: the recent demand of all its newcomers together, with the given
    /// weight.
    pub fn demands(&self, now: Nanos, weight: f64) -> impl Iterator<Item = Demand> {
        self.origins.iter().map(move |origin| Demand {
            cores: origin.demand.cores(now),
            weight,
            tenants: 1.0,
        })
    }
}
