//! Accounts of tenants, up to a limit, with a list in the order of their last use (LRU) through all that may
//! be evicted.
//!
//! Invariant: an account is evicted only if its tenant is not ahead of its share, so that nothing that was
//! used is forgotten with it.

use crate::Nanos;
use crate::account::Account;
use crate::demand::Demand;
use crate::memory;
use crate::tenant::Fingerprint;
use std::collections::HashMap;

/// An account unused for this long may be evicted, in nanoseconds.
const IDLE_NS: Nanos = 10_000_000_000;
/// Index of no entry.
const NONE: u32 = u32::MAX;

/// An account, until its slot is given to another tenant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Slot {
    index: u32,
    serial: u32,
}

/// A slot for a new account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Insertion {
    /// The slot.
    pub slot: Slot,
    /// Whether another tenant lost its account for it.
    pub evicted: bool,
}

#[derive(Debug)]
struct Entry {
    account: Account,
    fingerprint: Fingerprint,
    /// Distinguishes the accounts that have had this slot.
    serial: u32,
    used_at: Nanos,
    /// Neighbours in the list by last use.
    newer: u32,
    older: u32,
}

/// The accounts.
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
    /// At most `limit` accounts.
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

    /// Most bytes that so many accounts take.
    pub fn bytes_max(limit: usize) -> usize {
        2 * limit * size_of::<Entry>() + memory::map_bytes_max::<Fingerprint, u32>(limit)
    }

    /// Bytes held now.
    pub fn bytes(&self) -> usize {
        self.entries.capacity() * size_of::<Entry>() + memory::map_bytes(&self.indices)
    }

    /// Number of accounts.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Names a tenant: its account is never evicted. One that it has already keeps what it has used. There is
    /// a slot for it, since the settings allow half as many named tenants as accounts.
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

    /// A tenant is no longer named; others stay as they are.
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

    /// Puts an account first in the list by last use; named ones stand in no list.
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

    /// The account of a tenant, which is in use now.
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

    /// The account in a slot; `None` where another tenant has it now.
    pub fn get_mut(&mut self, slot: Slot) -> Option<&mut Account> {
        let entry = self.entries.get_mut(slot.index as usize)?;
        (entry.serial == slot.serial).then_some(&mut entry.account)
    }

    /// Inserts an account, in a free slot or in that of the one unused for longest. That one is evicted only
    /// if it is not ahead of `virtual_time`, and idle or the new one `over_share`, which must be watched more
    /// closely: no number of new tenants takes accounts from those in use. `None` where none may be evicted.
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

    /// Recent demand of each tenant.
    pub fn demands(&self, now: Nanos) -> impl Iterator<Item = Demand> {
        self.entries.iter().map(move |entry| Demand {
            cores: entry.account.demand(now),
            weight: entry.account.weight,
            tenants: 1.0,
        })
    }

    /// The `limit` accounts with most recent demand, the largest first.
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
