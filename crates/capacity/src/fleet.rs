//! Simulates a fleet of model servers on a network of regions and zones. The simulation supports crashes,
//! restarts and network partitions. It runs in simulated time and is deterministic for a given seed.

use crate::error::ModelError;
use crate::meter::Costs;
use crate::server::{ModelServer, Settings};
use crate::topology::{self, Place};
use meadowstream_membership::{Nanos, Transmit};
use meadowstream_replication::message::Location;
use meadowstream_replication::simulation::{Delay, EventQueue};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

/// UDP port that all servers use. Each server has its own IP address.
const PORT: u16 = 7000;

/// Datagram in transit on the simulated network, with the indexes of sender and receiver.
struct Delivery {
    to: usize,
    from: usize,
    datagram: Vec<u8>,
}

/// Timer of a server. At the simulated time of the timer, the server runs its due tasks.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    at: Nanos,
    server: usize,
}

/// A simulated fleet of model servers.
pub struct Fleet {
    settings: Settings,
    seed: u64,
    /// All servers by index. The entry of a server that is not running is `None`.
    servers: Vec<Option<ModelServer>>,
    /// Network partition group of each server, by server index. All servers start in group 0.
    groups: Vec<u32>,
    /// Pairs `(sender's group, receiver's group)`. All datagrams from the sender's group to the receiver's
    /// group are lost.
    cuts: HashSet<(u32, u32)>,
    /// Fraction of datagrams that the network loses at random, from 0 to 1.
    pub loss: f64,
    /// Datagrams in transit on the simulated network.
    network: EventQueue<Delivery>,
    /// Pending timers of all servers. Every running server has at least one timer, and may also have outdated
    /// timers, which have no effect.
    timers: BinaryHeap<Reverse<Timer>>,
    rng: ChaCha8Rng,
    /// Current simulated time, in nanoseconds since the start of the simulation.
    now: Nanos,
    /// Total CPU time and network traffic of server incarnations that have ended. An incarnation is one run
    /// of a server between start and crash.
    ended_costs: Costs,
}

impl Fleet {
    /// Creates a fleet of `size` servers. No server is running yet.
    pub fn new(size: usize, settings: Settings, seed: u64) -> Fleet {
        Fleet {
            settings,
            seed,
            servers: (0..size).map(|_| None).collect(),
            groups: vec![0; size],
            cuts: HashSet::new(),
            loss: 0.0,
            network: EventQueue::default(),
            timers: BinaryHeap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            ended_costs: Costs::default(),
        }
    }

    /// Creates a running fleet in which every server already knows all other servers. Every server also knows
    /// the seeds. Without the seeds, the separated parts of the fleet would not merge again after a long
    /// network partition, because servers forget unreachable members after some time.
    ///
    /// # Errors
    /// Returns an error if the settings are invalid.
    pub fn converged(
        size: usize,
        settings: Settings,
        seed: u64,
        seeds: &[usize],
    ) -> Result<Fleet, ModelError> {
        let mut fleet = Fleet::new(size, settings, seed);
        for server in 0..size {
            fleet.servers[server] = Some(fleet.new_server(server)?);
        }
        let ids: Vec<_> =
            fleet.servers.iter().flatten().map(|server| server.membership.identity().clone()).collect();
        let seeds: Vec<SocketAddr> = seeds.iter().map(|seed| Self::address(*seed)).collect();
        for index in 0..size {
            if let Some(server) = &mut fleet.servers[index] {
                server.membership.join(&seeds, 0);
                server.membership.restore(ids.iter().cloned(), 0);
                server.membership.take_changes();
            }
            fleet.route(index);
        }
        Ok(fleet)
    }

    /// Returns the total number of servers, including servers that are not running.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns whether the fleet was created with 0 servers.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Returns the simulated time in nanoseconds since the start of the simulation.
    pub fn now(&self) -> Nanos {
        self.now
    }

    /// Returns the name of the server with this index.
    pub fn name(server: usize) -> String {
        format!("s{server}")
    }

