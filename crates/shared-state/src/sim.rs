//! A fleet of [`SharedState`]s on a simulated network in simulated time, deterministic from its seed, around
//! one dependency that counts at every moment what is in use. For tests and the figures of
//! `docs/shared-state.md`; no I/O.

use crate::clock::{Nanos, Reading};
use crate::permits::Permits;
use crate::{ServerId, Settings, SharedState};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};

#[derive(Clone, Copy, Debug, Default)]
pub struct Net {
    /// Shares of messages lost and doubled, 0 to 1.
    pub loss: f64,
    pub duplicate: f64,
    /// Least delay, and the most added at random: enough of it reorders.
    pub delay: Nanos,
    pub jitter: Nanos,
}

/// How one server's clocks go: parts per thousand of true time, and what was added to each.
#[derive(Clone, Copy, Debug)]
pub struct Clocks {
    pub monotonic_rate: u64,
    pub wall_rate: u64,
    pub wall_leap: i64,
}

impl Default for Clocks {
    fn default() -> Self {
        Clocks { monotonic_rate: 1000, wall_rate: 1000, wall_leap: 0 }
    }
}

struct Server {
    state: Option<SharedState>,
    stalled: bool,
    clocks: Clocks,
    /// True time at which the clocks were last set to run so, and what they showed.
    set: (Nanos, Reading),
    permits: Permits,
    /// Calls a second it would make, and how long each takes.
    demand: f64,
    group: u32,
    lives: u64,
}

impl Server {
    fn reading(&self, now: Nanos) -> Reading {
        let passed = now - self.set.0;
        let wall = self.set.1.wall + passed * self.clocks.wall_rate / 1000;
        Reading {
            monotonic: self.set.1.monotonic + passed * self.clocks.monotonic_rate / 1000,
            wall: wall.saturating_add_signed(self.clocks.wall_leap),
        }
    }
}

enum Event {
    Message(usize, Vec<u8>),
    Step(usize, u64),
    Arrival(usize, u64),
    /// A call of that life of a server ends.
    End(usize, u64, u64),
}

/// True time starts here: incarnations are wall times.
pub const EPOCH: Nanos = 1_700_000_000_000_000_000;

pub struct Fleet {
    settings: Settings,
    servers: Vec<Server>,
    names: HashMap<String, usize>,
    cut: HashSet<(u32, u32)>,
    queue: BinaryHeap<Reverse<(Nanos, u64)>>,
    events: HashMap<u64, Event>,
    rng: ChaCha8Rng,
    seq: u64,
    now: Nanos,
    pub net: Net,
    /// How long a call takes below.
    pub call: Nanos,
    /// In use at the dependency now, and the most ever.
    pub in_use: u64,
    pub most: u64,
    /// Unit-nanoseconds in use, for the share of the budget that was used.
    area: u128,
    calls: u64,
    pub refused: u64,
    /// Calls that the dependency got, by server: what counts must come to.
    pub served: BTreeMap<usize, u64>,
}

impl Fleet {
    pub fn new(n: usize, settings: Settings, seed: u64, net: Net) -> Fleet {
        let server = || Server {
            state: None,
            stalled: false,
            clocks: Clocks::default(),
            set: (0, Reading { monotonic: 5, wall: EPOCH }),
            permits: Permits::default(),
            demand: 0.0,
            group: 0,
            lives: 0,
        };
        Fleet {
            settings,
            servers: (0..n).map(|_| server()).collect(),
            names: (0..n).map(|i| (format!("s{i}"), i)).collect(),
            cut: HashSet::new(),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            seq: 0,
            now: 0,
            net,
            call: 50_000_000,
            in_use: 0,
            most: 0,
            area: 0,
            calls: 0,
            refused: 0,
            served: BTreeMap::new(),
        }
    }

    pub fn now(&self) -> Nanos {
        self.now
    }

    pub fn start(&mut self, i: usize) {
        let reading = self.servers[i].reading(self.now);
        let me = ServerId { name: format!("s{i}"), incarnation: reading.wall };
        self.start_as(i, me);
    }

    /// Starts a server that goes by `me`, whatever its clock says: one that came back with old figures.
    pub fn start_as(&mut self, i: usize, me: ServerId) {
        let reading = self.servers[i].reading(self.now);
        let seed = self.rng.next_u64();
        let state = SharedState::new(me, self.settings.clone(), seed, reading).expect("good settings");
        let server = &mut self.servers[i];
        (server.state, server.stalled, server.permits) = (Some(state), false, Permits::default());
        server.lives += 1;
        let lives = server.lives;
        let first = self.rng.next_u64() % 50_000_000;
        self.put(first, Event::Step(i, lives));
        self.put(first, Event::Arrival(i, lives));
    }

    /// SIGKILL: its calls below go on until they end there.
    pub fn crash(&mut self, i: usize) {
        self.servers[i].state = None;
    }

    /// SIGSTOP, SIGCONT.
    pub fn stall(&mut self, i: usize, stalled: bool) {
        self.servers[i].stalled = stalled;
    }

    pub fn set_clocks(&mut self, i: usize, clocks: Clocks) {
        let now = self.now;
        let server = &mut self.servers[i];
        let mut shown = server.reading(now);
        shown.wall = shown.wall.saturating_add_signed(-server.clocks.wall_leap);
        (server.set, server.clocks) = ((now, shown), clocks);
    }

    pub fn demand(&mut self, i: usize, calls_a_second: f64) {
        self.servers[i].demand = calls_a_second;
    }

    pub fn group(&mut self, i: usize, group: u32) {
        self.servers[i].group = group;
    }

