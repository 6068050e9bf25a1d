//! The alive members with their regions and zones, from which gossip selects its targets.

use crate::message::Location;
use crate::time::{Nanos, SECOND_NS};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Interval at which the locations of members that are not alive any more are removed.
const FORGET_INTERVAL_NS: Nanos = 60 * SECOND_NS;
/// Maximum number of random draws per requested member of a sample.
const DRAWS_PER_MEMBER: usize = 8;

/// The alive members, with their locations as far as known from their own or their neighbours' messages.
#[derive(Debug, Default)]
pub struct Peers {
    /// Name of this member.
    name: String,
    /// Names of the alive members, including this one, sorted.
    alive: Arc<Vec<String>>,
    locations: HashMap<String, Location>,
    /// Members by location. Contains exactly the members in `locations`.
    zones: BTreeMap<Location, Vec<String>>,
    forget_due: Nanos,
}

impl Peers {
    /// Creates an empty set of peers. `name` is the name of this member.
    pub fn new(name: &str) -> Peers {
        Peers { name: name.to_string(), ..Peers::default() }
    }

    /// Sets the names of the alive members, sorted, as the membership view lists them. Regularly removes the
    /// locations of members that are not alive any more.
    pub fn set_alive(&mut self, alive: &Arc<Vec<String>>, now: Nanos) {
        if !Arc::ptr_eq(&self.alive, alive) {
            self.alive = alive.clone();
        }
        if now < self.forget_due {
            return;
        }
        self.forget_due = now + FORGET_INTERVAL_NS;
        let dead: Vec<String> = self.locations.keys().filter(|name| !self.is_alive(name)).cloned().collect();
        dead.iter().for_each(|name| self.forget(name));
    }

    /// Whether a member is alive according to the membership view.
    pub fn is_alive(&self, name: &str) -> bool {
        self.alive.binary_search_by(|other| other.as_str().cmp(name)).is_ok()
    }

    fn forget(&mut self, name: &str) {
        let Some(location) = self.locations.remove(name) else { return };
        if let Some(members) = self.zones.get_mut(&location) {
            members.retain(|member| member != name);
            if members.is_empty() {
                self.zones.remove(&location);
            }
        }
    }

    /// Records the location of an alive member, as the member or one of its neighbours stated it.
    pub fn record_location(&mut self, name: &str, location: &Location) {
        if name == self.name || !self.is_alive(name) || self.locations.get(name) == Some(location) {
            return;
        }
        self.forget(name);
        self.locations.insert(name.to_string(), location.clone());
        self.zones.entry(location.clone()).or_default().push(name.to_string());
    }

    /// Names of the alive members except this one.
    pub fn others(&self) -> impl Iterator<Item = &String> {
        self.alive.iter().filter(|name| **name != self.name)
    }

    /// Returns a random sample of at most `count` different alive members of a zone. The number of draws is
    /// bounded, so that the time does not grow with the size of the zone. The sample may therefore be smaller
    /// if many members of the zone have died.
    pub fn sample_zone(&self, zone: &Location, count: usize, rng: &mut ChaCha8Rng) -> Vec<String> {
        let Some(members) = self.zones.get(zone) else { return Vec::new() };
        let mut sample: Vec<String> = Vec::new();
        for _ in 0..DRAWS_PER_MEMBER * count {
            if sample.len() == count.min(members.len()) {
                break;
            }
            let Some(name) = pick(members, rng) else { break };
            if *name != self.name && !sample.contains(name) && self.is_alive(name) {
                sample.push(name.clone());
            }
        }
        sample
    }

    /// Returns a random alive member of the fleet; `None` if this member itself was drawn.
    pub fn sample_any(&self, rng: &mut ChaCha8Rng) -> Option<String> {
        pick(&self.alive, rng).filter(|name| **name != self.name).cloned()
    }

    /// Returns a random sample of at most `count` alive members of each known zone.
    pub fn sample_each_zone(&self, count: usize, rng: &mut ChaCha8Rng) -> Vec<String> {
        self.zones.keys().flat_map(|zone| self.sample_zone(zone, count, rng)).collect()
    }
}

fn pick<'a, T>(from: &'a [T], rng: &mut ChaCha8Rng) -> Option<&'a T> {
    if from.is_empty() {
        return None;
    }
    from.get((rng.next_u64() % from.len() as u64) as usize)
}
