//! A fleet of hollow servers on a simulated network of regions and zones, in simulated time and deterministic
//! from its seed: crashes, restarts, and cuts between any two parts of it.

use crate::hollow::{Hollow, Settings};
use crate::meter::Costs;
use crate::topology::{self, Place};
use meadowstream_membership::{Nanos, Transmit};
use meadowstream_replication::message::Location;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use std::cmp::{Ordering, Reverse};
use std::collections::{BinaryHeap, HashSet};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

const PORT: u16 = 7000;

struct Delivery {
    at: Nanos,
    sequence: u64,
    to: usize,
    from: usize,
    datagram: Vec<u8>,
}

impl PartialEq for Delivery {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for Delivery {}

impl PartialOrd for Delivery {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Delivery {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

pub struct Fleet {
    settings: Settings,
    seed: u64,
    servers: Vec<Option<Hollow>>,
    /// Groups that a cut tells apart; all in group 0 where nothing is cut.
    groups: Vec<u32>,
    cuts: HashSet<(u32, u32)>,
    /// Share of datagrams lost, 0 to 1.
    pub loss: f64,
    network: BinaryHeap<Reverse<Delivery>>,
    timers: BinaryHeap<Reverse<(Nanos, usize)>>,
    rng: ChaCha8Rng,
    sequence: u64,
    now: Nanos,
    /// Costs of lives that have ended.
    ended: Costs,
}

impl Fleet {
    /// Room for `size` servers, none started.
    pub fn new(size: usize, settings: Settings, seed: u64) -> Fleet {
        Fleet {
            settings,
            seed,
            servers: (0..size).map(|_| None).collect(),
            groups: vec![0; size],
            cuts: HashSet::new(),
            loss: 0.0,
            network: BinaryHeap::new(),
            timers: BinaryHeap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            sequence: 0,
            now: 0,
            ended: Costs::default(),
        }
    }

    /// A fleet whose servers all know each other already, and the seeds: without these, parts that were cut
    /// off for longer than those held down are remembered would not find each other again.
    pub fn settled(size: usize, settings: Settings, seed: u64, seeds: &[usize]) -> Result<Fleet, String> {
        let mut fleet = Fleet::new(size, settings, seed);
        for server in 0..size {
            fleet.servers[server] = Some(fleet.hollow(server)?);
        }
        let ids: Vec<_> =
            fleet.servers.iter().flatten().map(|one| one.membership.identity().clone()).collect();
        let seeds: Vec<SocketAddr> = seeds.iter().map(|seed| Self::address(*seed)).collect();
        for server in 0..size {
            if let Some(hollow) = &mut fleet.servers[server] {
                hollow.membership.join(&seeds, 0);
                hollow.membership.restore(ids.iter().cloned(), 0);
                hollow.membership.take_changes();
            }
            fleet.route(server);
        }
        Ok(fleet)
    }

    pub fn len(&self) -> usize {
        self.servers.len()
    }

    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    pub fn now(&self) -> Nanos {
        self.now
    }

    pub fn name(server: usize) -> String {
        format!("s{server}")
    }

    fn address(server: usize) -> SocketAddr {
        let [.., high, low] = (server as u32).to_be_bytes();
        SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::new(127, 1, high, low), PORT))
    }

    fn index(address: SocketAddr) -> Option<usize> {
        let SocketAddr::V4(address) = address else { return None };
        let [_, _, high, low] = address.ip().octets();
        Some(usize::from(high) << 8 | usize::from(low))
    }

    fn hollow(&self, server: usize) -> Result<Hollow, String> {
        let seed = self.seed ^ ((server as u64) << 20) ^ self.now;
        let mut settings = self.settings.clone();
        if let Some((replication, _)) = &mut settings.replication {
            let place = Place::of(server);
            replication.location = Location { region: place.region_name(), zone: place.zone_name() };
        }
        Hollow::new(&Self::name(server), Self::address(server), &settings, seed, self.now)
    }

    pub fn server(&self, server: usize) -> Option<&Hollow> {
        self.servers[server].as_ref()
    }

    pub fn server_mut(&mut self, server: usize) -> Option<&mut Hollow> {
        self.servers[server].as_mut()
    }

    pub fn running(&self) -> Vec<usize> {
        (0..self.servers.len()).filter(|server| self.servers[*server].is_some()).collect()
    }

    /// Costs of all servers together, from the start.
    pub fn costs(&self) -> Costs {
        let mut all = self.ended;
        self.servers.iter().flatten().for_each(|one| all.add(&one.costs));
        all
    }

    /// Gone without a word.
    pub fn crash(&mut self, server: usize) {
        if let Some(gone) = self.servers[server].take() {
            self.ended.add(&gone.costs);
        }
    }

