//! Table of tenants' accounts (usage records) with a maximum size. The accounts that may be evicted are in a
//! list ordered by last use (LRU list).
//!
//! Each account has a finish, the virtual time up to which the tenant has used its share. Invariant:
//! [`Accounts::insert`] evicts an account only if virtual time has reached the account's finish. The tenant
//! then has not used its share in advance, so the eviction loses no recorded usage. [`Accounts::pin`] does
//! not check the finish.

use crate::Nanos;
use crate::account::Account;
use crate::demand::Demand;
use crate::memory;
use crate::tenant::Fingerprint;
use std::collections::HashMap;

/// Time without an arrival after which a tenant counts as idle and its account may be evicted, in
/// nanoseconds.
const IDLE_NS: Nanos = 10_000_000_000;
/// Marker for "no entry" in the links of the LRU list, in place of an index.
const NONE: u32 = u32::MAX;

/// Reference to an account in the table. The reference becomes invalid when the account is evicted and its
/// place is given to another tenant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Slot {
    index: u32,
    serial: u32,
}

/// Result of inserting an account into the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Insertion {
    /// Slot of the new account.
    pub slot: Slot,
    /// Whether the insertion evicted another tenant's account.
    pub evicted: bool,
}

#[derive(Debug)]
struct Entry {
    account: Account,
    fingerprint: Fingerprint,
    /// Serial number of this account. Each account that is placed at this index gets a new number. A [`Slot`]
    /// of an evicted account is therefore detected as invalid.
    serial: u32,
    used_at: Nanos,
    /// Index of the neighbour in the LRU list that was used more recently than this entry. [`NONE`] if this
    /// entry is the most recently used.
    newer: u32,
    /// Index of the neighbour in the LRU list that was used less recently than this entry. [`NONE`] if this
    /// entry is the least recently used.
    older: u32,
}

/// Table of the accounts (usage records) of established tenants, with a maximum size.
#[derive(Debug)]
pub struct Accounts {
    limit: usize,
    entries: Vec<Entry>,
    indices: HashMap<Fingerprint, u32>,
    newest: u32,
    oldest: u32,
    last_serial: u32,
}

impl Accounts {
    /// Creates a table of at most `limit` accounts.
    pub fn new(limit: usize) -> Self {
        Self {
            limit: limit.min(NONE as usize - 1),
            entries: Vec::new(),
            indices: HashMap::new(),
            newest: NONE,
            oldest: NONE,
            last_serial: 0,
        }
    }

    /// Returns the maximum memory of a table of `limit` accounts, in bytes.
    pub fn bytes_max(limit: usize) -> usize {
        2 * limit * size_of::<Entry>() + memory::map_bytes_max::<Fingerprint, u32>(limit)
    }

    /// Returns the memory that the table uses now, in bytes.
    pub fn bytes(&self) -> usize {
        self.entries.capacity() * size_of::<Entry>() + memory::map_bytes(&self.indices)
    }

    /// Returns the number of accounts in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table has no accounts.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Marks a tenant as named (listed by name in the settings), so that its account is never evicted. An
    /// existing account of the tenant keeps its recorded usage and gets the weight of `account`. If the
    /// tenant has no account, `account` is inserted. If the table is full, `account` replaces the least
    /// recently used account. The settings allow at most half as many named tenants as accounts, so an
    /// account that can be replaced always exists.
    pub fn pin(&mut self, fingerprint: Fingerprint, mut account: Account) {
        account.named = true;
        if let Some(index) = self.indices.get(&fingerprint).copied() {
            if !self.entries[index as usize].account.named {
                self.unlink(index);
            }
            let known = &mut self.entries[index as usize].account;
            (known.named, known.weight) = (true, account.weight);
        } else if self.entries.len() < self.limit {
            self.push(fingerprint, account, 0);
        } else if self.oldest != NONE {
            let index = self.oldest;
            self.unlink(index);
            self.replace(index, fingerprint, account, 0);
        }
    }

    /// Ends the protection of a named tenant's account against eviction, and sets the tenant's weight. Has no
    /// effect if the tenant is not named.
    pub fn unpin(&mut self, fingerprint: Fingerprint, weight: f64, now: Nanos) {
        let Some(index) = self.indices.get(&fingerprint).copied() else { return };
        let entry = &mut self.entries[index as usize];
        if std::mem::take(&mut entry.account.named) {
            (entry.account.weight, entry.used_at) = (weight, now);
            self.link_newest(index);
        }
    }

    fn next_serial(&mut self) -> u32 {
        self.last_serial = self.last_serial.wrapping_add(1);
        self.last_serial
    }

