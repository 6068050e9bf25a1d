//! A fleet of model servers on a simulated network of regions and zones, in simulated time and deterministic
//! from its seed: crashes, restarts, and cuts between any two parts of it.

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

/// UDP port of all servers, each of which has an address of its own.
const PORT: u16 = 7000;

/// A datagram on the network.
struct Delivery {
    to: usize,
    from: usize,
    datagram: Vec<u8>,
}

/// When a server is due.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    at: Nanos,
    server: usize,
}

/// A fleet of the model.
pub struct Fleet {
    settings: Settings,
    seed: u64,
    servers: Vec<Option<ModelServer>>,
    /// The side of a cut that each server is on; all begin in group 0.
    groups: Vec<u32>,
    /// Pairs of groups between which datagrams are lost.
    cuts: HashSet<(u32, u32)>,
    /// Share of datagrams lost, 0 to 1.
    pub loss: f64,
    /// Datagrams on their way.
    network: EventQueue<Delivery>,
    /// At least one of each server that runs; those that it has set since are among them.
    timers: BinaryHeap<Reverse<Timer>>,
    rng: ChaCha8Rng,
    now: Nanos,
    /// Costs of incarnations that have ended.
    ended_costs: Costs,
}

impl Fleet {
    /// A fleet of `size` servers of which none is started.
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

    /// A fleet whose servers all know each other already, and the seeds: without these, parts that were cut
    /// off for longer than down members are remembered would not find each other again.
    ///
    /// # Errors
    /// Where a core does not accept its settings.
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
            fleet.servers.iter().flatten().map(|one| one.membership.identity().clone()).collect();
        let seeds: Vec<SocketAddr> = seeds.iter().map(|seed| Self::address(*seed)).collect();
        for server in 0..size {
            if let Some(one) = &mut fleet.servers[server] {
                one.membership.join(&seeds, 0);
                one.membership.restore(ids.iter().cloned(), 0);
                one.membership.take_changes();
            }
            fleet.route(server);
        }
        Ok(fleet)
    }

    /// Number of servers, running or not.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether the fleet has no server.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Simulated time in nanoseconds from the start.
    pub fn now(&self) -> Nanos {
        self.now
    }

    /// A server's name.
    pub fn name(server: usize) -> String {
        format!("s{server}")
    }

    fn address(server: usize) -> SocketAddr {
        let [.., high, low] = (server as u32).to_be_bytes();
        SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::new(127, 1, high, low), PORT))
    }

    /// The server with an address, where there may be one.
    fn index(address: SocketAddr) -> Option<usize> {
        let SocketAddr::V4(address) = address else { return None };
        let [_, _, high, low] = address.ip().octets();
        Some(usize::from(high) << 8 | usize::from(low))
    }

    fn new_server(&self, server: usize) -> Result<ModelServer, ModelError> {
        let seed = self.seed ^ ((server as u64) << 20) ^ self.now;
        let mut settings = self.settings.clone();
        if let Some(replication) = &mut settings.replication {
            let place = Place::of(server);
            replication.member.location = Location { region: place.region_name(), zone: place.zone_name() };
        }
        ModelServer::new(&Self::name(server), Self::address(server), &settings, seed, self.now)
    }

    /// A server, while it runs.
    pub fn server(&self, server: usize) -> Option<&ModelServer> {
        self.servers[server].as_ref()
    }

    /// A server, while it runs.
    pub fn server_mut(&mut self, server: usize) -> Option<&mut ModelServer> {
        self.servers[server].as_mut()
    }

    /// The servers that run.
    pub fn running(&self) -> Vec<usize> {
        (0..self.servers.len()).filter(|server| self.servers[*server].is_some()).collect()
    }

    /// Costs of all servers together, from the start.
    pub fn costs(&self) -> Costs {
        let mut all = self.ended_costs;
        self.servers.iter().flatten().for_each(|one| all.add(&one.costs));
        all
    }

    /// Ends a server's process without a farewell.
    pub fn crash(&mut self, server: usize) {
        if let Some(ended) = self.servers[server].take() {
            self.ended_costs.add(&ended.costs);
        }
    }

    /// Starts or restarts a server with a later incarnation and the addresses of `seeds`.
    ///
    /// # Errors
    /// Where a core does not accept its settings.
    pub fn start(&mut self, server: usize, seeds: &[usize]) -> Result<(), ModelError> {
        self.crash(server);
        let mut started = self.new_server(server)?;
        let seeds: Vec<SocketAddr> = seeds.iter().map(|seed| Self::address(*seed)).collect();
        started.membership.join(&seeds, self.now);
        self.servers[server] = Some(started);
        self.route(server);
        Ok(())
    }

    /// Cuts the servers at places that `side` picks from the rest.
    pub fn cut(&mut self, side: impl Fn(Place) -> bool) {
        for server in 0..self.groups.len() {
            self.groups[server] = u32::from(side(Place::of(server)));
        }
        self.cuts = HashSet::from([(0, 1), (1, 0)]);
    }

    /// Ends all cuts.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cuts.contains(&(self.groups[from], self.groups[to]))
    }

    /// Puts what a server sends on the network, and sets its timer.
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

    /// Plays all events up to a time in nanoseconds.
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

    fn deliver(&mut self, Delivery { to, from, datagram }: &Delivery) {
        let Some(receiver) = self.servers[*to].as_mut() else { return };
        receiver.receive(Self::address(*from), datagram, self.now);
        self.route(*to);
    }

    /// A timer whose server is due later by now is dropped: the server has set another.
    fn fire(&mut self, timer: &Timer) {
        let Some(server) = self.servers[timer.server].as_mut() else { return };
        if server.next_due() > timer.at {
            return;
        }
        server.advance(self.now);
        self.route(timer.server);
    }

    /// Whether each of these servers holds exactly the others as members, in their present incarnations.
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

    /// Plays until `is_done`, which is looked at after each `step`; how long it took, in nanoseconds, or
    /// `None` where it took longer than `limit`.
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
