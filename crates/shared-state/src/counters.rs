//! Counters of the whole fleet, kept in a state-based CRDT of grow-only counters (G-Counter; Shapiro and
//! others, 2011).
//!
//! Each server increments only its own row of counts. Two copies of a row are merged by taking the larger
//! count of each key, so that the result does not depend on how often, in which order or from which server a
//! row is received. The total of a key is the sum of its counts over all rows, and is exact once all rows
//! have been received.
//!
//! Trust in peers is limited: the counts of a row may grow no faster than [`Limits::rate_max`] since the
//! start of the row's server, the numbers of rows and keys are bounded, and no message can increase the
//! receiving server's own row.

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
/// Tolerance for a peer's wall clock that is ahead of this server's wall clock, in seconds.
const CLOCK_AHEAD_S: u64 = 60;

/// Row of counts of one incarnation of a server.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CounterRow {
    /// Count of each key.
    pub counts: BTreeMap<Key, u64>,
}

impl CounterRow {
    /// Returns the version of the row: the sum of its counts, which grows with every increment.
    pub fn version(&self) -> u64 {
        self.counts.values().fold(0, |sum, count| sum.saturating_add(*count))
    }

    /// Merges another copy of the row by taking the larger count of each key. Returns whether any count grew.
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

/// List of server incarnations, each with its counter row.
pub type Rows = Vec<(ServerId, CounterRow)>;
/// List of server incarnations, each with the version of its counter row.
pub type Versions = Vec<(ServerId, u64)>;

/// Bounds of the counter rows that peers can make a server store.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of server incarnations stored.
    pub rows: usize,
    /// Maximum number of keys in each row.
    pub keys: usize,
    /// Maximum mean growth of one key per second since the start of the row's server.
    pub rate_max: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { rows: 4096, keys: 256, rate_max: 1_000_000 }
    }
}

/// Reason for rejecting a received counter row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RejectedRow {
    /// The number of rows or of keys in the row exceeds the limits, or a server name or key has an invalid
    /// length.
    #[error("row: too many rows or keys, or a name not of 1 to {NAME_MAX} bytes")]
    Full,
    /// A count is larger than the row's server can have reached since its start.
    #[error("row: a count is larger than its server can have reached since its start")]
    Implausible,
    /// The row is for this server's own incarnation and is ahead of this server's counts. Either another
    /// server has the same name and incarnation, or this server has restarted with its old incarnation and
    /// lower counts. This server must switch to a later incarnation ([`FleetCounters::renew`]).
    #[error("row: ahead of this server's own counts")]
    Own,
}

/// Numbers of received rows that were rejected since the start of the server, by reason.
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

/// Versions of a range of the rows that a server has stored, to be compared with the rows of another server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Digest {
    /// Versions of the rows in the range.
    pub versions: Versions,
    /// First server incarnation after the range; `None` if the range extends to the last row.
    pub end: Option<ServerId>,
}

/// Result of comparing a range of this server's rows with another server's versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Comparison {
    /// Rows of which this server has a newer version than the other server.
    pub newer: Rows,
    /// This server's versions of the rows in the range.
    pub versions: Versions,
}

/// One server's copy of the counter rows of the whole fleet.
#[derive(Clone, Debug)]
pub struct FleetCounters {
    /// Identity under which this server counts. After [`FleetCounters::renew`], its incarnation is later than
    /// the start time of the process.
    id: ServerId,
    rows: BTreeMap<ServerId, CounterRow>,
    limits: Limits,
    /// Numbers of received rows that were rejected since the start of the server, by reason.
    pub rejected: RejectedRows,
}

impl FleetCounters {
    /// Creates the counters of the server `id`, all at 0.
    pub fn new(id: ServerId, limits: Limits) -> FleetCounters {
        let rows = BTreeMap::from([(id.clone(), CounterRow::default())]);
        FleetCounters { id, rows, limits, rejected: RejectedRows::default() }
    }

    /// Adds `count` to a key of this server's row. Returns whether the count was added: a new key is ignored
    /// if the row already has the maximum number of keys or the length of the key is invalid.
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

