//! Who gets how much of a server when there is not enough for all, in bounded memory for any number of
//! tenants. It decides nothing: [`Fair`] says of each arrival whether it lies within its tenant's share and
//! where it stands in fair order, and of one that is turned away when its tenant will have room again.
//!
//! The *level* is the core time a second that each unit of weight may have, so that all of a server's is
//! given out and nobody gets more than it asks for. Each tenant has a *finish*, the time up to which it has
//! used its share, on a clock that goes at the level: *fair time*, in ns of core time of a unit of weight.
//! One whose finish lies not much ahead is within its share. One that sleeps gathers nothing, since its
//! finish starts at the present again; one that takes what others leave idle pays with its place in the
//! order alone, since fair time goes faster while there is enough for all. The order is that of start-time
//! fair queuing, on a clock of its own that goes as entries come to their turn.
//!
//! Tenants seen for long enough have an account of their own in an [`index`] of a stated size; those beyond
//! it are kept in a [`sketch`], which never tells less than they have used. Names that were just made up
//! share one place for each origin, which cannot be made up ([`origins`]). [`ledger`] keeps promises.
//! `docs/fair-queues.md` names the ways weighed. Times are nanoseconds, work is nanoseconds of one core.

pub mod distinct;
pub mod index;
pub mod known;
pub mod ledger;
pub mod level;
pub mod origins;
mod retune;
pub mod sketch;
pub mod wheel;

use index::{Account, Index, Slot};
use known::Known;
use ledger::{Ledger, Return};
use level::{Level, Ratio};
use origins::Origins;
pub use retune::Retune;
use siphasher::sip128::{Hasher128, SipHasher13};
use sketch::Sketch;
use std::hash::Hasher;
use std::sync::Arc;

pub type Nanos = u64;

/// A tenant's name as it stands in calls, and its weight (above 0, a ratio).
pub type NamedTenant = (Vec<u8>, f64);

/// What each part may hold; all memory is taken by it and by nothing that peers choose.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Tenants with an account of their own.
    pub accounts: usize,
    /// Cells of the sketch for all others, rounded up to a power of two; a quarter as many names are known.
    pub cells: usize,
    /// Origins told apart; those beyond it share places.
    pub origins: usize,
    /// Promises that may stand at once.
    pub promises: usize,
    /// Names that one origin may have before their shares shrink, so that more names bring it no more.
    pub names: f64,
    /// Weight of a tenant that is not named.
    pub weight: f64,
    /// Named tenants and their weights; they have accounts from the start.
    pub named: Arc<[NamedTenant]>,
    /// So much of its share, in time, may a tenant use at once.
    pub at_once: Nanos,
    /// A name counts as known once it has been seen several times over so long.
    pub probation: Nanos,
    /// Longest time that may be promised, and how long after it a return is still as promised.
    pub longest: Nanos,
    pub late: Nanos,
}

/// Accounts that are never given to named tenants.
const UNNAMED_ACCOUNTS: usize = 16;

impl Default for Settings {
    fn default() -> Self {
        const SECOND: Nanos = 1_000_000_000;
        Self {
            accounts: 4096,
            cells: 1 << 16,
            origins: 256,
            promises: 16_384,
            names: 1024.0,
            weight: 1.0,
            named: Arc::default(),
            at_once: 15 * SECOND,
            probation: 2 * SECOND,
            longest: SECOND,
            late: SECOND / 2,
        }
    }
}

impl Settings {
    /// Why they cannot be used: what is named first, and what is wrong with it.
    pub fn fault(&self) -> Option<(&'static str, String)> {
        let weight = |weight: f64| !(weight.is_finite() && weight > 0.0);
        let named = self.named.iter().find(|(_, given)| weight(*given));
        let wrong = |least: usize, given: usize| (given < least).then(|| format!("{given} is under {least}"));
        if let Some((name, given)) = named {
            let name = String::from_utf8_lossy(name).into_owned();
            return Some(("weight", format!("{given} of {name:?} is no weight")));
        }
        let default = weight(self.weight).then(|| format!("{} is no weight", self.weight));
        let names =
            (!self.names.is_finite() || self.names < 1.0).then(|| format!("{} is under 1", self.names));
        let room = 2 * self.named.len() + UNNAMED_ACCOUNTS;
        [
            ("default", default),
            ("names", names),
            ("accounts", wrong(room, self.accounts)),
            ("cells", wrong(64, self.cells)),
            ("origins", wrong(1, self.origins)),
            ("promises", wrong(1, self.promises)),
        ]
        .into_iter()
        .find_map(|(what, why)| Some((what, why?)))
    }

