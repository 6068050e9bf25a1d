//! Counts of the whole fleet: a state-based CRDT of grow-only counters. Each server raises only its own row;
//! rows merge by the larger figure of each key, so that it does not matter how often, in which order and by
//! whom a row comes. The total is the sum over all rows, exact once all have been heard.
//!
//! Peers are not believed without bounds: a row grows no faster than `rate_max` allows since its server's
//! start, the number of rows and of keys is bounded, and nobody else's word raises a server's own row.

use crate::ServerId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::ops::Bound;

/// What is counted; a name of 1 to 64 bytes, like `succeeded/basic/tenant`.
pub type Key = String;

/// One server's own counts, in one life of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    pub of: BTreeMap<Key, u64>,
}

impl Row {
    /// Grows with every count: a row with a larger one knows more of that server.
    pub fn version(&self) -> u64 {
        self.of.values().fold(0, |sum, each| sum.saturating_add(*each))
    }

    /// The larger of both for each key; says whether anything was new.
    pub fn merge(&mut self, other: &Row) -> bool {
        let mut grew = false;
        for (key, count) in &other.of {
            match self.of.get_mut(key) {
                Some(mine) if *mine >= *count => {}
                Some(mine) => (*mine, grew) = (*count, true),
                None => {
                    self.of.insert(key.clone(), *count);
                    grew = true;
                }
            }
        }
        grew
    }
}

/// Servers' lives with what is known of each.
pub type Rows = Vec<(ServerId, Row)>;
pub type Versions = Vec<(ServerId, u64)>;

#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Servers' lives remembered, and keys of each.
    pub rows: usize,
    pub keys: usize,
    /// Most that one key of a server grows by in a second of its life, and what a new one may hold at once.
    pub rate_max: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { rows: 4096, keys: 256, rate_max: 1_000_000 }
    }
}

/// Why a row was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// More rows or keys than there is room for, or a name too long.
    Full,
    /// More than such a server can have counted since its start.
    Absurd,
    /// Of this server's own life, and more than it has counted: another goes by its name and incarnation, or
    /// it came back with old counts. It is to take a later incarnation.
    Own,
}

#[derive(Clone, Debug)]
pub struct Counts {
    me: ServerId,
    rows: BTreeMap<ServerId, Row>,
    limits: Limits,
    /// Rows refused by reason: full, absurd, own.
    pub refused: [u64; 3],
}

impl Counts {
    pub fn new(me: ServerId, limits: Limits) -> Counts {
        let rows = BTreeMap::from([(me.clone(), Row::default())]);
        Counts { me, rows, limits, refused: [0; 3] }
    }

    /// Counts so much more here; what has no room or too long a name is not counted.
    pub fn add(&mut self, key: &str, more: u64) -> bool {
        let keys = self.limits.keys;
        let row = self.rows.get_mut(&self.me).expect("made at the start");
        if let Some(count) = row.of.get_mut(key) {
            *count = count.saturating_add(more);
            return true;
        }
        let fits = row.of.len() < keys && (1..=crate::NAME_MAX).contains(&key.len());
        if fits {
            row.of.insert(key.to_string(), more);
        }
        fits
    }

    /// A row as another tells it, at `wall` nanoseconds since the epoch, in which incarnations are.
    pub fn merge(&mut self, of: &ServerId, row: &Row, wall: u64) -> Result<bool, Refused> {
        let refusal = self.refusal(of, row, wall);
        if let Some(why) = refusal {
            self.refused[why as usize] += 1;
            return Err(why);
        }
        if *of == self.me {
            return Ok(false);
        }
        Ok(self.rows.entry(of.clone()).or_default().merge(row))
    }

    fn refusal(&self, of: &ServerId, row: &Row, wall: u64) -> Option<Refused> {
        let known = self.rows.get(of);
        if *of == self.me {
            let mine = known.expect("made at the start");
            let ahead = row.of.iter().any(|(key, count)| *count > mine.of.get(key).copied().unwrap_or(0));
            return ahead.then_some(Refused::Own);
        }
        let named = (1..=crate::NAME_MAX).contains(&of.name.len())
            && row.of.keys().all(|key| (1..=crate::NAME_MAX).contains(&key.len()));
        let new = row.of.keys().filter(|key| known.is_none_or(|known| !known.of.contains_key(*key))).count();
        let keys = known.map_or(0, |known| known.of.len()) + new;
        if !named || keys > self.limits.keys || (known.is_none() && self.rows.len() >= self.limits.rows) {
            return Some(Refused::Full);
        }
        // A clock ahead by a minute is believed.
        let lived = wall.saturating_sub(of.incarnation) / 1_000_000_000 + 60;
        let most = self.limits.rate_max.saturating_mul(lived);
        row.of.values().any(|count| *count > most).then_some(Refused::Absurd)
    }

    /// What is known of so many servers' lives from the one at `start` on (around the end of the list it
    /// stops), to compare with another's; and where it stops.
    pub fn digest(&self, start: usize, most: usize) -> (Vec<(ServerId, u64)>, Option<ServerId>) {
        let mut rows = self.rows.iter().skip(start);
        let known = rows.by_ref().take(most).map(|(who, row)| (who.clone(), row.version())).collect();
        (known, rows.next().map(|(who, _)| who.clone()))
    }

    /// The lives from one to before another, either end open where absent.
    fn between<'a>(
        &'a self,
        from: &'a Option<ServerId>,
        before: &'a Option<ServerId>,
    ) -> impl Iterator<Item = (&'a ServerId, &'a Row)> {
        let first = from.as_ref().map_or(Bound::Unbounded, Bound::Included);
        let rows = self.rows.range::<ServerId, _>((first, Bound::Unbounded));
        rows.take_while(|(who, _)| before.as_ref().is_none_or(|before| *who < before))
    }

    /// Rows between both of which a holder of that digest knows less, and the digest of this one there.
    pub fn compare(
        &self,
        from: &Option<ServerId>,
        before: &Option<ServerId>,
        theirs: &[(ServerId, u64)],
    ) -> (Rows, Versions) {
        let theirs: BTreeMap<&ServerId, u64> = theirs.iter().map(|(who, version)| (who, *version)).collect();
        let more = |who: &ServerId, row: &Row| {
            theirs.get(who).is_none_or(|version| row.version() > *version) && !row.of.is_empty()
        };
        let newer = self.between(from, before).filter(|(who, row)| more(who, row));
        let newer = newer.map(|(who, row)| (who.clone(), row.clone())).collect();
        let mine = self.between(from, before).map(|(who, row)| (who.clone(), row.version())).collect();
        (newer, mine)
    }

    /// The fleet's total of a key, as far as heard.
    pub fn total(&self, key: &str) -> u64 {
        let of_key = self.rows.values().filter_map(|row| row.of.get(key));
        of_key.fold(0, |sum, count| sum.saturating_add(*count))
    }

    /// All totals, in the order of their keys.
    pub fn totals(&self) -> BTreeMap<&str, u64> {
        let mut totals: BTreeMap<&str, u64> = BTreeMap::new();
        for (key, count) in self.rows.values().flat_map(|row| &row.of) {
            let total = totals.entry(key).or_default();
            *total = total.saturating_add(*count);
        }
        totals
    }

    pub fn rows(&self) -> usize {
        self.rows.len()
    }

    /// Takes a later incarnation: the old row stays, as that of a life that is over.
    pub fn renew(&mut self, incarnation: u64) {
        self.me.incarnation = incarnation;
        self.rows.entry(self.me.clone()).or_default();
    }
}
