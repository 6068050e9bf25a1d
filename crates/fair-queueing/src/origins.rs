//! The second level, which cannot be forged: a connection's peer or a sender that the operator trusts.
//! Names that have not been seen for long share one place for each origin, and where an origin brings more
//! names than it may, each counts for less. So made-up names bring nobody more than one place.

use crate::distinct::Distinct;
use crate::level::{Ask, Flow, Ratio};
use crate::{Nanos, Print};
use std::collections::HashMap;

#[derive(Debug, Default)]
struct Origin {
    id: u64,
    finish: f64,
    order: [f64; 2],
    booked: f64,
    asks: Flow,
    /// Work of its newcomers as a ratio to what is guessed.
    ratio: Ratio,
    used: Nanos,
    /// Names of this and of the last stretch of time.
    names: [Distinct<64>; 2],
    turned: Nanos,
    many: f64,
}

#[derive(Debug)]
pub struct Origins {
    most: usize,
    names: f64,
    stretch: Nanos,
    all: Vec<Origin>,
    places: HashMap<u64, usize>,
}

/// An origin unused for so long may lose its place to another.
const IDLE: Nanos = 60_000_000_000;
/// Stretches of time over which names are counted, in times of probation.
const STRETCH: u64 = 8;
/// Names are counted anew after this many more.
const RECOUNT: u64 = 16;

impl Origins {
    pub fn new(most: usize, names: f64, probation: Nanos) -> Self {
        let most = most.max(1);
        Self { most, names, stretch: probation.max(1) * STRETCH, all: Vec::new(), places: HashMap::new() }
    }

    pub fn ceiling(most: usize) -> usize {
        2 * most.max(4) * size_of::<Origin>() + 2 * most * (size_of::<(u64, usize)>() + 1) * 8 / 7 + 64
    }

    pub fn bytes(&self) -> usize {
        let entry = size_of::<(u64, usize)>() + 1;
        self.all.capacity() * size_of::<Origin>() + self.places.capacity() * 8 / 7 * entry
    }

    pub fn set_names(&mut self, names: f64) {
        self.names = names;
    }

    /// Those beyond the ceiling share the places there are, always the same one.
    fn place(&mut self, id: u64, now: Nanos) -> usize {
        if let Some(place) = self.places.get(&id) {
            self.all[*place].used = now;
            return *place;
        }
        let new = || Origin { id, used: now, turned: now, ..Origin::default() };
        if self.all.len() < self.most {
            self.places.insert(id, self.all.len());
            self.all.push(new());
            return self.all.len() - 1;
        }
        let place = (id.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33) as usize % self.most;
        let origin = &mut self.all[place];
        if now.saturating_sub(origin.used) > IDLE {
            self.places.remove(&origin.id);
            // What its place has used stays with it.
            *origin = Origin { finish: origin.finish, order: origin.order, booked: origin.booked, ..new() };
            self.places.insert(id, place);
        }
        place
    }

    /// The part of its weight that a name of this origin counts with, 1 or less.
    pub fn part(&mut self, id: u64, print: Print, now: Nanos) -> f64 {
        let (stretch, names) = (self.stretch, self.names);
        let place = self.place(id, now);
        let origin = &mut self.all[place];
        if now.saturating_sub(origin.turned) > stretch {
            origin.names.swap(0, 1);
            origin.names[0].clear();
            (origin.turned, origin.many) = (now, 0.0);
        }
        origin.names[0].add(print);
        if origin.many == 0.0 || (print as u64).is_multiple_of(RECOUNT) {
            origin.many = origin.names[0].count().max(origin.names[1].count()).max(1.0);
        }
        (names / origin.many).min(1.0)
    }

    /// The place that newcomers of this origin share, and the work that one asks for.
    pub fn newcomers(&mut self, id: u64, now: Nanos, work: f64) -> (usize, f64) {
        let place = self.place(id, now);
        let guess = work * self.all[place].ratio.get();
        self.all[place].asks.add(now, guess);
        (place, guess)
    }

    pub fn ratio(&mut self, place: usize) -> &mut Ratio {
        &mut self.all[place].ratio
    }

    pub fn finish(&self, place: usize) -> f64 {
        self.all[place].finish
    }

    pub fn set_finish(&mut self, place: usize, finish: f64) {
        self.all[place].finish = finish;
    }

    pub fn order(&mut self, place: usize) -> &mut [f64; 2] {
        &mut self.all[place].order
    }

    pub fn booked(&mut self, place: usize) -> &mut f64 {
        &mut self.all[place].booked
    }

    pub fn asks(&self, now: Nanos, weight: f64) -> impl Iterator<Item = Ask> {
        self.all.iter().map(move |origin| Ask { cores: origin.asks.cores(now), weight, many: 1.0 })
    }
}