    /// How many tenants may be named: half of the accounts stay for those that are not.
    pub fn named_most(&self) -> usize {
        self.accounts.saturating_sub(UNNAMED_ACCOUNTS) / 2
    }

    /// All bytes that a [`Fair`] of these settings may ever hold.
    pub fn ceiling(&self) -> usize {
        Index::ceiling(self.accounts)
            + Sketch::ceiling(self.cells)
            + Known::ceiling(self.cells / 4)
            + Origins::ceiling(self.origins)
            + Ledger::ceiling(self.promises)
            + size_of::<Fair>()
    }
}

/// Who sends: the tenant's name as it stands in the call, and an origin that cannot be made up.
#[derive(Clone, Copy, Debug)]
pub struct Who<'a> {
    pub name: &'a [u8],
    pub origin: u64,
}

/// 128 bits of a keyed hash stand for a name, whatever its length.
pub type Print = u128;

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum Place {
    #[default]
    Nowhere,
    Account(Slot),
    Newcomers(usize),
    Sketch,
}

/// What was decided of one arrival; kept by the owner and given back when it is over.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seat {
    /// Fair order: lower ones first.
    pub tag: u64,
    /// Beyond its tenant's share.
    pub surplus: bool,
    /// It came back as promised and as the promise stands.
    pub promised: bool,
    place: Place,
    print: Print,
    weight: f64,
    usual: f64,
    guess: f64,
    charged: f64,
    queued: f64,
}

/// How one that was let in or not ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// It was on the cores for so long.
    Ran(Nanos),
    /// It never was.
    Never,
}

/// What one that was turned away is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Advice {
    pub stay_away: Nanos,
    pub ticket: Option<u64>,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub within: u64,
    pub surplus: u64,
    pub newcomers: u64,
    pub sketched: u64,
    pub evicted: u64,
    pub promised: u64,
    pub kept: u64,
    pub broken: u64,
    pub early: u64,
    pub unknown: u64,
    pub lapsed: u64,
    pub unpromised: u64,
}

/// One of the heaviest tenants, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct Heavy {
    /// Its name as text, cut and escaped.
    pub name: String,
    pub weight: f64,
    /// Cores it asks for of late, and how far ahead of its share it is, in seconds of it.
    pub asks: f64,
    pub ahead: f64,
    pub within: u64,
    pub surplus: u64,
}

/// Times a name must have been seen before it is known.
const SEEN: u8 = 3;
/// A promise does not hold where more than this share of what was to be worked off meanwhile was not.
const WORSE: f64 = 0.5;

pub struct Fair {
    settings: Settings,
    key: (u64, u64),
    level: Level,
    index: Index,
    sketch: Sketch,
    known: Known,
    sketched_ratio: Ratio,
    origins: Origins,
    ledger: Ledger,
    /// Work that one tenant of weight 1 may have in hand within its share, however high the level is.
    most: f64,
    /// Tags of the latest that came to their turn, within shares and beyond them.
    turns: [f64; 2],
    pub counts: Counts,
}

impl Fair {
    /// `cores` is the most that all tenants may have together, in cores.
    pub fn new(settings: Settings, cores: f64, seed: u64, now: Nanos) -> Self {
        let key = (seed, !seed.rotate_left(17));
        let mut fair = Self {
            key,
            level: Level::new(cores, now),
            index: Index::new(settings.accounts),
            sketch: Sketch::new(settings.cells),
            sketched_ratio: Ratio::default(),
            known: Known::new(settings.cells / 4, SEEN),
            origins: Origins::new(settings.origins, settings.names, settings.probation),
            ledger: Ledger::new(settings.promises, settings.longest, settings.late, seed, now),
            most: f64::INFINITY,
            turns: [0.0; 2],
            counts: Counts::default(),
            settings,
        };
        // Named tenants live in the index from here on; the list stays with whoever read it.
        for (name, weight) in std::mem::take(&mut fair.settings.named).iter() {
            let print = fair.print(name);
            fair.index.pin(print, Account::new(name, *weight, 0.0, now));
        }
        fair
    }

