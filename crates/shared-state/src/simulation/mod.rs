//! A fleet of [`SharedState`]s on a simulated network in simulated time. The simulation is deterministic for
//! a given seed. The servers call one dependency (a downstream service), which counts the calls in progress
//! at any time. Tests use the simulation, and it produces the figures in `docs/shared-state.md`.

mod clocks;
mod events;
mod network;
mod random;
mod server;

use crate::SharedState;
use crate::clock::Nanos;
use crate::server_id::ServerId;
use crate::settings::Settings;
pub use clocks::{ClockRates, EPOCH};
use events::{Event, EventQueue};
pub use network::NetworkFaults;
use network::Partitions;
use random::Random;
use server::Server;
use std::collections::{BTreeMap, HashMap};

const MILLISECOND_NS: Nanos = 1_000_000;
/// Default duration of a server's call to the dependency, in nanoseconds.
const CALL_DURATION_NS: Nanos = 50 * MILLISECOND_NS;
/// Interval at which a server without demand checks for new demand, in nanoseconds. The first events of a
/// started server also have a random delay of less than this time.
const IDLE_INTERVAL_NS: Nanos = 50 * MILLISECOND_NS;
/// Maximum number of servers in a small fleet. In a small fleet, servers perform their periodic actions more
/// often than in a large fleet, and each server knows all members that are alive.
const SMALL_FLEET: usize = 64;
const SMALL_FLEET_INTERVAL_NS: Nanos = 25 * MILLISECOND_NS;
const LARGE_FLEET_INTERVAL_NS: Nanos = 100 * MILLISECOND_NS;
/// Maximum number of members that a server of a large fleet considers alive at a time. The members are drawn
/// at random.
const LARGE_FLEET_MEMBERS: usize = 4;

/// The simulated fleet, its network, and the dependency (a downstream service) that the servers call. Each
/// server is identified by its index. Server `i` has the name `s{i}`.
pub struct Fleet {
    settings: Settings,
    servers: Vec<Server>,
    indices: HashMap<String, usize>,
    partitions: Partitions,
    events: EventQueue,
    random: Random,
    /// True time (the time of the simulation) since the start, in nanoseconds.
    now: Nanos,
    /// Faults and delays of the simulated network.
    pub network: NetworkFaults,
    /// Duration of a server's call to the dependency, in nanoseconds.
    pub call_duration: Nanos,
    /// Time from the permit of a call until the server sends the call, in nanoseconds.
    pub send_delay: Nanos,
    /// Number of calls that had a permit but were never sent. Either the server was suspended for so long
    /// that the permit was no longer valid, or the server's process had ended.
    pub withheld: u64,
    /// Number of calls that are in progress at the dependency now.
    pub in_use: u64,
    /// Maximum number of calls that were in progress at the dependency at the same time.
    pub in_use_max: u64,
    /// Number of calls in progress at the dependency, integrated over the time since the previous call of
    /// [`Fleet::mean_use`]. The unit is calls times nanoseconds.
    use_integral: u128,
    calls: u64,
    /// Number of calls that were refused because the server's budget did not permit them.
    pub refused: u64,
    /// Number of calls that the dependency received from each server. The key is the index of the server.
    pub served: BTreeMap<usize, u64>,
}

impl Fleet {
    /// Creates a fleet of `servers` servers. None of the servers is running yet.
    pub fn new(servers: usize, settings: Settings, seed: u64, network: NetworkFaults) -> Fleet {
        Fleet {
            settings,
            servers: (0..servers).map(|_| Server::new()).collect(),
            indices: (0..servers).map(|index| (name(index), index)).collect(),
            partitions: Partitions::default(),
            events: EventQueue::default(),
            random: Random::new(seed),
            now: 0,
            network,
            call_duration: CALL_DURATION_NS,
            send_delay: 0,
            withheld: 0,
            in_use: 0,
            in_use_max: 0,
            use_integral: 0,
            calls: 0,
            refused: 0,
            served: BTreeMap::new(),
        }
    }