    fn push(&mut self, fingerprint: Fingerprint, account: Account, now: Nanos) -> Slot {
        let serial = self.next_serial();
        let index = self.entries.len() as u32;
        self.entries.push(Entry { account, fingerprint, serial, used_at: now, newer: NONE, older: NONE });
        self.indices.insert(fingerprint, index);
        self.link_newest(index);
        Slot { index, serial }
    }

    fn replace(&mut self, index: u32, fingerprint: Fingerprint, account: Account, now: Nanos) -> Slot {
        let serial = self.next_serial();
        let entry = &mut self.entries[index as usize];
        let evicted = std::mem::replace(&mut entry.fingerprint, fingerprint);
        entry.account = account;
        (entry.serial, entry.used_at) = (serial, now);
        self.indices.remove(&evicted);
        self.indices.insert(fingerprint, index);
        Slot { index, serial }
    }

    fn unlink(&mut self, index: u32) {
        let entry = &self.entries[index as usize];
        let (newer, older) = (entry.newer, entry.older);
        match newer {
            NONE => self.newest = older,
            _ => self.entries[newer as usize].older = older,
        }
        match older {
            NONE => self.oldest = newer,
            _ => self.entries[older as usize].newer = newer,
        }
    }

    /// Inserts an account at the most recently used end of the LRU list. Has no effect for a named tenant,
    /// whose account is never evicted and therefore not in the list.
    fn link_newest(&mut self, index: u32) {
        let previous = self.newest;
        let entry = &mut self.entries[index as usize];
        if entry.account.named {
            return;
        }
        (entry.newer, entry.older) = (NONE, previous);
        match previous {
            NONE => self.oldest = index,
            _ => self.entries[previous as usize].newer = index,
        }
        self.newest = index;
    }

    /// Returns a reference to a tenant's account and marks the account as used at `now`. Returns `None` if
    /// the tenant has no account.
    pub fn find(&mut self, fingerprint: Fingerprint, now: Nanos) -> Option<Slot> {
        let index = *self.indices.get(&fingerprint)?;
        let entry = &mut self.entries[index as usize];
        entry.used_at = entry.used_at.max(now);
        let slot = Slot { index, serial: entry.serial };
        if !entry.account.named {
            self.unlink(index);
            self.link_newest(index);
        }
        Some(slot)
    }

    /// Returns the account that `slot` refers to, or `None` if its place has been reassigned to another
    /// tenant.
    pub fn get_mut(&mut self, slot: Slot) -> Option<&mut Account> {
        let entry = self.entries.get_mut(slot.index as usize)?;
        (entry.serial == slot.serial).then_some(&mut entry.account)
    }

    /// Inserts an account in a free place of the table. If the table is full, the least recently used account
    /// is evicted. Returns `None` if that account must be kept.
    ///
    /// An account may be evicted only under two conditions. First, its tenant must not have used its share
    /// beyond `virtual_time`, so that no recorded usage is lost. Second, its tenant must be idle, or the new
    /// tenant must be over its share (`over_share`). Only a new tenant over its share may replace an account
    /// in use, since that tenant's usage needs exact tracking.
    pub fn insert(
        &mut self,
        fingerprint: Fingerprint,
        account: Account,
        now: Nanos,
        virtual_time: f64,
        over_share: bool,
    ) -> Option<Insertion> {
        if self.entries.len() < self.limit {
            return Some(Insertion { slot: self.push(fingerprint, account, now), evicted: false });
        }
        let index = self.oldest;
        let entry = self.entries.get(index as usize)?;
        let is_idle = now.saturating_sub(entry.used_at) > IDLE_NS;
        let may_evict = (over_share || is_idle) && entry.account.finish <= virtual_time;
        if !may_evict {
            return None;
        }
        let slot = self.replace(index, fingerprint, account, now);
        self.unlink(index);
        self.link_newest(index);
        Some(Insertion { slot, evicted: true })
    }

    /// Returns the recent demand of each tenant with an account.
    pub fn demands(&self, now: Nanos) -> impl Iterator<Item = Demand> {
        self.entries.iter().map(move |entry| Demand {
            cores: entry.account.demand(now),
            weight: entry.account.weight,
            tenants: 1.0,
        })
    }

    /// Returns the accounts with the highest recent demand, in descending order of demand. The list has at
    /// most `limit` accounts.
    pub fn by_demand(&self, now: Nanos, limit: usize) -> Vec<&Account> {
        let mut accounts: Vec<&Account> = self.entries.iter().map(|entry| &entry.account).collect();
        let larger = |a: &&Account, b: &&Account| b.demand(now).total_cmp(&a.demand(now));
        if accounts.len() > limit {
            accounts.select_nth_unstable_by(limit, larger);
            accounts.truncate(limit);
        }
        accounts.sort_unstable_by(larger);
        accounts
    }
}
