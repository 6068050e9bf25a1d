//! Counters of the whole fleet: a state-based CRDT of grow-only counters (G-Counter; Shapiro and others,
//! 2011).
//!
//! Each server increments only its own row. Rows are merged by taking the larger count of each key, so that
//! the result does not depend on how often, in which order or from which server a row is received. A total is
//! the sum over all rows, and is exact once all rows have been received.
//!
//! Trust in peers is limited: a row may grow no faster than [`Limits::rate_max`] since the start of its
//! server, the numbers of rows and keys are bounded, and no message can increase a server's own row.

use crate::NAME_MAX;
use crate::clock::Nanos;
use crate::server_id::{ServerId, is_valid_name};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::ops::Bound;
use thiserror::Error;

/// Name of a counter, 1 to 64 bytes, such as `succeeded/basic/tenant`.
pub type Key = String;

const SECOND_NS: Nanos = 1_000_000_000;
/// Tolerance for a peer's clock that is ahead of this server's, in seconds.
const CLOCK_AHEAD_S: u64 = 60;

/// Counts of one incarnation of a server.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CounterRow {
    /// Count of each key.
    pub counts: BTreeMap<Key, u64>,
}

impl CounterRow {
    /// Returns the version of the row: the sum of its counts, which grows with each increment.
    pub fn version(&self) -> u64 {
        self.counts.values().fold(0, |sum, count| sum.saturating_add(*count))
    }

    /// Merges another row by taking the larger count of each key. Returns whether any count grew.
    pub fn merge(&mut self, other: &CounterRow) -> bool {
        let mut grew = false;
        for (key, count) in &other.counts {
            match self.counts.get_mut(key) {
                Some(known) if *known >= *count => {}
                Some(known) => {
                    *known = *count;
                    grew = true;
                }
                None => {
                    self.counts.insert(key.clone(), *count);
                    grew = true;
                }
            }
        }
        grew
    }

    fn get(&self, key: &str) -> u64 {
        self.counts.get(key).copied().unwrap_or(0)
    }
}

/// Incarnations of servers, each with its row.
pub type Rows = Vec<(ServerId, CounterRow)>;
/// Incarnations of servers, each with the version of its row.
pub type Versions = Vec<(ServerId, u64)>;

/// Bounds of the state that peers can make a server store.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of server incarnations stored.
    pub rows: usize,
    /// Maximum number of keys in each row.
    pub keys: usize,
    /// Maximum growth of one key per second since the start of its server.
    pub rate_max: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { rows: 4096, keys: 256, rate_max: 1_000_000 }
    }
}

/// Reason for rejecting a received row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RejectedRow {
    /// The row or its keys exceed the limits, or a name is empty or too long.
    #[error("row: too many rows or keys, or a name not of 1 to {NAME_MAX} bytes")]
    Full,
    /// A count is larger than the server can have reached since its start.
    #[error("row: a count is larger than its server can have reached since its start")]
    Implausible,
    /// The row is for this server's own incarnation and ahead of its counts: another server has the same name
    /// and incarnation, or this server has restarted with old counts. It must switch to a later incarnation.
    #[error("row: ahead of this server's own counts")]
    Own,
}

/// Number of rows rejected since the start, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RejectedRows {
    /// Rows rejected as [`RejectedRow::Full`].
    pub full: u64,
    /// Rows rejected as [`RejectedRow::Implausible`].
    pub implausible: u64,
    /// Rows rejected as [`RejectedRow::Own`].
    pub own: u64,
}

impl RejectedRows {
    fn count(&mut self, reason: RejectedRow) {
        match reason {
            RejectedRow::Full => self.full += 1,
            RejectedRow::Implausible => self.implausible += 1,
            RejectedRow::Own => self.own += 1,
        }
    }
}

/// Versions of a range of a server's rows, for comparison with another server's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Digest {
    /// Versions of the rows in the range.
    pub versions: Versions,
    /// First incarnation after the range; `None` if the range extends to the last row.
    pub end: Option<ServerId>,
}

/// Differences between two servers' rows in the same range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Comparison {
    /// Rows that are newer here than at the other server.
    pub newer: Rows,
    /// This server's versions of the rows in the range.
    pub versions: Versions,
}

/// One server's copy of the fleet's counters.
#[derive(Clone, Debug)]
pub struct FleetCounters {
    /// Identity of this server's current row. Its incarnation is later than the server's own after
    /// [`FleetCounters::renew`].
    id: ServerId,
    rows: BTreeMap<ServerId, CounterRow>,
    limits: Limits,
    /// Number of rows rejected since the start, by reason.
    pub rejected: RejectedRows,
}

impl FleetCounters {
    /// Creates the counters of the server `id`, all at 0.
    pub fn new(id: ServerId, limits: Limits) -> FleetCounters {
        let rows = BTreeMap::from([(id.clone(), CounterRow::default())]);
        FleetCounters { id, rows, limits, rejected: RejectedRows::default() }
    }

    /// Adds to a key of this server's row. Returns whether the amount was counted: a new key is ignored if
    /// the row is full or the key's length is invalid.
    pub fn add(&mut self, key: &str, count: u64) -> bool {
        let keys_max = self.limits.keys;
        let row = self.rows.get_mut(&self.id).expect("new and renew insert this server's own row");
        if let Some(known) = row.counts.get_mut(key) {
            *known = known.saturating_add(count);
            return true;
        }
        let fits = row.counts.len() < keys_max && is_valid_name(key);
        if fits {
            row.counts.insert(key.to_string(), count);
        }
        fits
    }