    /// Merges a received row of a server incarnation into the stored one. `wall` is the wall clock, in
    /// nanoseconds since the Unix epoch. Returns whether any count grew.
    ///
    /// # Errors
    /// Returns the reason if the row is rejected. The rejection is also counted in
    /// [`FleetCounters::rejected`].
    pub fn merge(&mut self, server: &ServerId, row: &CounterRow, wall: Nanos) -> Result<bool, RejectedRow> {
        let checked = if *server == self.id { self.check_own(row) } else { self.check(server, row, wall) };
        if let Err(reason) = checked {
            self.rejected.count(reason);
            return Err(reason);
        }
        if *server == self.id {
            return Ok(false);
        }
        Ok(self.rows.entry(server.clone()).or_default().merge(row))
    }

    fn check_own(&self, row: &CounterRow) -> Result<(), RejectedRow> {
        let own = self.rows.get(&self.id);
        let own_count = |key: &str| own.map_or(0, |own| own.get(key));
        let ahead = row.counts.iter().any(|(key, count)| *count > own_count(key));
        if ahead { Err(RejectedRow::Own) } else { Ok(()) }
    }

    fn check(&self, server: &ServerId, row: &CounterRow, wall: Nanos) -> Result<(), RejectedRow> {
        let known = self.rows.get(server);
        let is_known = |key: &Key| known.is_some_and(|known| known.counts.contains_key(key));
        let new_keys = row.counts.keys().filter(|key| !is_known(key)).count();
        let keys = known.map_or(0, |known| known.counts.len()) + new_keys;
        let valid_names = is_valid_name(&server.name) && row.counts.keys().all(|key| is_valid_name(key));
        let too_many_rows = known.is_none() && self.rows.len() >= self.limits.rows;
        if !valid_names || keys > self.limits.keys || too_many_rows {
            return Err(RejectedRow::Full);
        }
        let uptime_s = wall.saturating_sub(server.incarnation) / SECOND_NS + CLOCK_AHEAD_S;
        let count_max = self.limits.rate_max.saturating_mul(uptime_s);
        if row.counts.values().any(|count| *count > count_max) {
            return Err(RejectedRow::Implausible);
        }
        Ok(())
    }

    /// Returns the versions of at most `rows_max` rows, beginning with the row at index `start`.
    pub fn digest(&self, start: usize, rows_max: usize) -> Digest {
        let mut rows = self.rows.iter().skip(start);
        let part = rows.by_ref().take(rows_max);
        let versions = part.map(|(server, row)| (server.clone(), row.version())).collect();
        Digest { versions, end: rows.next().map(|(server, _)| server.clone()) }
    }

    /// Returns the rows from the incarnation `start` (inclusive) to `end` (exclusive). `None` means that the
    /// range has no bound on that side.
    fn range<'a>(
        &'a self,
        start: &'a Option<ServerId>,
        end: &'a Option<ServerId>,
    ) -> impl Iterator<Item = (&'a ServerId, &'a CounterRow)> {
        let first = start.as_ref().map_or(Bound::Unbounded, Bound::Included);
        let rows = self.rows.range::<ServerId, _>((first, Bound::Unbounded));
        rows.take_while(|(server, _)| end.as_ref().is_none_or(|end| *server < end))
    }

    /// Compares this server's rows from the incarnation `start` (inclusive) to `end` (exclusive) with the
    /// versions of the same rows at another server.
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

    /// Returns the total of a key over the fleet, based on the rows received so far.
    pub fn total(&self, key: &str) -> u64 {
        self.rows.values().fold(0, |sum, row| sum.saturating_add(row.get(key)))
    }

    /// Returns the totals of all keys, in the order of the keys.
    pub fn totals(&self) -> BTreeMap<&str, u64> {
        let mut totals: BTreeMap<&str, u64> = BTreeMap::new();
        for (key, count) in self.rows.values().flat_map(|row| &row.counts) {
            let total = totals.entry(key).or_default();
            *total = total.saturating_add(*count);
        }
        totals
    }

    /// Returns the number of stored rows, one for each known server incarnation.
    pub fn rows(&self) -> usize {
        self.rows.len()
    }

    /// Begins a new row for this server under a later incarnation. The old row remains stored and continues
    /// to count in the totals.
    pub fn renew(&mut self, incarnation: u64) {
        self.id.incarnation = incarnation;
        self.rows.entry(self.id.clone()).or_default();
    }
}
