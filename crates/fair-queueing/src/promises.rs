//! Promises: who was turned away and told when to come back has a place until then and a little longer. A
//! ticket that cannot be guessed stands for it, good once, for its tenant, from whatever connection.

use crate::wheel::Wheel;
use crate::{Nanos, Print};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;

/// Spread of returns, as a share of the time stated: those turned away together do not come back together.
const SPREAD: f64 = 0.25;
/// And this share of the longest time at least.
const SPREAD_LEAST: f64 = 0.02;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Promise {
    pub print: Print,
    pub work: f64,
    /// Its tag in the order, its place in its tenant's share, and how much the wait was to bring.
    pub tag: f64,
    pub place: f64,
    pub brings: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Return {
    AsPromised(Promise),
    /// The place is lost.
    Early,
    /// Too late, used before, never given, or another tenant's.
    Unknown,
}

#[derive(Debug)]
struct Place {
    promise: Promise,
    ticket: u64,
    from: Nanos,
}

#[derive(Debug)]
pub struct Ledger {
    most: usize,
    longest: Nanos,
    late: Nanos,
    places: Vec<Option<Place>>,
    free: Vec<u32>,
    tickets: HashMap<u64, u32>,
    wheel: Wheel,
    rng: ChaCha8Rng,
}

impl Ledger {
    pub fn new(most: usize, longest: Nanos, late: Nanos, seed: u64, now: Nanos) -> Self {
        Self {
            most: most.min(u32::MAX as usize),
            longest,
            late,
            places: Vec::new(),
            free: Vec::new(),
            tickets: HashMap::new(),
            wheel: Wheel::new(longest + late, now),
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x7469_636b_6574),
        }
    }

    pub fn ceiling(most: usize) -> usize {
        let map = 2 * most * (size_of::<(u64, u32)>() + 1) * 8 / 7 + 64;
        2 * most.max(4) * (size_of::<Option<Place>>() + size_of::<u32>()) + map + Wheel::ceiling(2 * most)
    }

    pub fn bytes(&self) -> usize {
        self.places.capacity() * size_of::<Option<Place>>()
            + self.free.capacity() * size_of::<u32>()
            + self.tickets.capacity() * 8 / 7 * (size_of::<(u64, u32)>() + 1)
            + self.wheel.bytes()
    }

    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// The time to stay away and the ticket; `None` where it would be over the longest, or none is free.
    pub fn make(&mut self, now: Nanos, waits: f64, promise: Promise) -> Option<(Nanos, u64)> {
        let spread = (waits * SPREAD).max(self.longest as f64 * SPREAD_LEAST);
        let waits = waits + spread * self.rng.random_range(0.0..1.0);
        if waits > self.longest as f64 {
            return None;
        }
        let at = match self.free.pop() {
            Some(at) => at,
            None if self.places.len() < self.most => {
                self.places.push(None);
                self.places.len() as u32 - 1
            }
            None => return None,
        };
        // Told in whole ms, rounded up: whoever waits as told is never early.
        let waits = (waits as Nanos).max(1).div_ceil(1_000_000) * 1_000_000;
        let ticket = self.rng.random::<u64>().max(1);
        self.places[at as usize] = Some(Place { promise, ticket, from: now + waits });
        self.tickets.insert(ticket, at);
        self.wheel.put(now + waits + self.late, at);
        Some((waits, ticket))
    }

    /// One is back with a ticket, which is used up whatever becomes of it; but another tenant's stays good.
    pub fn back(&mut self, now: Nanos, ticket: u64, print: Print) -> Return {
        let Some(at) = self.tickets.get(&ticket).copied() else { return Return::Unknown };
        let place = self.places[at as usize].as_mut();
        let Some(place) = place.filter(|place| place.promise.print == print) else { return Return::Unknown };
        let (promise, from, late) = (place.promise, place.from, now > place.from + self.late);
        self.tickets.remove(&ticket);
        // The place itself comes free with its spoke of the wheel, so that no number runs out twice.
        place.ticket = 0;
        if now < from {
            Return::Early
        } else if late {
            Return::Unknown
        } else {
            Return::AsPromised(promise)
        }
    }

    /// Ends what nobody came for in time, each told of once.
    pub fn expire(&mut self, now: Nanos, mut lapsed: impl FnMut()) {
        let Self { wheel, places, tickets, free, .. } = self;
        wheel.turn(now, |at| {
            if let Some(place) = places[at as usize].take() {
                free.push(at);
                if tickets.remove(&place.ticket).is_some() {
                    lapsed();
                }
            }
        });
    }
}
