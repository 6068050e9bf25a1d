//! Accounts of tenants, as many as the settings state and no more. Whoever used its account last stands
//! first in a list through all of them, so that the one to give up is found at once.

use crate::level::{Ask, Flow, Ratio};
use crate::{Nanos, Print};
use std::collections::HashMap;

/// An account unused for this long may be given to another, if it owes nothing.
const IDLE: Nanos = 10_000_000_000;
/// Bytes of a name that are kept to show it.
const SHOWN: usize = 48;
/// Bytes that a map entry takes beside what it holds, at its fullest and its emptiest.
pub(crate) const MAP_ENTRY: usize = 2;

#[derive(Clone, Debug)]
pub struct Account {
    /// Fair time up to which it has used its share, and where its queues end in the order: of what is
    /// within its share, and beyond it.
    pub finish: f64,
    pub order: [f64; 2],
    /// Fair time up to which its places are promised.
    pub booked: f64,
    pub weight: f64,
    /// Its work as a ratio to what is guessed of its operations.
    pub ratio: Ratio,
    pub named: bool,
    pub within: u64,
    pub surplus: u64,
    asks: Flow,
    name: [u8; SHOWN],
    len: u16,
}

impl Account {
    pub fn new(name: &[u8], weight: f64, finish: f64, now: Nanos) -> Self {
        let mut kept = [0; SHOWN];
        let shown = &name[..name.len().min(SHOWN)];
        kept[..shown.len()].copy_from_slice(shown);
        let mut asks = Flow::default();
        asks.add(now, 0.0);
        let len = name.len().min(usize::from(u16::MAX)) as u16;
        let (within, surplus, named) = (0, 0, false);
        Self {
            finish,
            order: [0.0; 2],
            booked: 0.0,
            weight,
            ratio: Ratio::default(),
            named,
            within,
            surplus,
            asks,
            name: kept,
            len,
        }
    }

    pub fn asked(&mut self, now: Nanos, work: f64) {
        self.asks.add(now, work);
    }

    pub fn asks_now(&self, now: Nanos) -> f64 {
        self.asks.cores(now)
    }

    /// Escaped where it is no plain text, cut where it is long.
    pub fn shown(&self) -> String {
        let len = usize::from(self.len);
        let text = self.name[..len.min(SHOWN)].escape_ascii().to_string();
        if len > SHOWN { format!("{text}...") } else { text }
    }
}

/// An account, and which of those that had this place.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Slot {
    at: u32,
    serial: u32,
}

#[derive(Debug)]
struct Kept {
    account: Account,
    print: Print,
    serial: u32,
    used: Nanos,
    /// Neighbours in the order of use.
    newer: u32,
    older: u32,
}

const NONE: u32 = u32::MAX;

#[derive(Debug)]
pub struct Index {
    most: usize,
    kept: Vec<Kept>,
    places: HashMap<Print, u32>,
    newest: u32,
    oldest: u32,
    serials: u32,
}

impl Index {
    pub fn new(most: usize) -> Self {
        let most = most.min(NONE as usize - 1);
        Self { most, kept: Vec::new(), places: HashMap::new(), newest: NONE, oldest: NONE, serials: 0 }
    }

    pub fn ceiling(most: usize) -> usize {
        2 * most * size_of::<Kept>() + Self::map_ceiling(most)
    }

    fn map_ceiling(most: usize) -> usize {
        MAP_ENTRY * most * (size_of::<(Print, u32)>() + 1) * 8 / 7 + 64
    }

    pub fn bytes(&self) -> usize {
        let entry = size_of::<(Print, u32)>() + 1;
        self.kept.capacity() * size_of::<Kept>() + self.places.capacity() * 8 / 7 * entry
    }

    pub fn len(&self) -> usize {
        self.kept.len()
    }

    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    /// One that stays for good; with what it has used, where it had an account before. There is room: the
    /// settings allow half as many named ones as accounts.
    pub fn pin(&mut self, print: Print, mut account: Account) {
        account.named = true;
        if let Some(at) = self.places.get(&print).copied() {
            if !self.kept[at as usize].account.named {
                self.unlink(at);
            }
            let kept = &mut self.kept[at as usize].account;
            (kept.named, kept.weight) = (true, account.weight);
        } else if self.kept.len() < self.most {
            self.add(print, account, 0);
        } else if self.oldest != NONE {
            let at = self.oldest;
            self.unlink(at);
            self.give_to(at, print, account, 0);
        }
    }

