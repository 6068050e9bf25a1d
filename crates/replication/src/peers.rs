//! Regions and zones of the living members, by which gossip chooses whom to send to.

use crate::message::Location;
use crate::time::{Nanos, SECOND_NS};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Members that the view does not hold are forgotten at this interval.
const FORGET_INTERVAL_NS: Nanos = 60 * SECOND_NS;
/// Random draws for each member that is wanted.
const DRAWS_PER_MEMBER: usize = 8;

/// The living members and where they are, as far as they or their neighbours have said so.
#[derive(Debug, Default)]
pub struct Peers {
    /// This member's name.
    name: String,
    /// Names of the living, this member's included, sorted.
    alive: Arc<Vec<String>>,
    locations: HashMap<String, Location>,
    /// Members by location; a member is in it exactly where it is in `locations`.
    zones: BTreeMap<Location, Vec<String>>,
    forget_due: Nanos,
}

impl Peers {
    /// No others are known. `name` is this member's.
    pub fn new(name: &str) -> Peers {
        Peers { name: name.to_string(), ..Peers::default() }
    }

    /// The fleet's view: the names of the living, sorted.
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

    /// Whether the view holds a member.
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

    /// Where a living member is, as it or a neighbour of it says.
    pub fn record_location(&mut self, name: &str, location: &Location) {
        if name == self.name || !self.is_alive(name) || self.locations.get(name) == Some(location) {
            return;
        }
        self.forget(name);
        self.locations.insert(name.to_string(), location.clone());
        self.zones.entry(location.clone()).or_default().push(name.to_string());
    }

    /// The living but for this member.
    pub fn others(&self) -> impl Iterator<Item = &String> {
        self.alive.iter().filter(|name| **name != self.name)
    }

    /// At most `count` different living members of a zone, at random. The number of draws is bounded, so that
    /// the time does not grow with the zone; where many have died fewer are found.
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

    /// One of all the living at random; `None` where this member itself was drawn.
    pub fn sample_any(&self, rng: &mut ChaCha8Rng) -> Option<String> {
        pick(&self.alive, rng).filter(|name| **name != self.name).cloned()
    }

    /// At most `count` members of each known zone.
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
