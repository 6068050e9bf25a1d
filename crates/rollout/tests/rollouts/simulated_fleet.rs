//! Simulated fleet for the tests of rollouts. Servers differ permanently, load affects all servers at once,
//! noise is autocorrelated, and orders and reports get lost. All random numbers come from fixed seeds.

use meadowstream_rollout::coordinator::{Action, Coordinator, FleetView, PersistedState, Phase};
use meadowstream_rollout::metrics::IntervalMetrics;
use meadowstream_rollout::plan::{ChangeKind, OnRegression, Plan, Stage, StageSize, Thresholds};
use meadowstream_rollout::wire::{self, Order, Report};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use std::collections::BTreeSet;

/// Nanoseconds per second.
pub const SECOND: u64 = 1_000_000_000;
/// Hash of the new settings.
const CANDIDATE: u64 = 0xbeef;
/// Hash of the settings that a server runs without the change.
const OLD: u64 = 0xcafe;

/// Effect that the rolled-out change has on a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    None,
    /// The change adds this number to the share of premium invocations that are rejected.
    ThrottlesPremium(f64),
    /// While the load is high, the change adds this number to the share of rejected invocations in both
    /// classes.
    UnderLoad(f64),
    /// The change multiplies the latency by this factor.
    Slower(f64),
    /// The change adds this number to the share of invocations that fail.
    Errs(f64),
}

#[derive(Clone, Default)]
pub struct Server {
    /// Permanent latency difference of the server on a logarithmic scale. A server with a positive offset is
    /// slower than normal.
    pub offset: f64,
    noise: f64,
    pub adopted: bool,
    /// Number of intervals since the server's process started. A process that has just started is slower.
    age: u64,
    /// Incarnation and sequence number of the last order that the server received.
    last_order: (u64, u64),
    /// Whether the server refuses to apply the change.
    pub refuses: bool,
    /// Whether the server refuses the order to roll back while it runs the change.
    pub cannot_roll_back: bool,
    /// Number of intervals that the server takes to apply or to roll back the change.
    pub change_intervals: u64,
    /// The change in progress: whether the server will run the change, and the interval in which this begins.
    pub changing: Option<(bool, u64)>,
    /// Whether the server ignores all orders and never sends a report.
    pub is_silent: bool,
    /// Whether the server is down and has been removed from the view.
    pub is_down: bool,
    /// Whether the server is unreachable and listed as missing in the view.
    pub is_missing: bool,
}

pub struct Fleet {
    pub servers: Vec<Server>,
    change: Change,
    rng: ChaCha8Rng,
    load: f64,
    drift: f64,
    pub interval: u64,
    pub now: u64,
    /// Time since the last change of the coordinator's view, in nanoseconds.
    pub settled: u64,
    /// Probability that one order or one report is lost.
    pub loss: f64,
    pub saved: Option<PersistedState>,
    pub messages: Vec<String>,
    /// Indexes of the servers that have run the change at any time.
    pub ever_changed: BTreeSet<usize>,
    pub reports: Vec<(u64, String, Report)>,
    pub has_lease: bool,
    /// Whether a server restarts when it applies or rolls back the change.
    pub restarts: bool,
}

/// Returns a plan of four stages, which change one server, a tenth, half and all of the fleet.
pub fn plan() -> Plan {
    let stage = |size, seconds| Stage { size, bake_time: seconds * SECOND };
    Plan {
        name: "raise the reference".into(),
        candidate: CANDIDATE,
        kind: ChangeKind::Settings,
        stages: vec![
            stage(StageSize::Servers(1), 40),
            stage(StageSize::Share(0.1), 40),
            stage(StageSize::Share(0.5), 40),
            stage(StageSize::Share(1.0), 20),
        ],
        on_regression: OnRegression::RollBack,
        thresholds: Thresholds::default(),
        interval: SECOND,
        settle_time: 3 * SECOND,
        warm_up: 0,
        response_timeout: 10 * SECOND,
    }
}