    /// One that was named is named no more; others stay as they are.
    pub fn unpin(&mut self, print: Print, weight: f64, now: Nanos) {
        let Some(at) = self.places.get(&print).copied() else { return };
        let kept = &mut self.kept[at as usize];
        if std::mem::take(&mut kept.account.named) {
            (kept.account.weight, kept.used) = (weight, now);
            self.link_first(at);
        }
    }

    fn give_to(&mut self, at: u32, print: Print, account: Account, now: Nanos) {
        self.serials = self.serials.wrapping_add(1);
        let kept = &mut self.kept[at as usize];
        kept.account = account;
        let gone_print = std::mem::replace(&mut kept.print, print);
        (kept.serial, kept.used) = (self.serials, now);
        self.places.remove(&gone_print);
        self.places.insert(print, at);
    }

    fn add(&mut self, print: Print, account: Account, now: Nanos) -> Slot {
        self.serials = self.serials.wrapping_add(1);
        let at = self.kept.len() as u32;
        let kept = Kept { account, print, serial: self.serials, used: now, newer: NONE, older: NONE };
        self.kept.push(kept);
        self.places.insert(print, at);
        self.link_first(at);
        Slot { at, serial: self.serials }
    }

    fn unlink(&mut self, at: u32) {
        let (newer, older) = (self.kept[at as usize].newer, self.kept[at as usize].older);
        if newer == NONE {
            self.newest = older
        } else {
            self.kept[newer as usize].older = older
        }
        if older == NONE { self.oldest = newer } else { self.kept[older as usize].newer = newer }
    }

    fn link_first(&mut self, at: u32) {
        // Named ones are never given up and stand in no order.
        if self.kept[at as usize].account.named {
            return;
        }
        (self.kept[at as usize].newer, self.kept[at as usize].older) = (NONE, self.newest);
        if self.newest == NONE {
            self.oldest = at
        } else {
            self.kept[self.newest as usize].newer = at
        }
        self.newest = at;
    }

    /// The account of this print, which is in use now.
    pub fn find(&mut self, print: Print, now: Nanos) -> Option<Slot> {
        let at = *self.places.get(&print)?;
        let kept = &mut self.kept[at as usize];
        kept.used = kept.used.max(now);
        let slot = Slot { at, serial: kept.serial };
        if !kept.account.named {
            self.unlink(at);
            self.link_first(at);
        }
        Some(slot)
    }

    pub fn get(&mut self, slot: Slot) -> Option<&mut Account> {
        let kept = self.kept.get_mut(slot.at as usize)?;
        (kept.serial == slot.serial).then_some(&mut kept.account)
    }

    /// A place for a new one: a free one, or that of the one unused for longest if it owes nothing and is
    /// idle, or the new one is far over its share; true where one lost it, which then owes nothing that could
    /// be forgotten. `None` where all are in use: nobody loses an account to a crowd, only to one that must
    /// be watched more closely.
    pub fn take_in(
        &mut self,
        print: Print,
        account: Account,
        now: Nanos,
        fair_time: f64,
        over: bool,
    ) -> Option<(Slot, bool)> {
        if self.kept.len() < self.most {
            return Some((self.add(print, account, now), false));
        }
        let at = self.oldest;
        let kept = self.kept.get_mut(at as usize)?;
        let idle = (over || now.saturating_sub(kept.used) > IDLE) && kept.account.finish <= fair_time;
        if !idle {
            return None;
        }
        self.give_to(at, print, account, now);
        self.unlink(at);
        self.link_first(at);
        Some((Slot { at, serial: self.serials }, true))
    }

    /// What each asks for of late.
    pub fn asks(&self, now: Nanos) -> impl Iterator<Item = Ask> {
        let ask = move |kept: &Kept| Ask {
            cores: kept.account.asks_now(now),
            weight: kept.account.weight,
            many: 1.0,
        };
        self.kept.iter().map(ask)
    }

    /// Those that ask for most, the heaviest first.
    pub fn heaviest(&self, now: Nanos, most: usize) -> Vec<&Account> {
        let mut all: Vec<&Account> = self.kept.iter().map(|kept| &kept.account).collect();
        let heavier = |a: &&Account, b: &&Account| b.asks_now(now).total_cmp(&a.asks_now(now));
        if all.len() > most {
            all.select_nth_unstable_by(most, heavier);
            all.truncate(most);
        }
        all.sort_unstable_by(heavier);
        all
    }
}
