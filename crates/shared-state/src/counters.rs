//! Counters with totals over the whole fleet, kept in a state-based CRDT of grow-only counters (G-Counter;
//! Shapiro and others, 2011).
//!
//! Each server increments only the counts in its own row. Two copies of a row are merged by taking the larger
//! count of each key. The result therefore does not depend on how often, in which order or from which server
//! a row is received. The total of a key is the sum of its counts over all rows, and is exact once all rows
//! have been received.
//!
//! Trust in peers is limited. The counts of a row may grow no faster than [`Limits::rate_max`] since the
//! start of the row's server, the numbers of rows and keys are bounded, and no message can increase the
//! receiving server's own row.

use crate::NAME_MAX;
use crate::clock::Nanos;
use crate::server_id::{ServerId, is_valid_name};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::ops::Bound;
use thiserror::Error;

/// Name of a counter, such as `succeeded/basic/tenant`. The length is 1 to 64 bytes.
pub type Key = String;

const SECOND_NS: Nanos = 1_000_000_000;
/// Time by which a peer's wall clock may be ahead of this server's wall clock, in seconds. Without this
/// tolerance, the counts of such a peer could be rejected as too large.
const CLOCK_AHEAD_S: u64 = 60;

/// Counts of all keys for one incarnation of a server.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CounterRow {
    /// Count of each key.
    pub counts: BTreeMap<Key, u64>,
}

impl CounterRow {
    /// Returns the version of the row. The version is the sum of the row's counts, so every increment of a
    /// count increases the version.
    pub fn version(&self) -> u64 {
        self.counts.values().fold(0, |sum, count| sum.saturating_add(*count))
    }

    /// Merges another copy of the row into this copy. For each key, the larger of the two counts is kept.
    /// Returns whether any count in this copy increased.
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

/// List of counter rows, each with the server incarnation to which it belongs.
pub type Rows = Vec<(ServerId, CounterRow)>;
/// List of the versions of counter rows, each with the server incarnation to which the row belongs.
pub type Versions = Vec<(ServerId, u64)>;

/// Limits on the counter rows that a server accepts from its peers.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of stored rows, one for each server incarnation.
    pub rows: usize,
    /// Maximum number of keys in each row.
    pub keys: usize,
    /// Maximum growth rate of a count, per second. The rate is the mean since the start of the server that
    /// increments the count.
    pub rate_max: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { rows: 4096, keys: 256, rate_max: 1_000_000 }
    }
}

/// Reason why a received counter row is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RejectedRow {
    /// The row would exceed a limit on the number of rows or of keys in a row, or a name is invalid. The
    /// server name and each key must have 1 to 64 bytes.
    #[error("row: too many rows or keys, or a name not of 1 to {NAME_MAX} bytes")]
    Full,
    /// A count in the row is too large for the time since the start of the row's server.
    #[error("row: a count is larger than its server can have reached since its start")]
    Implausible,
    /// The row belongs to this server's own incarnation, but has a larger count than this server. Either
    /// another server has the same name and incarnation, or this server has restarted with its old
    /// incarnation and lower counts. This server must switch to a later incarnation
    /// ([`FleetCounters::renew`]).
    #[error("row: ahead of this server's own counts")]
    Own,
}

/// Number of received rows that were rejected, for each reason. All counts begin at 0 when the server starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RejectedRows {
    /// Number of rows rejected because of a limit or an invalid name ([`RejectedRow::Full`]).
    pub full: u64,
    /// Number of rows rejected because a count is too large for the time since the row's server started
    /// ([`RejectedRow::Implausible`]).
    pub implausible: u64,
    /// Number of rows of this server itself that were rejected because a count is larger than this server's
    /// own count ([`RejectedRow::Own`]).
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

/// Versions of the counter rows in a range of server incarnations. Another server compares the versions with
/// those of its own rows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Digest {
    /// Server incarnations in the range, each with the version of its row.
    pub versions: Versions,
    /// First server incarnation after the range, or `None` if the range extends to the last row.
    pub end: Option<ServerId>,
}