    /// Returns the network address of the server with this index.
    fn address(server: usize) -> SocketAddr {
        let [.., high, low] = (server as u32).to_be_bytes();
        SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::new(127, 1, high, low), PORT))
    }

    /// Returns the index of the server with this network address; `None` for an IPv6 address.
    fn index(address: SocketAddr) -> Option<usize> {
        let SocketAddr::V4(address) = address else { return None };
        let [_, _, high, low] = address.ip().octets();
        Some(usize::from(high) << 8 | usize::from(low))
    }

    /// Creates the model of a server, with a new incarnation and its own random seed.
    fn new_server(&self, server: usize) -> Result<ModelServer, ModelError> {
        let seed = self.seed ^ ((server as u64) << 20) ^ self.now;
        let mut settings = self.settings.clone();
        if let Some(replication) = &mut settings.replication {
            let place = Place::of(server);
            replication.member.location = Location { region: place.region_name(), zone: place.zone_name() };
        }
        ModelServer::new(&Self::name(server), Self::address(server), &settings, seed, self.now)
    }

    /// Returns a shared reference to the server with this index; `None` if the server is not running.
    pub fn server(&self, server: usize) -> Option<&ModelServer> {
        self.servers[server].as_ref()
    }

    /// Returns a mutable reference to the server with this index; `None` if the server is not running.
    pub fn server_mut(&mut self, server: usize) -> Option<&mut ModelServer> {
        self.servers[server].as_mut()
    }

    /// Returns the indexes of all running servers.
    pub fn running(&self) -> Vec<usize> {
        (0..self.servers.len()).filter(|server| self.servers[*server].is_some()).collect()
    }

    /// Returns the total CPU time and network traffic of all servers since the start of the simulation.
    /// Includes servers that have crashed.
    pub fn costs(&self) -> Costs {
        let mut total = self.ended_costs;
        self.servers.iter().flatten().for_each(|server| total.add(&server.costs));
        total
    }

    /// Stops a server abruptly. The server sends no notice to the other servers.
    pub fn crash(&mut self, server: usize) {
        if let Some(ended) = self.servers[server].take() {
            self.ended_costs.add(&ended.costs);
        }
    }

    /// Starts or restarts a server with a new incarnation. The server joins the fleet through `seeds`.
    ///
    /// # Errors
    /// Returns an error if the settings are invalid.
    pub fn start(&mut self, server: usize, seeds: &[usize]) -> Result<(), ModelError> {
        self.crash(server);
        let mut started = self.new_server(server)?;
        let seeds: Vec<SocketAddr> = seeds.iter().map(|seed| Self::address(*seed)).collect();
        started.membership.join(&seeds, self.now);
        self.servers[server] = Some(started);
        self.route(server);
        Ok(())
    }

    /// Starts a network partition that isolates some servers from all other servers. `is_cut` selects the
    /// isolated servers by their region, zone or rack.
    pub fn cut(&mut self, is_cut: impl Fn(Place) -> bool) {
        for server in 0..self.groups.len() {
            self.groups[server] = u32::from(is_cut(Place::of(server)));
        }
        self.cuts = HashSet::from([(0, 1), (1, 0)]);
    }

    /// Ends the network partition.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Returns whether a network partition drops the datagrams from the server `from` to the server `to`.
    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cuts.contains(&(self.groups[from], self.groups[to]))
    }

    /// Puts the outgoing datagrams of a server on the simulated network. Sets a timer for the next time at
    /// which the server has a due task.
    fn route(&mut self, from: usize) {
        let Some(sender) = self.servers[from].as_mut() else { return };
        let (outgoing, due) = (sender.take_outgoing(), sender.next_due());
        self.timers.push(Reverse(Timer { at: due, server: from }));
        for Transmit { to: address, datagram } in outgoing {
            let Some(to) = Self::index(address).filter(|to| *to < self.servers.len()) else { continue };
            let lost = self.loss > 0.0 && (self.rng.next_u64() as f64 / u64::MAX as f64) < self.loss;
            if lost || self.is_cut(from, to) {
                continue;
            }
            let Delay { least, jitter } = topology::delay(Place::of(from), Place::of(to));
            let at = self.now + least + self.rng.next_u64() % jitter;
            self.network.push(at, Delivery { to, from, datagram });
        }
    }

    /// Runs the simulation up to the simulated time `until`, in nanoseconds since the start of the
    /// simulation.
    pub fn run_until(&mut self, until: Nanos) {
        loop {
            let arrival = self.network.next_at().unwrap_or(Nanos::MAX);
            let due = self.timers.peek().map_or(Nanos::MAX, |Reverse(timer)| timer.at);
            let next = arrival.min(due);
            if next > until {
                break;
            }
            self.now = self.now.max(next);
            if arrival <= due {
                let Some((_, delivery)) = self.network.pop_until(arrival) else { break };
                self.deliver(&delivery);
            } else {
                let Some(Reverse(timer)) = self.timers.pop() else { break };
                self.fire(&timer);
            }
        }
        self.now = self.now.max(until);
    }

    /// Delivers a datagram to its receiver. The datagram is lost if the receiver is not running.
    fn deliver(&mut self, Delivery { to, from, datagram }: &Delivery) {
        let Some(receiver) = self.servers[*to].as_mut() else { return };
        receiver.receive(Self::address(*from), datagram, self.now);
        self.route(*to);
    }

    /// Lets a server run its due tasks when a timer fires. A timer that fires before the server's next due
    /// time is outdated and has no effect. The server then has another timer for its next due time.
    fn fire(&mut self, timer: &Timer) {
        let Some(server) = self.servers[timer.server].as_mut() else { return };
        if server.next_due() > timer.at {
            return;
        }
        server.advance(self.now);
        self.route(timer.server);
    }

    /// Returns whether the membership views of `servers` agree. Servers that are not running are ignored. The
    /// views agree if every running server in `servers` sees all other running servers in `servers`, with
    /// their current incarnations, and no further member.
    pub fn views_agree(&self, servers: &[usize]) -> bool {
        let running = || servers.iter().filter_map(|server| self.servers[*server].as_ref());
        let own = |server: &ModelServer| {
            let identity = server.membership.identity();
            (identity.addr, identity.incarnation)
        };
        let mut all: Vec<(SocketAddr, u64)> = running().map(own).collect();
        all.sort_unstable();
        running().all(|server| {
            let mut members = server.membership.members();
            members.push(own(server));
            members.sort_unstable();
            members == all
        })
    }

    /// Runs the simulation until `is_done` returns true. `is_done` is checked at the start and then every
    /// `step` nanoseconds. Returns the elapsed simulated time in nanoseconds, or `None` if `limit`
    /// nanoseconds pass first.
    pub fn run_until_done(
        &mut self,
        step: Nanos,
        limit: Nanos,
        mut is_done: impl FnMut(&Fleet) -> bool,
    ) -> Option<Nanos> {
        let started_at = self.now;
        while self.now - started_at <= limit {
            if is_done(self) {
                return Some(self.now - started_at);
            }
            self.run_until(self.now + step);
        }
        None
    }
}
