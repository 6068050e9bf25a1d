//! Runs the events of the simulated day on the fleet. Records the published changes and the returns of
//! servers after a restart or a network partition.

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
/// Simulated time after which a failed machine is replaced by a machine with an empty disk, in nanoseconds.
const REPLACED_AFTER_NS: Nanos = 300 * SECOND_NS;
/// Simulated time for which a restarting server is down, in nanoseconds.
const RESTARTED_AFTER_NS: Nanos = 5 * SECOND_NS;
/// Number of replicas of the configuration log. In this simulation, the control machines are the replicas.
const REPLICAS: usize = VOTERS;
/// Number of configuration keys at the start of the day.
const KEYS: usize = 2_000;
/// Number of keys that one change sets when the initial configuration is published.
const KEYS_PER_CHANGE: usize = 200;
/// When a server stops or is cut off, it is removed from the receivers of this number of latest changes. The
/// server may not have received these changes.
const RECENT_CHANGES: usize = 20;

/// A configuration change that the leader accepted.
pub(super) struct PublishedChange {
    /// Time at which the leader accepted the change, in simulated Unix nanoseconds.
    pub(super) at: Nanos,
    /// Number of the revision that contains the change.
    pub(super) number: u64,
    /// Indexes of the servers for which the delay of the change is measured. Servers that stop or become
    /// unreachable are left out.
    pub(super) receivers: Vec<usize>,
}

/// A server that became reachable again after a restart or a network partition.
pub(super) struct ReturnedServer {
    /// Time at which the server became reachable again, in simulated Unix nanoseconds.
    pub(super) at: Nanos,
    /// Index of the server.
    pub(super) server: usize,
    /// Number of the revision that was newest when the server returned.
    pub(super) newest_revision: u64,
    /// Whether the server started with an empty disk.
    pub(super) had_empty_disk: bool,
}

/// State of the simulated day.
pub(super) struct Run {
    pub(super) fleet: Fleet,
    /// Start of the day, in simulated Unix nanoseconds.
    pub(super) started_at: Nanos,
    /// Number of servers in the fleet.
    servers: usize,
    /// Indexes of the servers that a network partition currently cuts off.
    cut_off: Vec<usize>,
    /// Changes that the leader accepted, oldest first.
    pub(super) published: Vec<PublishedChange>,
    /// Servers that became reachable again after a restart or a network partition, oldest first.
    pub(super) returned: Vec<ReturnedServer>,
    /// Servers that have returned but not caught up yet. The key is the index of a server. The value is the
    /// number of the revision that was newest when the server returned.
    catching_up: BTreeMap<usize, u64>,
    /// Number of configuration changes that were proposed without success. Either there was no leader, or the
    /// leader had too many uncommitted changes.
    pub(super) not_published: usize,
    /// Number of server restarts and server failures so far. Failures of control machines are not counted.
    pub(super) restarts: usize,
    /// Number of the latest revision that the leader accepted.
    newest_revision: u64,
}

/// Returns the region and zone of a server, in the form that the replication settings use.
fn location(server: usize) -> Location {
    let place = Place::of(server);
    Location { region: place.region_name(), zone: place.zone_name() }
}

/// Returns the one-way network delay between two servers.
fn delay(from: usize, to: usize) -> Delay {
    topology::delay(Place::of(from), Place::of(to))
}

/// Returns the configuration key of the tenant with this number.
fn key(number: usize) -> String {
    format!("tenants/tenant/tenant-{number:05}")
}

impl Run {
    /// Starts a fleet and publishes the initial configuration.
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

    /// Applies an event to the fleet. `at` is the time of the event in nanoseconds since the start of the
    /// day. If a random server restarts or fails, the function also schedules the server's return in
    /// `events`.
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

    /// Returns a random server that is not a control machine.
    fn random_server(&self, rng: &mut ChaCha8Rng) -> usize {
        REPLICAS + (rng.next_u64() % (self.servers - REPLICAS) as u64) as usize
    }

    /// Returns the servers of the rack that contains the server with the highest index. Control machines are
    /// left out.
    fn last_rack(&self) -> Vec<usize> {
        let rack = Place::of(self.servers - 1).rack;
        (REPLICAS..self.servers).filter(|server| Place::of(*server).rack == rack).collect()
    }

    /// Proposes a configuration change to the leader. The change sets one key, selected by the number
    /// `change`.
    fn propose(&mut self, change: usize) {
        let value = (1 + change % 9).to_string();
        let Some(number) = self.fleet.propose(vec![Change::set(&key(change % KEYS), &value)]) else {
            self.not_published += 1;
            return;
        };
        self.newest_revision = number;
        // A server that has returned and not caught up yet is not a receiver of the new change. The catch-up
        // time of this server is measured instead of the delay of the change.
        let fleet = &self.fleet;
        self.catching_up.retain(|server, newest_revision| {
            fleet.member(*server).is_some_and(|member| member.applied() < *newest_revision)
        });
        let is_receiver =
            |server: &usize| !self.cut_off.contains(server) && !self.catching_up.contains_key(server);
        let receivers = self.fleet.running().into_iter().filter(is_receiver).collect();
        self.published.push(PublishedChange { at: self.fleet.now(), number, receivers });
    }

    /// Removes all servers for which `is_gone` is true from the receivers of the latest changes. A removed
    /// server may not have received these changes before it stopped or was cut off. Its delays are therefore
    /// not measured.
    fn remove_receivers(&mut self, is_gone: impl Fn(&usize) -> bool) {
        for change in self.published.iter_mut().rev().take(RECENT_CHANGES) {
            change.receivers.retain(|server| !is_gone(server));
        }
    }

    /// Crashes a server, counts its restart and removes it from the receivers of the latest changes.
    fn crash(&mut self, server: usize) {
        self.fleet.crash(server);
        self.restarts += 1;
        self.remove_receivers(|receiver| *receiver == server);
    }

    /// Starts a server unless it is already running. If `had_empty_disk` is true, the server starts with an
    /// empty disk. Records the return of the server if no network partition cuts it off.
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

    /// Records that a server is reachable again. The server's catch-up time starts now.
    fn record_return(&mut self, server: usize, had_empty_disk: bool) {
        let (at, newest_revision) = (self.fleet.now(), self.newest_revision);
        self.returned.push(ReturnedServer { at, server, newest_revision, had_empty_disk });
        self.catching_up.insert(server, newest_revision);
    }

    /// Starts a network partition that isolates some servers from all other servers. `is_cut` selects the
    /// isolated servers by their region, zone or rack.
    fn cut(&mut self, is_cut: impl Fn(Place) -> bool) {
        for server in 0..self.servers {
            self.fleet.set_group(server, u32::from(is_cut(Place::of(server))));
        }
        self.cut_off = (0..self.servers).filter(|server| is_cut(Place::of(*server))).collect();
        self.remove_receivers(|server| is_cut(Place::of(*server)));
        self.fleet.cut(0, 1);
    }

    /// Ends the network partition. Records the return of each running server that was cut off.
    fn heal(&mut self) {
        self.fleet.heal();
        for server in std::mem::take(&mut self.cut_off) {
            if self.fleet.member(server).is_some() {
                self.record_return(server, false);
            }
        }
    }
}
