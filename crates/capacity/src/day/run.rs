//! The fleet in the course of the day, and what is to be measured of it.

use super::DayScale;
use super::schedule::Event;
use crate::scale::{SECOND_NS, VOTERS};
use crate::topology::{self, CUT_REGION, CUT_ZONE, Place};
use meadowstream_membership::Nanos;
use meadowstream_replication::change::Change;
use meadowstream_replication::message::Location;
use meadowstream_replication::simulation::{Delay, EventQueue, Fleet, Layout};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;
use std::collections::BTreeMap;

const MILLISECOND_NS: Nanos = 1_000_000;
/// A machine that failed is replaced after so long, with an empty disk.
const REPLACED_AFTER_NS: Nanos = 300 * SECOND_NS;
/// A restarted server is back after so long.
const RESTARTED_AFTER_NS: Nanos = 5 * SECOND_NS;
/// The control machines here: the day's fleet has no others than those that keep the log.
const REPLICAS: usize = VOTERS;
/// Keys of the configuration at the start of the day, and those of one change.
const KEYS: usize = 2_000;
const KEYS_PER_CHANGE: usize = 200;
/// Changes that may still be on their way to a server that stops.
const RECENT_CHANGES: usize = 20;

/// A change that was accepted by the leader.
pub(super) struct PublishedChange {
    /// When, in simulated Unix nanoseconds.
    pub(super) at: Nanos,
    /// The number that it is committed at.
    pub(super) number: u64,
    /// Servers that ran and were reached all the time until it had come to them.
    pub(super) receivers: Vec<usize>,
}

/// A server that was reached again after it was cut off or stopped.
pub(super) struct ReturnedServer {
    /// When, in simulated Unix nanoseconds.
    pub(super) at: Nanos,
    pub(super) server: usize,
    /// The newest revision then.
    pub(super) newest_revision: u64,
    /// It began with an empty disk.
    pub(super) had_empty_disk: bool,
}

/// A day under way.
pub(super) struct Run {
    pub(super) fleet: Fleet,
    /// When the day began, in simulated Unix nanoseconds.
    pub(super) started_at: Nanos,
    servers: usize,
    /// Servers that are cut off now.
    cut_off: Vec<usize>,
    pub(super) published: Vec<PublishedChange>,
    pub(super) returned: Vec<ReturnedServer>,
    /// Returned servers that have not applied the revision that was newest then, with its number.
    catching_up: BTreeMap<usize, u64>,
    /// Changes that found no leader, or one with too much to commit.
    pub(super) not_published: usize,
    pub(super) restarts: usize,
    /// Number of the last change that was accepted.
    newest_revision: u64,
}

fn location(server: usize) -> Location {
    let place = Place::of(server);
    Location { region: place.region_name(), zone: place.zone_name() }
}

fn delay(from: usize, to: usize) -> Delay {
    topology::delay(Place::of(from), Place::of(to))
}

fn key(number: usize) -> String {
    format!("tenants/tenant/tenant-{number:05}")
}

impl Run {
    /// A settled fleet with the configuration of the day's start.
    pub(super) fn start(scale: &DayScale) -> Run {
        let layout = Layout {
            size: scale.servers,
            replicas: REPLICAS,
            location,
            delay,
            loss: 0.001,
            duplicate: 0.001,
            view_lag: 6 * SECOND_NS,
            apply_time: 60 * MILLISECOND_NS,
            pull_period: SECOND_NS / 2,
        };
        let mut fleet = Fleet::started(layout, scale.seed);
        fleet.run_for(60 * SECOND_NS);
        for first in (0..KEYS).step_by(KEYS_PER_CHANGE) {
            let keys = first..first + KEYS_PER_CHANGE;
            fleet.propose(keys.map(|number| Change::set(&key(number), "2")).collect());
            fleet.run_for(5 * SECOND_NS);
        }
        Run {
            started_at: fleet.now(),
            fleet,
            servers: scale.servers,
            cut_off: Vec::new(),
            published: Vec::new(),
            returned: Vec::new(),
            catching_up: BTreeMap::new(),
            not_published: 0,
            restarts: 0,
            newest_revision: 0,
        }
    }

