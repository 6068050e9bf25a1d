//! The other members of the fleet with their regions and zones. Gossip selects its receivers from these
//! members.

use crate::message::Location;
use crate::time::{Nanos, SECOND_NS};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Interval at which the locations of members that are no longer alive are removed.
const FORGET_INTERVAL_NS: Nanos = 60 * SECOND_NS;
/// When a random sample of members is selected, at most this many random draws are made for each requested
/// member.
const DRAWS_PER_MEMBER: usize = 8;

/// The alive members of the fleet, and their locations as far as known. A location is learned from messages
/// of the member itself or of another member in its zone.
#[derive(Debug, Default)]
pub struct Peers {
    /// Name of this member.
    name: String,
    /// Names of the alive members, including this member, in sorted order.
    alive: Arc<Vec<String>>,
    locations: HashMap<String, Location>,
    /// Names of the members in each zone. A member is listed if its location is known (in `locations`).
    zones: BTreeMap<Location, Vec<String>>,
    forget_due: Nanos,
}

impl Peers {
    /// Creates an empty set of peers. `name` is the name of this member.
    pub fn new(name: &str) -> Peers {
        Peers { name: name.to_string(), ..Peers::default() }
    }

    /// Sets the alive members. `alive` is the sorted list of their names, including this member. Once per
    /// minute, also removes the locations of members that are no longer alive.
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

    /// Returns whether the member with this name is in the list of alive members.
    pub fn is_alive(&self, name: &str) -> bool {
        self.alive.binary_search_by(|other| other.as_str().cmp(name)).is_ok()
    }

    /// Returns whether another member with this name is not alive. The list of alive members may or may not
    /// include this member itself.
    pub fn is_away(&self, name: &str) -> bool {
        name != self.name && !self.is_alive(name)
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

    /// Records the location of a member, as stated in a message of the member itself or of another member in
    /// its zone. Does nothing if the member is not alive or is this member itself.
    pub fn record_location(&mut self, name: &str, location: &Location) {
        if name == self.name || !self.is_alive(name) || self.locations.get(name) == Some(location) {
            return;
        }
        self.forget(name);
        self.locations.insert(name.to_string(), location.clone());
        self.zones.entry(location.clone()).or_default().push(name.to_string());
    }

    /// Returns the names of the alive members, without this member.
    pub fn others(&self) -> impl Iterator<Item = &String> {
        self.alive.iter().filter(|name| **name != self.name)
    }

    /// Returns a random sample of at most `count` different alive members of a zone. The number of random
    /// draws is limited, so the duration does not grow with the size of the zone. The sample can therefore be
    /// smaller than `count`, in particular if many recorded members of the zone are no longer alive.
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

    /// Returns a random alive member of the fleet. Returns `None` if the random draw selected this member
    /// itself, or if there is no alive member.
    pub fn sample_any(&self, rng: &mut ChaCha8Rng) -> Option<String> {
        pick(&self.alive, rng).filter(|name| **name != self.name).cloned()
    }

    /// Returns random alive members of every known zone, at most `count` per zone.
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