    /// Starts a server, again with a later incarnation, with the addresses of `seeds`.
    pub fn start(&mut self, server: usize, seeds: &[usize]) -> Result<(), String> {
        self.crash(server);
        let mut hollow = self.hollow(server)?;
        let seeds: Vec<SocketAddr> = seeds.iter().map(|seed| Self::address(*seed)).collect();
        hollow.membership.join(&seeds, self.now);
        self.servers[server] = Some(hollow);
        self.route(server);
        Ok(())
    }

    /// Puts servers that `side` picks on another side, which hears nothing of the rest and is not heard.
    pub fn cut(&mut self, side: impl Fn(usize, Place) -> bool) {
        for server in 0..self.groups.len() {
            self.groups[server] = u32::from(side(server, Place::of(server)));
        }
        self.cuts = HashSet::from([(0, 1), (1, 0)]);
    }

    /// Cuts all regions from each other.
    pub fn cut_regions(&mut self) {
        for server in 0..self.groups.len() {
            self.groups[server] = Place::of(server).region as u32;
        }
        let regions = 0..topology::REGIONS as u32;
        let pairs = regions.clone().flat_map(|from| regions.clone().map(move |to| (from, to)));
        self.cuts = pairs.filter(|(from, to)| from != to).collect();
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cuts.contains(&(self.groups[from], self.groups[to]))
    }

    /// Puts what a server sends on the network, and notes when it is next due.
    fn route(&mut self, from: usize) {
        let Some(hollow) = self.servers[from].as_mut() else { return };
        let (outgoing, due) = (hollow.outgoing(), hollow.next_due());
        self.timers.push(Reverse((due, from)));
        for Transmit { to: address, datagram } in outgoing {
            let Some(to) = Self::index(address).filter(|to| *to < self.servers.len()) else { continue };
            let lost = self.loss > 0.0 && (self.rng.next_u64() as f64 / u64::MAX as f64) < self.loss;
            if lost || self.is_cut(from, to) {
                continue;
            }
            let (least, jitter) = topology::delay(Place::of(from), Place::of(to));
            let at = self.now + least + self.rng.next_u64() % jitter;
            self.sequence += 1;
            self.network.push(Reverse(Delivery { at, sequence: self.sequence, to, from, datagram }));
        }
    }

    /// Plays everything up to `until`.
    pub fn run_until(&mut self, until: Nanos) {
        loop {
            let arrives = self.network.peek().map_or(Nanos::MAX, |Reverse(next)| next.at);
            let due = self.timers.peek().map_or(Nanos::MAX, |Reverse((at, _))| *at);
            if arrives.min(due) > until {
                break;
            }
            self.now = self.now.max(arrives.min(due));
            if arrives <= due {
                let Reverse(Delivery { to, from, datagram, .. }) = self.network.pop().expect("peeked");
                self.deliver(from, to, &datagram);
            } else {
                let Reverse((at, server)) = self.timers.pop().expect("peeked");
                self.fire(server, at);
            }
        }
        self.now = self.now.max(until);
    }

    fn deliver(&mut self, from: usize, to: usize, datagram: &[u8]) {
        let Some(hollow) = self.servers[to].as_mut() else { return };
        hollow.receive(Self::address(from), datagram, self.now);
        self.route(to);
    }

    /// A timer that was moved meanwhile has another entry of its own.
    fn fire(&mut self, server: usize, at: Nanos) {
        // One that is due at once, again and again, still lets time go on.
        let Some(hollow) = self.servers[server].as_mut().filter(|hollow| hollow.next_due() <= at) else {
            return;
        };
        hollow.advance(self.now);
        self.route(server);
    }

    /// Whether each of `who` holds exactly the others as members, in their present incarnations.
    pub fn agree(&self, who: &[usize]) -> bool {
        let of = |server: &usize| self.servers[*server].as_ref().map(|one| one.membership.identity());
        let mut all: Vec<(SocketAddr, u64)> =
            who.iter().filter_map(of).map(|me| (me.addr, me.incarnation)).collect();
        all.sort_unstable();
        who.iter().filter_map(|server| self.servers[*server].as_ref()).all(|one| {
            let me = one.membership.identity();
            let mut members = one.membership.members();
            members.push((me.addr, me.incarnation));
            members.sort_unstable();
            members == all
        })
    }

    /// Plays until `done` or for `limit`; how long it took, where it did.
    pub fn run_until_true(
        &mut self,
        step: Nanos,
        limit: Nanos,
        mut done: impl FnMut(&Fleet) -> bool,
    ) -> Option<Nanos> {
        let began = self.now;
        while self.now - began <= limit {
            if done(self) {
                return Some(self.now - began);
            }
            self.run_until(self.now + step);
        }
        None
    }
}