    pub fn print(&self, name: &[u8]) -> Print {
        let mut hasher = SipHasher13::new_with_keys(self.key.0, self.key.1);
        hasher.write(name);
        hasher.finish128().as_u128()
    }

    /// Time goes on; returns the latest there was.
    fn pass(&mut self, now: Nanos) -> Nanos {
        let now = self.level.pass(now);
        let counts = &mut self.counts;
        self.ledger.expire(now, || counts.lapsed += 1);
        now
    }

    /// One has come that will probably need so much work; `ticket` is what it brings of a promise.
    pub fn arrived(&mut self, now: Nanos, who: Who, work: f64, ticket: Option<u64>) -> Seat {
        let now = self.pass(now);
        let print = self.print(who.name);
        let (place, weight, guess) = self.find_place(now, print, &who, work.max(1.0));
        if place == Place::Sketch {
            self.level.asked_by_sketched(now, print, weight, guess);
        }
        let mut seat = Seat { place, print, weight, usual: work.max(1.0), guess, ..Seat::default() };
        let present = self.level.fair_time();
        match ticket.map(|ticket| self.ledger.back(now, ticket, print)) {
            Some(Return::AsPromised(promise)) => {
                // Worse off than stated: the share has brought far less meanwhile than it was to.
                let short = promise.place - present;
                if short <= promise.brings * WORSE {
                    self.counts.kept += 1;
                    self.counts.within += 1;
                    self.note(place, true);
                    return self.let_in(seat, &promise);
                }
                self.counts.broken += 1;
            }
            Some(Return::Early) => self.counts.early += 1,
            Some(Return::Unknown) => self.counts.unknown += 1,
            None => {}
        }
        let begins = self.finish_of(place, print).max(present);
        seat.surplus = begins - present > self.allowance();
        self.note(place, !seat.surplus);
        if seat.surplus {
            self.counts.surplus += 1;
        } else {
            self.counts.within += 1;
            seat.charged = guess;
            self.charge(&seat, begins, guess);
        }
        self.queue(&mut seat, begins - present);
        seat
    }

    /// One that is back as promised: it has queued since then, ahead of what its tenant has sent later.
    fn let_in(&mut self, mut seat: Seat, promise: &ledger::Promise) -> Seat {
        (seat.promised, seat.guess, seat.charged) = (true, promise.work, promise.work);
        let tag = promise.tag.max(self.turns[0]);
        (seat.tag, seat.queued) = (tag as u64, promise.work / seat.weight);
        let queued = seat.queued;
        if let Some(order) = self.order_of(seat.place) {
            order[0] = order[0].max(tag) + queued;
        }
        if seat.place != Place::Sketch {
            let begins = self.finish_of(seat.place, seat.print).max(self.level.fair_time());
            self.charge(&seat, begins, promise.work);
        }
        seat
    }

    /// How far ahead of fair time a finish may lie within the share.
    fn allowance(&self) -> f64 {
        (self.level.cores() * self.settings.at_once as f64).min(self.most)
    }

    /// The account, the origin's place for newcomers, or the sketch; the weight and the work it counts with.
    fn find_place(&mut self, now: Nanos, print: Print, who: &Who, work: f64) -> (Place, f64, f64) {
        if let Some(slot) = self.index.find(print, now) {
            let account = self.index.get(slot).expect("found just now");
            let guess = work * account.ratio.get();
            account.asked(now, guess);
            let named = account.named;
            let weight = account.weight;
            let part = if named { 1.0 } else { self.origins.part(who.origin, print, now) };
            let account = self.index.get(slot).expect("found just now");
            if !named {
                account.weight = self.settings.weight * part;
            }
            return (Place::Account(slot), if named { weight } else { account.weight }, guess);
        }
        let part = self.origins.part(who.origin, print, now);
        let weight = self.settings.weight * part;
        let seen = self.known.visit(print, now);
        if seen.times < SEEN || seen.known_for < self.settings.probation {
            self.counts.newcomers += 1;
            let (place, guess) = self.origins.newcomers(who.origin, now, work);
            return (Place::Newcomers(place), self.settings.weight, guess);
        }
        let finish = self.sketch.finish(print, self.level.fair_time());
        let account = Account::new(who.name, weight, finish, now);
        let over = finish - self.level.fair_time() > self.allowance();
        match self.index.take_in(print, account, now, self.level.fair_time(), over) {
            Some((slot, evicted)) => {
                self.counts.evicted += u64::from(evicted);
                self.index.get(slot).expect("taken in just now").asked(now, work);
                (Place::Account(slot), weight, work)
            }
            None => {
                self.counts.sketched += 1;
                (Place::Sketch, weight, work * self.sketched_ratio.get())
            }
        }
    }

