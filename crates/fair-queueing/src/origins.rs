//! Tracks newcomers (tenants whose names are not yet established) by origin. An origin is the peer of the
//! connection or a sender that the operator trusts, so a sender cannot forge its origin.
//!
//! All newcomers of an origin share one [`Origin`] record, as if they were a single tenant. If an origin
//! sends more distinct names than allowed, the weight of each established name decreases. All these names
//! together then have about the weight of the allowed number of names. A sender thus gains little by
//! inventing names.

use crate::Nanos;
use crate::demand::{DecayingRate, Demand};
use crate::hyperloglog::WindowedCount;
use crate::learned_ratio::LearnedRatio;
use crate::memory;
use crate::queue_order::QueueTails;
use crate::tenant::Fingerprint;
use std::collections::HashMap;

/// Time without an arrival from an origin, in nanoseconds, after which another origin may take over the idle
/// origin's slot in the table.
const IDLE_NS: Nanos = 60_000_000_000;
/// Length of the time window for counting the distinct names of an origin, in units of the probation. The
/// probation is the minimum time until a new name becomes established
/// ([`Settings::probation`](crate::settings::Settings::probation)).
const WINDOW_PROBATIONS: u64 = 8;
/// Sampling interval of names: on average, one of this many names is selected by its fingerprint. Only the
/// first arrival in a time window and arrivals with a selected name compute a new estimate of the number of
/// names that their origin has sent. Other arrivals use the latest estimate, since a new estimate must read
/// all registers.
const NAMES_PER_ESTIMATE: u64 = 16;
/// Number of registers of the HyperLogLog estimator that counts the distinct names of an origin.
const NAME_REGISTERS: usize = 64;
/// Multiplier for Fibonacci hashing. Once the table of origins is full, the hash of a new origin's id selects
/// an existing slot.
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Usage record shared by all newcomers of one origin. Newcomers are tenants whose names are not yet
/// established.
#[derive(Debug, Default)]
pub struct Origin {
    id: u64,
    /// Virtual time up to which the origin's newcomers have used their common share, in nanoseconds of one
    /// core per unit of weight.
    pub finish: f64,
    /// Queue tails: the start tags that the next arrivals of the origin's newcomers will get. All newcomers
    /// of the origin share two queues, one within the share and one for surplus arrivals.
    pub tails: QueueTails,
    /// Virtual time up to which the newcomers' common share is reserved, in nanoseconds of one core per unit
    /// of weight. The reservations are for retries that the scheduler has promised to admit.
    pub booked_until: f64,
    /// Learned ratio of the newcomers: the work that their earlier invocations used, divided by the work that
    /// their operations usually need.
    pub ratio: LearnedRatio,
    demand: DecayingRate,
    used_at: Nanos,
    names: WindowedCount<NAME_REGISTERS>,
    /// Latest estimate of the number of distinct names that the origin has sent. The value is 0 if no
    /// estimate has been computed yet in the current time window.
    estimated_names: f64,
}

impl Origin {
    fn new(id: u64, now: Nanos) -> Self {
        Self { id, used_at: now, names: WindowedCount::new(now), ..Self::default() }
    }
}

/// Table of usage records, one record for each origin, with a maximum size.
#[derive(Debug)]
pub struct Origins {
    limit: usize,
    names_per_origin: f64,
    /// Length of the time window for counting the distinct names of an origin, in nanoseconds.
    window: Nanos,
    origins: Vec<Origin>,
    indices: HashMap<u64, usize>,
}

impl Origins {
    /// Creates a table of at most `limit` origins. If an origin sends more than `names_per_origin` tenant
    /// names in a time window, the weight of each name is reduced. The window is a multiple of `probation`,
    /// the minimum time until a new name becomes established.
    pub fn new(limit: usize, names_per_origin: f64, probation: Nanos) -> Self {
        Self {
            limit: limit.max(1),
            names_per_origin,
            window: probation.max(1) * WINDOW_PROBATIONS,
            origins: Vec::new(),
            indices: HashMap::new(),
        }
    }

    /// Returns the maximum memory of a table of `limit` origins, in bytes.
    pub fn bytes_max(limit: usize) -> usize {
        2 * limit.max(4) * size_of::<Origin>() + memory::map_bytes_max::<u64, usize>(limit)
    }

    /// Returns the memory that the table uses now, in bytes.
    pub fn bytes(&self) -> usize {
        self.origins.capacity() * size_of::<Origin>() + memory::map_bytes(&self.indices)
    }

    /// Sets the maximum number of tenant names that one origin may send at full weight. If an origin sends
    /// more names, the weight of each name is reduced.
    pub fn set_names_per_origin(&mut self, names: f64) {
        self.names_per_origin = names;
    }

    /// Returns the index of an origin's slot in the table, adding the origin if necessary. Once the table is
    /// full, the hash of a new origin's id selects an existing slot. The new origin takes the slot over if
    /// its owner is idle; otherwise the two origins share the slot.
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

    /// Reassigns a slot of the table to another origin. The new origin starts with the previous origin's used
    /// share, queue tails and reserved share.
    fn replace(&mut self, index: usize, id: u64, now: Nanos) {
        let origin = &mut self.origins[index];
        self.indices.remove(&origin.id);
        let (finish, tails, booked_until) = (origin.finish, origin.tails, origin.booked_until);
        *origin = Origin { finish, tails, booked_until, ..Origin::new(id, now) };
        self.indices.insert(id, index);
    }

    /// Records that an origin has sent a name. Returns the factor by which the weight of the name is
    /// multiplied. The factor is 1, or less if the origin has sent more names than allowed at full weight.
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
    /// the operation usually needs, in nanoseconds of one core.
    ///
    /// Returns two values: the index of the origin's slot, and the estimated work of the arrival. The
    /// estimate is `work` multiplied by a ratio that is learned from the origin's newcomers. The ratio is the
    /// work that their invocations used, divided by the work that their operations usually need.
    pub fn record_newcomer(&mut self, id: u64, now: Nanos, work: f64) -> (usize, f64) {
        let index = self.find_or_insert(id, now);
        let origin = &mut self.origins[index];
        let estimated_work = work * origin.ratio.get();
        origin.demand.add(now, estimated_work);
        (index, estimated_work)
    }

    /// Returns the record of an origin. `index` is an index returned by [`Origins::record_newcomer`].
    pub fn get(&self, index: usize) -> &Origin {
        &self.origins[index]
    }

    /// Returns a mutable reference to the record of an origin; see [`Origins::get`].
    pub fn get_mut(&mut self, index: usize) -> &mut Origin {
        &mut self.origins[index]
    }

    /// Returns one demand for each origin: the total recent demand of the origin's newcomers. Every demand
    /// has the same `weight`.
    pub fn demands(&self, now: Nanos, weight: f64) -> impl Iterator<Item = Demand> {
        self.origins.iter().map(move |origin| Demand {
            cores: origin.demand.cores(now),
            weight,
            tenants: 1.0,
        })
    }
}