    /// Merges a received row of the server `of`. `wall` is the wall clock, in nanoseconds since the Unix
    /// epoch. Returns whether any count grew.
    ///
    /// # Errors
    /// Returns the reason if the row is rejected, and counts it in [`FleetCounters::rejected`].
    pub fn merge(&mut self, of: &ServerId, row: &CounterRow, wall: Nanos) -> Result<bool, RejectedRow> {
        let checked = if *of == self.id { self.check_own(row) } else { self.check(of, row, wall) };
        if let Err(reason) = checked {
            self.rejected.count(reason);
            return Err(reason);
        }
        if *of == self.id {
            return Ok(false);
        }
        Ok(self.rows.entry(of.clone()).or_default().merge(row))
    }

    fn check_own(&self, row: &CounterRow) -> Result<(), RejectedRow> {
        let own = self.rows.get(&self.id);
        let own_count = |key: &str| own.map_or(0, |own| own.get(key));
        let ahead = row.counts.iter().any(|(key, count)| *count > own_count(key));
        if ahead { Err(RejectedRow::Own) } else { Ok(()) }
    }

    fn check(&self, of: &ServerId, row: &CounterRow, wall: Nanos) -> Result<(), RejectedRow> {
        let known = self.rows.get(of);
        let is_known = |key: &Key| known.is_some_and(|known| known.counts.contains_key(key));
        let new_keys = row.counts.keys().filter(|key| !is_known(key)).count();
        let keys = known.map_or(0, |known| known.counts.len()) + new_keys;
        let valid_names = is_valid_name(&of.name) && row.counts.keys().all(|key| is_valid_name(key));
        let too_many_rows = known.is_none() && self.rows.len() >= self.limits.rows;
        if !valid_names || keys > self.limits.keys || too_many_rows {
            return Err(RejectedRow::Full);
        }
        let lived_s = wall.saturating_sub(of.incarnation) / SECOND_NS + CLOCK_AHEAD_S;
        let count_max = self.limits.rate_max.saturating_mul(lived_s);
        if row.counts.values().any(|count| *count > count_max) {
            return Err(RejectedRow::Implausible);
        }
        Ok(())
    }

    /// Returns the versions of at most `rows_max` rows, beginning at index `start`.
    pub fn digest(&self, start: usize, rows_max: usize) -> Digest {
        let mut rows = self.rows.iter().skip(start);
        let part = rows.by_ref().take(rows_max);
        let versions = part.map(|(server, row)| (server.clone(), row.version())).collect();
        Digest { versions, end: rows.next().map(|(server, _)| server.clone()) }
    }

    /// Returns the rows from `start` (inclusive) to `end` (exclusive). An absent bound leaves that side open.
    fn range<'a>(
        &'a self,
        start: &'a Option<ServerId>,
        end: &'a Option<ServerId>,
    ) -> impl Iterator<Item = (&'a ServerId, &'a CounterRow)> {
        let first = start.as_ref().map_or(Bound::Unbounded, Bound::Included);
        let rows = self.rows.range::<ServerId, _>((first, Bound::Unbounded));
        rows.take_while(|(server, _)| end.as_ref().is_none_or(|end| *server < end))
    }

    /// Compares this server's rows from `start` (inclusive) to `end` (exclusive) with another server's
    /// versions of them.
    pub fn compare(
        &self,
        start: &Option<ServerId>,
        end: &Option<ServerId>,
        other_versions: &[(ServerId, u64)],
    ) -> Comparison {
        let other_versions: BTreeMap<&ServerId, u64> =
            other_versions.iter().map(|(server, version)| (server, *version)).collect();
        let mut newer = Vec::new();
        let mut versions = Vec::new();
        for (server, row) in self.range(start, end) {
            let version = row.version();
            let is_newer = other_versions.get(server).is_none_or(|known| version > *known);
            if is_newer && !row.counts.is_empty() {
                newer.push((server.clone(), row.clone()));
            }
            versions.push((server.clone(), version));
        }
        Comparison { newer, versions }
    }

    /// Returns the fleet's total of a key, based on the rows received so far.
    pub fn total(&self, key: &str) -> u64 {
        self.rows.values().fold(0, |sum, row| sum.saturating_add(row.get(key)))
    }

    /// Returns all totals, in the order of their keys.
    pub fn totals(&self) -> BTreeMap<&str, u64> {
        let mut totals: BTreeMap<&str, u64> = BTreeMap::new();
        for (key, count) in self.rows.values().flat_map(|row| &row.counts) {
            let total = totals.entry(key).or_default();
            *total = total.saturating_add(*count);
        }
        totals
    }

    /// Returns the number of server incarnations stored.
    pub fn rows(&self) -> usize {
        self.rows.len()
    }

    /// Switches to a later incarnation. The old row remains, as that of an incarnation that has ended.
    pub fn renew(&mut self, incarnation: u64) {
        self.id.incarnation = incarnation;
        self.rows.entry(self.id.clone()).or_default();
    }
}