    fn finish_of(&mut self, place: Place, print: Print) -> f64 {
        let present = self.level.fair_time();
        match place {
            Place::Account(slot) => self.index.get(slot).map_or(present, |account| account.finish),
            Place::Newcomers(place) => self.origins.finish(place),
            Place::Sketch => self.sketch.finish(print, present),
            Place::Nowhere => present,
        }
    }

    /// Moves the finish on by work from where it begins; work under 0 is given back where that can be done.
    fn charge(&mut self, seat: &Seat, begins: f64, work: f64) {
        let to = begins + work / seat.weight;
        match seat.place {
            Place::Account(slot) => {
                if let Some(account) = self.index.get(slot) {
                    account.finish = to;
                }
            }
            Place::Newcomers(place) => self.origins.set_finish(place, to),
            Place::Sketch => {
                self.sketch.raise(seat.print, to, self.level.fair_time());
            }
            Place::Nowhere => {}
        }
    }

    /// Its place in the order (start-time fair queuing): behind what its tenant has queued already, else at
    /// the point that has come to its turn. What is beyond a share is queued alike, but by itself: it waits
    /// for the others, and among its like whoever borrowed less goes first.
    fn queue(&mut self, seat: &mut Seat, ahead: f64) {
        let (span, which) = (seat.guess / seat.weight, usize::from(seat.surplus));
        let turn = self.turns[which];
        let Some(order) = self.order_of(seat.place) else {
            // The sketch keeps no queues: whoever is ahead of its share stands back by as much.
            seat.tag = (turn + ahead) as u64;
            return;
        };
        let tag = order[which].max(turn);
        (seat.tag, seat.queued) = (tag as u64, span);
        order[which] = tag + span;
    }

    fn order_of(&mut self, place: Place) -> Option<&mut [f64; 2]> {
        match place {
            Place::Account(slot) => self.index.get(slot).map(|account| &mut account.order),
            Place::Newcomers(place) => Some(self.origins.order(place)),
            Place::Sketch | Place::Nowhere => None,
        }
    }

    /// This one has come to its turn.
    pub fn began(&mut self, seat: &Seat) {
        let turn = &mut self.turns[usize::from(seat.surplus)];
        *turn = turn.max(seat.tag as f64);
    }

    fn note(&mut self, place: Place, within: bool) {
        if let Place::Account(slot) = place
            && let Some(account) = self.index.get(slot)
        {
            account.within += u64::from(within);
            account.surplus += u64::from(!within);
        }
    }

    /// It is over: what it was charged is corrected by what it used.
    pub fn ended(&mut self, now: Nanos, seat: &Seat, outcome: Outcome) {
        self.pass(now);
        let used = if let Outcome::Ran(used) = outcome { used as f64 } else { 0.0 };
        let ratio = match seat.place {
            Place::Account(slot) => self.index.get(slot).map(|account| &mut account.ratio),
            Place::Newcomers(place) => Some(self.origins.ratio(place)),
            Place::Sketch => Some(&mut self.sketched_ratio),
            Place::Nowhere => None,
        };
        if let (Some(ratio), Outcome::Ran(_)) = (ratio, outcome) {
            ratio.learn(used / seat.usual);
        } else if let Some(order) = self.order_of(seat.place) {
            order[usize::from(seat.surplus)] -= seat.queued;
        }
        if seat.surplus {
            return;
        }
        let finish = self.finish_of(seat.place, seat.print);
        let corrected = used - seat.charged;
        if corrected != 0.0 && (corrected > 0.0 || !matches!(seat.place, Place::Sketch)) {
            self.charge(seat, finish, corrected);
        }
    }