    /// Lets `event` happen, `at` nanoseconds from the start of the day.
    pub(super) fn handle(
        &mut self,
        event: Event,
        at: Nanos,
        events: &mut EventQueue<Event>,
        rng: &mut ChaCha8Rng,
    ) {
        match event {
            Event::Change(change) => self.propose(change),
            Event::Restart => {
                let server = self.random_server(rng);
                self.crash(server);
                events.push(at + RESTARTED_AFTER_NS, Event::ServerReturned(server));
            }
            Event::Fail => {
                let server = self.random_server(rng);
                self.crash(server);
                self.fleet.truncate_disk(server, 0.0);
                events.push(at + REPLACED_AFTER_NS, Event::ServerReturned(server));
            }
            Event::ServerReturned(server) => {
                let has_empty_disk = self.fleet.is_disk_empty(server);
                self.restart(server, has_empty_disk);
            }
            Event::RackLost => self.last_rack().into_iter().for_each(|server| self.crash(server)),
            Event::RackReturned => {
                self.last_rack().into_iter().for_each(|server| self.restart(server, false))
            }
            Event::ZoneCut => self.cut(|place| place.zone == CUT_ZONE),
            Event::RegionCut => self.cut(|place| place.region == CUT_REGION),
            Event::Heal => self.heal(),
            Event::ControlLost => (0..REPLICAS).for_each(|replica| self.fleet.crash(replica)),
            Event::ControlReturned => (0..REPLICAS).for_each(|replica| self.fleet.start(replica)),
        }
    }

    /// Any server that is no control machine.
    fn random_server(&self, rng: &mut ChaCha8Rng) -> usize {
        REPLICAS + (rng.next_u64() % (self.servers - REPLICAS) as u64) as usize
    }

    /// The servers of the last rack.
    fn last_rack(&self) -> Vec<usize> {
        let rack = Place::of(self.servers - 1).rack;
        (REPLICAS..self.servers).filter(|server| Place::of(*server).rack == rack).collect()
    }

    /// Proposes a change of one key to the leader.
    fn propose(&mut self, change: usize) {
        let value = (1 + change % 9).to_string();
        let Some(number) = self.fleet.propose(vec![Change::set(&key(change % KEYS), &value)]) else {
            self.not_published += 1;
            return;
        };
        self.newest_revision = number;
        // Servers that were away are measured from their return, until they have caught up.
        let fleet = &self.fleet;
        self.catching_up.retain(|server, newest_revision| {
            fleet.member(*server).is_some_and(|member| member.applied() < *newest_revision)
        });
        let is_reached =
            |server: &usize| !self.cut_off.contains(server) && !self.catching_up.contains_key(server);
        let receivers = self.fleet.running().into_iter().filter(is_reached).collect();
        self.published.push(PublishedChange { at: self.fleet.now(), number, receivers });
    }

    /// Servers that stop while changes are on their way are not measured for these.
    fn remove_receivers(&mut self, is_gone: impl Fn(&usize) -> bool) {
        for change in self.published.iter_mut().rev().take(RECENT_CHANGES) {
            change.receivers.retain(|server| !is_gone(server));
        }
    }

    fn crash(&mut self, server: usize) {
        self.fleet.crash(server);
        self.restarts += 1;
        self.remove_receivers(|receiver| *receiver == server);
    }

    fn restart(&mut self, server: usize, had_empty_disk: bool) {
        if self.fleet.member(server).is_some() {
            return;
        }
        if had_empty_disk {
            self.fleet.truncate_disk(server, 0.0);
        }
        self.fleet.start(server);
        if !self.cut_off.contains(&server) {
            self.record_return(server, had_empty_disk);
        }
    }

    /// A server is reached again: its time to catch up is measured from now.
    fn record_return(&mut self, server: usize, had_empty_disk: bool) {
        let (at, newest_revision) = (self.fleet.now(), self.newest_revision);
        self.returned.push(ReturnedServer { at, server, newest_revision, had_empty_disk });
        self.catching_up.insert(server, newest_revision);
    }

    /// Cuts the servers at places that `is_cut` picks from the rest.
    fn cut(&mut self, is_cut: impl Fn(Place) -> bool) {
        for server in 0..self.servers {
            self.fleet.set_group(server, u32::from(is_cut(Place::of(server))));
        }
        self.cut_off = (0..self.servers).filter(|server| is_cut(Place::of(*server))).collect();
        self.remove_receivers(|server| is_cut(Place::of(*server)));
        self.fleet.cut(0, 1);
    }

    fn heal(&mut self) {
        self.fleet.heal();
        for server in std::mem::take(&mut self.cut_off) {
            if self.fleet.member(server).is_some() {
                self.record_return(server, false);
            }
        }
    }
}
