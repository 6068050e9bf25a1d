//! Which members stand where: each says so itself, and those that the fleet's view no longer holds are
//! forgotten.

use crate::Nanos;
use crate::message::Location;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// A member that was not heard of for so long is forgotten.
const FORGET: Nanos = 60_000_000_000;
/// Draws for each member that is wanted.
const DRAWS: usize = 8;

#[derive(Debug, Default)]
pub struct Peers {
    me: String,
    /// The living, as the fleet's view has them, in the order of names.
    alive: Arc<Vec<String>>,
    known: HashMap<String, Location>,
    /// Members by zone; a member is in it exactly where it is in `known`.
    zones: BTreeMap<Location, Vec<String>>,
    forget_at: Nanos,
}

impl Peers {
    pub fn new(me: &str) -> Peers {
        Peers { me: me.to_string(), ..Peers::default() }
    }

    /// The members alive, in the order of their names.
    pub fn set_alive(&mut self, alive: &Arc<Vec<String>>, now: Nanos) {
        if !Arc::ptr_eq(&self.alive, alive) {
            self.alive = alive.clone();
        }
        if now < self.forget_at {
            return;
        }
        self.forget_at = now + FORGET;
        let gone: Vec<String> = self.known.keys().filter(|name| !self.is_alive(name)).cloned().collect();
        gone.iter().for_each(|name| self.forget(name));
    }

    pub fn is_alive(&self, name: &str) -> bool {
        self.alive.binary_search_by(|other| other.as_str().cmp(name)).is_ok()
    }

    pub fn alive(&self) -> &[String] {
        &self.alive
    }

    fn forget(&mut self, name: &str) {
        let Some(location) = self.known.remove(name) else { return };
        if let Some(members) = self.zones.get_mut(&location) {
            members.retain(|member| member != name);
            if members.is_empty() {
                self.zones.remove(&location);
            }
        }
    }

    /// A member stands there, as it or a neighbour of it says.
    pub fn record_location(&mut self, name: &str, location: &Location) {
        if name == self.me || !self.is_alive(name) || self.known.get(name) == Some(location) {
            return;
        }
        self.forget(name);
        self.known.insert(name.to_string(), location.clone());
        self.zones.entry(location.clone()).or_default().push(name.to_string());
    }

    pub fn known(&self) -> usize {
        self.known.len()
    }

    /// The living but for this one.
    pub fn others(&self) -> impl Iterator<Item = &String> {
        self.alive.iter().filter(|name| **name != self.me)
    }

    /// So many different ones of the living in a zone, as far as they are known there. A few draws more
    /// than are wanted are made, so that the time does not grow with the zone; where many have died fewer
    /// are found.
    pub fn sample_zone(&self, zone: &Location, count: usize, rng: &mut ChaCha8Rng) -> Vec<String> {
        let Some(members) = self.zones.get(zone) else { return Vec::new() };
        let mut some: Vec<String> = Vec::new();
        for _ in 0..DRAWS * count {
            if some.len() == count.min(members.len()) {
                break;
            }
            let Some(name) = pick(members, rng) else { break };
            if *name != self.me && !some.contains(name) && self.is_alive(name) {
                some.push(name.clone());
            }
        }
        some
    }

    /// One of all the living; none where this one itself was drawn.
    pub fn sample_any(&self, rng: &mut ChaCha8Rng) -> Option<String> {
        pick(&self.alive, rng).filter(|name| **name != self.me).cloned()
    }

    /// So many of each zone that is known.
    pub fn sample_each_zone(&self, each: usize, rng: &mut ChaCha8Rng) -> Vec<String> {
        self.zones.keys().flat_map(|zone| self.sample_zone(zone, each, rng)).collect()
    }
}

fn pick<'a, T>(from: &'a [T], rng: &mut ChaCha8Rng) -> Option<&'a T> {
    if from.is_empty() {
        return None;
    }
    from.get((rng.next_u64() % from.len() as u64) as usize)
}
