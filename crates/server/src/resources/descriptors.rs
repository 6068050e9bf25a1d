//! The descriptors that the server may hold: each connection and each call has a place among them.
//! Guards against holding more than the limit, for which the platform kills it.

use crate::calls::pool::LOOK;
use crate::calls::pool::Pool;
use anyhow::{Result, ensure};
use async_io::Timer;
use std::cell::Cell;
use std::rc::Rc;

/// Used beside those open at the start: the link and the catalog's.
const LATER: usize = 2;
/// Taken for open at the start where it cannot be counted.
const OPEN_AT_START: usize = 13;
/// Part of the places that connections never take; of it calls leave half to connections.
const SPARE: usize = 8;
const SPARE_LEAST: usize = 2;

#[derive(Default)]
struct Held {
    all: Cell<usize>,
    connections: Cell<usize>,
}

pub struct Descriptors {
    places: usize,
    held: Rc<Held>,
}

/// Given back when it is dropped, whoever held it.
pub struct Place {
    held: Rc<Held>,
    connections: usize,
}

impl Descriptors {
    /// An error where the limit leaves nothing for callers.
    pub fn within(limit: usize) -> Result<Self> {
        let open = std::fs::read_dir("/proc/self/fd").map_or(OPEN_AT_START, |entries| entries.count() - 1);
        let places = limit.saturating_sub(open + LATER);
        ensure!(places > SPARE_LEAST, "limits.sockets: {limit} are too few, {} are in use", open + LATER);
        Ok(Self { places, held: Rc::default() })
    }

    fn spare(&self) -> usize {
        (self.places / SPARE).max(SPARE_LEAST)
    }

    pub fn for_connection(&self) -> Option<Place> {
        let room = self.held.connections.get() + self.spare() < self.places;
        (room && self.held.all.get() < self.places).then(|| self.place(1))
    }

    pub fn mostly_taken(&self) -> bool {
        2 * self.held.connections.get() > self.places
    }

    /// Leaves room for connections, since a call can wait and what the kernel accepted cannot.
    pub fn for_call(&self) -> Option<Place> {
        (self.held.all.get() + self.spare() / 2 < self.places).then(|| self.place(0))
    }

    /// For a file that is read at once. It waits like a call, and call connections at rest make room.
    pub async fn for_file(&self, pool: &Pool) -> Place {
        loop {
            if let Some(place) = self.for_call() {
                return place;
            }
            pool.close_all();
            Timer::after(LOOK).await;
        }
    }

    fn place(&self, connections: usize) -> Place {
        self.held.all.set(self.held.all.get() + 1);
        self.held.connections.set(self.held.connections.get() + connections);
        Place { held: self.held.clone(), connections }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.held.all.set(self.held.all.get() - 1);
        self.held.connections.set(self.held.connections.get() - self.connections);
    }
}

#[cfg(test)]
mod tests;