impl Fleet {
    pub fn new(n: usize, change: Change, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            servers: vec![Server::default(); n],
            change,
            rng: ChaCha8Rng::seed_from_u64(seed),
            load: 0.0,
            drift: 0.0,
            interval: 0,
            now: 0,
            settled: 60 * SECOND,
            loss: 0.05,
            saved: None,
            messages: Vec::new(),
            ever_changed: BTreeSet::new(),
            reports: Vec::new(),
            has_lease: true,
            restarts: false,
        };
        for i in 0..n {
            fleet.servers[i].age = 100;
            fleet.servers[i].offset = 0.15 * fleet.normal();
        }
        fleet
    }

    fn uniform(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns the sum of twelve uniform random numbers minus 6. The result approximates a standard normal
    /// distribution.
    fn normal(&mut self) -> f64 {
        (0..12).map(|_| self.uniform()).sum::<f64>() - 6.0
    }

    fn binomial(&mut self, n: u64, p: f64) -> u64 {
        (0..n).filter(|_| self.uniform() < p).count() as u64
    }

    /// Returns random metrics of server `i` for the previous interval.
    fn interval_metrics(&mut self, i: usize) -> Vec<IntervalMetrics> {
        let draw = self.normal();
        let server = &mut self.servers[i];
        // The noise is autocorrelated: 0.7 times the noise of the previous interval, plus 0.7 times a new
        // random number.
        server.noise = 0.7 * server.noise + 0.7 * draw;
        let own = 0.1 * server.noise + server.offset + if server.age < 5 { 1.0 } else { 0.0 };
        server.age += 1;
        let (adopted, busy) = (server.adopted, 0.6 + 0.3 * self.load);
        let (mut metrics, change) = (Vec::new(), if adopted { self.change } else { Change::None });
        for (class, base) in [("basic", 0.06), ("premium", 0.01)] {
            let answered = 60 + (20.0 * busy) as u64;
            let mut throttled = base + 0.1 * (busy - 0.6).max(0.0) + 0.02 * own.abs();
            let (mut errored, mut slower) = (0.002, 1.0);
            match change {
                Change::ThrottlesPremium(more) if class == "premium" => throttled += more,
                Change::UnderLoad(more) if busy > 0.7 => throttled += more,
                Change::Slower(times) => slower = times,
                Change::Errs(more) => errored += more,
                _ => {}
            }
            let (throttled, errored) = (self.binomial(answered, throttled), self.binomial(answered, errored));
            let p95_us = (50_000.0 * slower * (0.8 * own + 0.5 * busy).exp()) as u64;
            let class = class.to_string();
            metrics.push(IntervalMetrics { class, answered, throttled, errored, late: 0, p95_us });
        }
        metrics
    }

    fn is_lost(&mut self) -> bool {
        self.uniform() < self.loss
    }

    /// Simulates one interval. Delivers the reports on the previous interval to the coordinator, and then the
    /// coordinator's new orders to the servers.
    pub fn run_interval(&mut self, coordinator: &mut Coordinator) {
        self.interval += 1;
        self.now += SECOND;
        self.settled += SECOND;
        let draw = self.normal();
        self.drift = 0.9 * self.drift + 0.1 * draw;
        // The load has a peak about every 31 intervals.
        self.load = (self.drift + (self.interval as f64 / 5.0).sin()).clamp(-1.0, 1.5);
        for (received_at, server, report) in std::mem::take(&mut self.reports) {
            coordinator.handle_report(received_at, &server, report);
        }
        let name = |i: usize| format!("s{i}");
        let all = 0..self.servers.len();
        let view = FleetView {
            alive: all
                .clone()
                .filter(|i| !self.servers[*i].is_down && !self.servers[*i].is_missing)
                .map(name)
                .collect(),
            missing: all.filter(|i| self.servers[*i].is_missing).map(name).collect(),
            settled_for: self.settled,
        };
        let actions = coordinator.handle_interval(self.now, &view, self.has_lease);
        self.carry_out(actions);
    }

    /// Carries out the coordinator's actions in order. [`Fleet::deliver`] checks that the coordinator saves
    /// its state before it sends an order that depends on the state.
    pub fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Save(saved) => self.saved = Some(*saved),
                Action::Notify { message } => self.messages.push(message),
                Action::SendOrder { server, order } => self.deliver(server, order),
            }
        }
    }

    fn deliver(&mut self, receiver: String, order: Order) {
        let i: usize = receiver[1..].parse().unwrap();
        let changed = self.saved.as_ref().is_some_and(|saved| saved.changed.contains(&receiver));
        assert_eq!(
            order.adopt.is_some(),
            changed,
            "an order was sent before the state it depends on was saved"
        );
        let is_lost = self.is_lost();
        let server = &mut self.servers[i];
        let order = wire::decode::<Order>(&wire::encode(&order)).unwrap();
        if is_lost
            || server.is_down
            || server.is_missing
            || server.is_silent
            || (order.incarnation, order.sequence) <= server.last_order
        {
            return;
        }
        server.last_order = (order.incarnation, order.sequence);
        if let Some((adopted, _)) = server.changing.filter(|(_, until)| *until <= self.interval) {
            server.adopted = adopted;
            server.changing = None;
        }
        if server.changing.is_some() {
            // A server does not report while it changes, because it would report what is about to end.
            return;
        }
        let mut refused = None;
        match order.adopt {
            Some(_) if server.refuses => refused = Some("line 3, <control>: reference: 7".to_string()),
            None if server.cannot_roll_back && server.adopted => {
                refused = Some("cannot read its own settings".into())
            }
            adopt if server.change_intervals > 0 && server.adopted != adopt.is_some() => {
                server.changing = Some((adopt.is_some(), self.interval + server.change_intervals));
            }
            adopt => {
                if server.adopted != adopt.is_some() && self.restarts {
                    server.age = 0;
                }
                server.adopted = adopt.is_some();
            }
        }
        let adopted = server.adopted;
        if adopted {
            self.ever_changed.insert(i);
        }
        let classes = self.interval_metrics(i);
        if self.is_lost() {
            return;
        }
        let running_hash = if adopted { CANDIDATE } else { OLD };
        let (order_sequence, interval, version) = (order.sequence, self.interval, "0.2.0".to_string());
        let report = Report { order_sequence, version, running_hash, adopted, refused, interval, classes };
        self.reports.push((self.now + SECOND / 2, receiver, wire::decode(&wire::encode(&report)).unwrap()));
    }

    pub fn run(&mut self, coordinator: &mut Coordinator, intervals: usize) -> Phase {
        for _ in 0..intervals {
            self.run_interval(coordinator);
            if coordinator.state().phase.has_ended() {
                break;
            }
        }
        coordinator.state().phase.clone()
    }

    pub fn assert_none_changed(&self) {
        assert!(self.servers.iter().all(|server| !server.adopted), "{:?}", self.messages);
    }
}

pub fn begin(plan: Plan) -> Coordinator {
    Coordinator::new(plan, None, 1, 0).unwrap()
}