    /// What one that is turned away is told: when its tenant will have room for it, and the ticket to come
    /// back with. Without a ticket nothing is promised: it would be too long, or the ledger is full.
    /// It is never less than `least`, which is what the server itself needs.
    pub fn promise(&mut self, now: Nanos, seat: &Seat, least: Nanos) -> Advice {
        let now = self.pass(now);
        let (present, cores) = (self.level.fair_time(), self.level.cores());
        let room = self.finish_of(seat.place, seat.print) - self.allowance();
        // Places follow one another at the rate of the share, whoever has room meanwhile: a later asker gets
        // a later one. They are charged on return, so that one nobody comes for costs its tenant nothing.
        let place = self.booked(seat.place).map_or(room, |booked| booked.max(room)).max(present);
        let waits = ((place - present) / cores).max(least as f64);
        let Seat { place: sat, print, guess: work, .. } = *seat;
        let tag = self.order_of(sat).map_or(0.0, |order| order[0]).max(self.turns[0]);
        let promise = ledger::Promise { print, work, tag, place, brings: waits * cores };
        let Some((stay_away, ticket)) = self.ledger.make(now, waits, promise) else {
            self.counts.unpromised += 1;
            let longest = self.settings.longest as f64;
            return Advice { stay_away: waits.clamp(longest / 2.0, longest) as Nanos, ticket: None };
        };
        self.counts.promised += 1;
        match self.booked(sat) {
            Some(booked) => *booked = place + work / seat.weight,
            // The sketch knows no bookings: there the place is charged at once.
            None => self.charge(seat, place.max(present), work),
        }
        Advice { stay_away, ticket: Some(ticket) }
    }

    fn booked(&mut self, place: Place) -> Option<&mut f64> {
        match place {
            Place::Account(slot) => self.index.get(slot).map(|account| &mut account.booked),
            Place::Newcomers(place) => Some(self.origins.booked(place)),
            Place::Sketch | Place::Nowhere => None,
        }
    }

    /// Takes one part of a change over; ceilings stay as they are until a restart. The time it takes grows
    /// with the names in the part alone.
    pub fn retune(&mut self, change: &Retune, now: Nanos) {
        let now = self.pass(now);
        for name in &change.unnamed {
            let print = self.print(name);
            self.index.unpin(print, self.settings.weight, now);
        }
        for (name, weight) in &change.named {
            let print = self.print(name);
            self.index.pin(print, Account::new(name, *weight, self.level.fair_time(), now));
        }
        let Retune { names, weight, at_once, probation, .. } = *change;
        self.origins.set_names(names);
        self.settings = Settings { names, weight, at_once, probation, ..self.settings.clone() };
    }

    /// Once a control period: the level is found anew for what all ask for of late. `capacity` is the work
    /// a second that is to be given out, in cores, and `most` the work that one may have in hand: what is let
    /// in and then turned away for want of time would be charged to nobody.
    pub fn set_level(&mut self, now: Nanos, capacity: f64, most: f64) {
        self.most = most;
        let now = self.pass(now);
        let asks = self.index.asks(now).chain(self.origins.asks(now, self.settings.weight));
        self.level.set(now, capacity, asks);
        self.sketch.sweep(self.level.fair_time());
    }

    /// The core time a second that a unit of weight may have, in cores.
    pub fn level(&self) -> f64 {
        self.level.cores()
    }

    pub fn accounts(&self) -> usize {
        self.index.len()
    }

    pub fn promises(&self) -> usize {
        self.ledger.len()
    }

    /// Bytes held now; never over [`Settings::ceiling`].
    pub fn bytes(&self) -> usize {
        self.index.bytes()
            + self.sketch.bytes()
            + self.known.bytes()
            + self.origins.bytes()
            + self.ledger.bytes()
            + size_of::<Fair>()
    }

    /// The tenants that ask for most, at most so many.
    pub fn heaviest(&mut self, now: Nanos, most: usize) -> Vec<Heavy> {
        let now = self.pass(now);
        let (present, level) = (self.level.fair_time(), self.level.cores());
        let ahead = |finish: f64| ((finish - present) / level / 1e9).max(0.0);
        let heavy = |account: &Account| Heavy {
            name: account.shown(),
            weight: account.weight,
            asks: account.asks_now(now),
            ahead: ahead(account.finish),
            within: account.within,
            surplus: account.surplus,
        };
        self.index.heaviest(now, most).into_iter().map(heavy).collect()
    }
}