    pub fn partition(&mut self, a: u32, b: u32) {
        self.cut.extend([(a, b), (b, a)]);
    }

    pub fn heal(&mut self) {
        self.cut.clear();
    }

    pub fn state(&self, i: usize) -> Option<&SharedState> {
        self.servers[i].state.as_ref()
    }

    pub fn state_mut(&mut self, i: usize) -> Option<&mut SharedState> {
        self.servers[i].state.as_mut()
    }

    /// Gives a server a body as if a peer had sent it now.
    pub fn inject(&mut self, to: usize, body: Vec<u8>) {
        self.put(0, Event::Message(to, body));
    }

    /// Mean units in use since the last call of this.
    pub fn mean_use(&mut self, since: Nanos) -> f64 {
        let mean = self.area as f64 / (self.now - since).max(1) as f64;
        self.area = 0;
        mean
    }

    fn put(&mut self, after: Nanos, event: Event) {
        self.seq += 1;
        self.queue.push(Reverse((self.now + after, self.seq)));
        self.events.insert(self.seq, event);
    }

    fn chance(&mut self, p: f64) -> bool {
        p > 0.0 && (self.rng.next_u64() as f64 / u64::MAX as f64) < p
    }

    fn heard_by(&self, from: usize, to: usize) -> bool {
        !self.cut.contains(&(self.servers[from].group, self.servers[to].group))
    }

    fn post(&mut self, from: usize) {
        let Some(out) = self.servers[from].state.as_mut().map(SharedState::outgoing) else { return };
        for (name, body) in out {
            let Some(&to) = self.names.get(&name) else { continue };
            if !self.heard_by(from, to) {
                continue;
            }
            let copies = if self.chance(self.net.duplicate) { 2 } else { 1 };
            for _ in 0..copies {
                if self.chance(self.net.loss) {
                    continue;
                }
                let late = if self.net.jitter > 0 { self.rng.next_u64() % self.net.jitter } else { 0 };
                self.put(self.net.delay + late, Event::Message(to, body.clone()));
            }
        }
    }

    pub fn run_until(&mut self, until: Nanos) {
        while let Some(Reverse((at, seq))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.pass(at);
            let event = self.events.remove(&seq).expect("put with it");
            self.handle(event);
        }
        self.pass(until);
    }

    fn pass(&mut self, to: Nanos) {
        self.area += u128::from(self.in_use) * u128::from(to - self.now);
        self.now = to;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Message(to, body) => {
                let reading = self.servers[to].reading(self.now);
                let server = &mut self.servers[to];
                // What comes to a stalled one is read late; here it is lost, which is harder on it.
                if let Some(state) = server.state.as_mut().filter(|_| !server.stalled) {
                    let _ = state.receive(reading, &body);
                    self.post(to);
                }
            }
            Event::Step(i, life) if self.servers[i].lives == life => {
                let every = if self.servers.len() <= 64 { 25_000_000 } else { 100_000_000 };
                self.put(every, Event::Step(i, life));
                self.step(i);
            }
            Event::Arrival(i, life) if self.servers[i].lives == life => {
                let gap = if self.servers[i].demand > 0.0 {
                    let p = (self.rng.next_u64() as f64 / u64::MAX as f64).max(1e-12);
                    (-p.ln() / self.servers[i].demand * 1e9) as Nanos
                } else {
                    50_000_000
                };
                self.put(gap.max(1), Event::Arrival(i, life));
                if self.servers[i].demand > 0.0 {
                    self.arrival(i, life);
                }
            }
            Event::Step(..) | Event::Arrival(..) => {}
            Event::End(i, life, call) => {
                self.in_use -= 1;
                let server = &mut self.servers[i];
                if server.lives == life && server.state.is_some() {
                    server.permits.ended(call, true, 0);
                }
            }
        }
    }

    fn step(&mut self, i: usize) {
        // Who lives is known to those that hear it: the membership's part is played ideally.
        let alive: Vec<String> = if self.servers.len() <= 64 {
            (0..self.servers.len())
                .filter(|&j| j != i && self.servers[j].state.is_some() && self.heard_by(i, j))
                .map(|j| format!("s{j}"))
                .collect()
        } else {
            let some = (0..4).map(|_| (self.rng.next_u64() % self.servers.len() as u64) as usize);
            some.filter(|&j| j != i).map(|j| format!("s{j}")).collect()
        };
        let reading = self.servers[i].reading(self.now);
        let server = &mut self.servers[i];
        let Some(state) = server.state.as_mut().filter(|_| !server.stalled) else { return };
        let time = state.read(reading);
        for budget in &mut state.budgets {
            let lately = 2 * budget.plan().refresh;
            let (wants, uses) = (server.permits.wants(time, lately), server.permits.uses(time));
            budget.set_demand(wants, uses);
        }
        state.advance(reading, &alive);
        self.post(i);
    }

    fn arrival(&mut self, i: usize, life: u64) {
        let reading = self.servers[i].reading(self.now);
        let server = &mut self.servers[i];
        let Some(state) = server.state.as_mut().filter(|_| !server.stalled) else { return };
        let time = state.read(reading);
        let uses = server.permits.uses(time);
        let may = state.budgets.first().is_none_or(|budget| budget.may_acquire(time, uses));
        if !may {
            server.permits.refuse(time, 2);
            self.refused += 1;
            return;
        }
        self.calls += 1;
        let call = self.calls;
        server.permits.taken(time, call);
        state.counts.add("calls", 1);
        *self.served.entry(i).or_default() += 1;
        self.in_use += 1;
        self.most = self.most.max(self.in_use);
        self.put(self.call, Event::End(i, life, call));
    }
}