    /// Returns the true time (the time of the simulation) since the start, in nanoseconds.
    pub fn now(&self) -> Nanos {
        self.now
    }

    /// Starts a server.
    pub fn start(&mut self, index: usize) {
        let incarnation = self.servers[index].clocks.read(self.now).wall;
        self.start_with_id(index, ServerId { name: name(index), incarnation });
    }

    /// Starts a server with the given identity. The identity may be that of an earlier incarnation of the
    /// server.
    pub fn start_with_id(&mut self, index: usize, id: ServerId) {
        let reading = self.servers[index].clocks.read(self.now);
        let seed = self.random.next_u64();
        let state = SharedState::new(id, self.settings.clone(), seed, reading)
            .expect("the settings of a simulation are valid");
        let incarnation = self.servers[index].start(state);
        let first = self.random.below(IDLE_INTERVAL_NS);
        self.schedule(first, Event::Advance { server: index, incarnation });
        self.schedule(first, Event::Arrival { server: index, incarnation });
    }

    /// Kills a server's process. Calls that the server has sent continue at the dependency until they end
    /// there.
    pub fn crash(&mut self, index: usize) {
        self.servers[index].state = None;
    }

    /// Suspends or resumes a server's process.
    pub fn set_suspended(&mut self, index: usize, suspended: bool) {
        self.servers[index].suspended = suspended;
    }

    /// Sets the rates of a server's clocks and the offset of its wall clock, from the current time on.
    pub fn set_clocks(&mut self, index: usize, rates: ClockRates) {
        self.servers[index].clocks.set_rates(self.now, rates);
    }

    /// Sets the rate at which a server receives requests, per second. Each request needs one call to the
    /// dependency.
    pub fn set_demand(&mut self, index: usize, calls_per_second: f64) {
        self.servers[index].demand = calls_per_second;
    }

    /// Assigns a server to a network group. Every server is in group 0 until it is assigned to another group.
    pub fn set_group(&mut self, index: usize, group: u32) {
        self.servers[index].group = group;
    }

    /// Disconnects the servers of two network groups from each other.
    pub fn partition(&mut self, group: u32, other: u32) {
        self.partitions.cut(group, other);
    }

    /// Reconnects all network groups.
    pub fn heal(&mut self) {
        self.partitions.heal();
    }

    /// Returns the shared state of a server, or `None` if the server is not running.
    pub fn state(&self, index: usize) -> Option<&SharedState> {
        self.servers[index].state.as_ref()
    }

    /// Returns a mutable reference to the state that [`Fleet::state`] returns.
    pub fn state_mut(&mut self, index: usize) -> Option<&mut SharedState> {
        self.servers[index].state.as_mut()
    }

    /// Delivers a message body to a server at the current time, as if a peer had sent the message.
    pub fn inject(&mut self, to: usize, body: Vec<u8>) {
        self.schedule(0, Event::Message { to, body });
    }

    /// Returns the mean number of calls in progress at the dependency from `since` until now. `since` must be
    /// the time of the previous call of this method.
    pub fn mean_use(&mut self, since: Nanos) -> f64 {
        let mean = self.use_integral as f64 / (self.now - since).max(1) as f64;
        self.use_integral = 0;
        mean
    }

    /// Runs the simulation until the true time `until`, in nanoseconds since the start.
    pub fn run_until(&mut self, until: Nanos) {
        while let Some((at, event)) = self.events.pop(until) {
            self.pass_time(at);
            self.handle(event);
        }
        self.pass_time(until);
    }

    fn pass_time(&mut self, to: Nanos) {
        self.use_integral += u128::from(self.in_use) * u128::from(to - self.now);
        self.now = to;
    }

    fn schedule(&mut self, after: Nanos, event: Event) {
        self.events.schedule(self.now + after, event);
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        self.partitions.are_connected(self.servers[from].group, self.servers[to].group)
    }