/// Result of comparing the versions of counter rows at this server with the versions at another server. Only
/// the rows in a range of server incarnations are compared.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Comparison {
    /// Rows for which this server has a newer version than the other server.
    pub newer: Rows,
    /// Versions of this server's rows in the range.
    pub versions: Versions,
}

/// One server's copy of the fleet's counter rows.
#[derive(Clone, Debug)]
pub struct FleetCounters {
    /// Name and incarnation of the row that this server increments. The incarnation is at first that of the
    /// process. [`FleetCounters::renew`] replaces it with a later incarnation.
    id: ServerId,
    rows: BTreeMap<ServerId, CounterRow>,
    limits: Limits,
    /// Number of received rows that were rejected, for each reason. All counts begin at 0 when the server
    /// starts.
    pub rejected: RejectedRows,
}

impl FleetCounters {
    /// Creates the counters of the server `id`, with an empty row.
    pub fn new(id: ServerId, limits: Limits) -> FleetCounters {
        let rows = BTreeMap::from([(id.clone(), CounterRow::default())]);
        FleetCounters { id, rows, limits, rejected: RejectedRows::default() }
    }

    /// Adds `count` to a key of this server's row. Returns whether the count was added. A new key is ignored
    /// if its length is invalid or the row already has the maximum number of keys.
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

    /// Merges a received row of the server incarnation `server` into the stored row. `wall` is the current
    /// wall clock time, in nanoseconds since the Unix epoch. Returns whether any stored count increased.
    ///
    /// # Errors
    ///
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

    /// Returns the versions of a range of the stored rows. The range has at most `rows_max` rows and begins
    /// with the row at index `start`.
    pub fn digest(&self, start: usize, rows_max: usize) -> Digest {
        let mut rows = self.rows.iter().skip(start);
        let part = rows.by_ref().take(rows_max);
        let versions = part.map(|(server, row)| (server.clone(), row.version())).collect();
        Digest { versions, end: rows.next().map(|(server, _)| server.clone()) }
    }

    /// Returns the rows of the server incarnations from `start` (inclusive) to `end` (exclusive). If a bound
    /// is `None`, the range is not limited on that side.
    fn range<'a>(
        &'a self,
        start: &'a Option<ServerId>,
        end: &'a Option<ServerId>,
    ) -> impl Iterator<Item = (&'a ServerId, &'a CounterRow)> {
        let first = start.as_ref().map_or(Bound::Unbounded, Bound::Included);
        let rows = self.rows.range::<ServerId, _>((first, Bound::Unbounded));
        rows.take_while(|(server, _)| end.as_ref().is_none_or(|end| *server < end))
    }

    /// Compares this server's rows with the versions that another server has. Only the rows of the
    /// incarnations from `start` (inclusive) to `end` (exclusive) are compared.
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

    /// Returns the total of a key over all rows that this server has received so far.
    pub fn total(&self, key: &str) -> u64 {
        self.rows.values().fold(0, |sum, row| sum.saturating_add(row.get(key)))
    }

    /// Returns the totals of all keys over all rows received so far, ordered by key.
    pub fn totals(&self) -> BTreeMap<&str, u64> {
        let mut totals: BTreeMap<&str, u64> = BTreeMap::new();
        for (key, count) in self.rows.values().flat_map(|row| &row.counts) {
            let total = totals.entry(key).or_default();
            *total = total.saturating_add(*count);
        }
        totals
    }

    /// Returns the number of stored rows. There is one row for each known server incarnation.
    pub fn rows(&self) -> usize {
        self.rows.len()
    }

    /// Begins a new row for this server, under the later incarnation `incarnation`. The old row is kept and
    /// still counts in the totals.
    pub fn renew(&mut self, incarnation: u64) {
        self.id.incarnation = incarnation;
        self.rows.entry(self.id.clone()).or_default();
    }
}