    /// Takes the messages that a server has queued for sending, and gives them to the simulated network.
    fn send_outgoing(&mut self, from: usize) {
        let Some(state) = self.servers[from].state.as_mut() else { return };
        for (name, body) in state.take_outgoing() {
            let Some(&to) = self.indices.get(&name) else { continue };
            if !self.reaches(from, to) {
                continue;
            }
            for delay in self.network.delays(&mut self.random) {
                self.schedule(delay, Event::Message { to, body: body.clone() });
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Message { to, body } => {
                if self.servers[to].receive(self.now, &body) {
                    self.send_outgoing(to);
                }
            }
            Event::Advance { server, incarnation } => {
                if self.servers[server].incarnation == incarnation {
                    let small = self.servers.len() <= SMALL_FLEET;
                    let interval = if small { SMALL_FLEET_INTERVAL_NS } else { LARGE_FLEET_INTERVAL_NS };
                    self.schedule(interval, Event::Advance { server, incarnation });
                    self.advance(server);
                }
            }
            Event::Arrival { server, incarnation } => {
                if self.servers[server].incarnation == incarnation {
                    self.handle_arrival(server, incarnation);
                }
            }
            Event::Send { server, incarnation, call } => self.send(server, incarnation, call),
            Event::CallEnd { server, incarnation, call } => {
                self.in_use -= 1;
                self.servers[server].end_call(incarnation, call);
            }
        }
    }

    fn advance(&mut self, index: usize) {
        let alive = self.living_members(index);
        if self.servers[index].advance(self.now, &alive) {
            self.send_outgoing(index);
        }
    }

    /// Returns the names of the other servers that a server considers alive. In a small fleet, the result
    /// contains all running servers that the server can reach, as with an ideal membership. In a large fleet,
    /// the result contains a few randomly drawn servers.
    fn living_members(&mut self, index: usize) -> Vec<String> {
        let mut members = Vec::new();
        if self.servers.len() <= SMALL_FLEET {
            for other in 0..self.servers.len() {
                if other != index && self.servers[other].state.is_some() && self.reaches(index, other) {
                    members.push(name(other));
                }
            }
            return members;
        }
        for _ in 0..LARGE_FLEET_MEMBERS {
            let other = self.random.below(self.servers.len() as u64) as usize;
            if other != index {
                members.push(name(other));
            }
        }
        members
    }

    fn handle_arrival(&mut self, server: usize, incarnation: u64) {
        let demand = self.servers[server].demand;
        let interval = if demand > 0.0 { self.random.interarrival(demand) } else { IDLE_INTERVAL_NS };
        self.schedule(interval.max(1), Event::Arrival { server, incarnation });
        if demand > 0.0 {
            self.call(server, incarnation);
        }
    }

    /// Begins a call from a server to the dependency, if the server's budget permits the call.
    fn call(&mut self, server: usize, incarnation: u64) {
        let call = self.calls + 1;
        match self.servers[server].try_call(self.now, call) {
            None => return,
            Some(false) => {
                self.refused += 1;
                return;
            }
            Some(true) => {}
        }
        self.calls = call;
        if self.send_delay == 0 {
            self.send(server, incarnation, call);
        } else {
            self.schedule(self.send_delay, Event::Send { server, incarnation, call });
        }
    }

    /// Sends a call that has a permit to the dependency. If the server's process is suspended, sending is
    /// tried again later. If the process has ended, the call is dropped.
    fn send(&mut self, server: usize, incarnation: u64, call: u64) {
        if self.servers[server].incarnation != incarnation {
            return;
        }
        if self.servers[server].suspended {
            return self.schedule(MILLISECOND_NS, Event::Send { server, incarnation, call });
        }
        if !self.servers[server].permit_send(self.now, call) {
            self.withheld += 1;
            return;
        }
        *self.served.entry(server).or_default() += 1;
        self.in_use += 1;
        self.in_use_max = self.in_use_max.max(self.in_use);
        self.schedule(self.call_duration, Event::CallEnd { server, incarnation, call });
    }
}

fn name(index: usize) -> String {
    format!("s{index}")
}
