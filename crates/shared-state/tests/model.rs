//! Interleavings of a small fleet's lease protocol, the nearest two million: messages lost,
//! doubled and out of order, servers killed
//! and started again, and clocks that differ by the stated margin at most. The machines are the real ones.
//! In no state may the units that servers could take sum past the budget. `cargo test -p
//! meadowstream-shared-state --release --test model -- --nocapture` prints the numbers of states.

use meadowstream_shared_state::ServerId;
use meadowstream_shared_state::budget::{Budget, BudgetCounters, BudgetMessage, BudgetSettings, Outgoing};
use meadowstream_shared_state::clock::Time;
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeSet;

const TOTAL: u64 = 3;

/// Faults put in on purpose, which the checker must find.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// The margin is that of clocks which differ by half as much.
    NoMargin,
    /// One started again votes at once and, elected, gives at once: promises and leases of before are
    /// forgotten.
    GivesAtOnce,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    servers: Vec<Option<Budget>>,
    clocks: Vec<u64>,
    lives: Vec<u64>,
    /// From whom, to which server, what: a set, so that what was sent may come at any later time, more than
    /// once or never.
    sent: BTreeSet<(ServerId, usize, BudgetMessage)>,
    /// Starts from which what was delivered already cannot matter any more are left to the checker.
    kills: u8,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    /// One server's clock goes on by a tick and it does what is due.
    Tick(usize),
    Deliver(ServerId, usize, BudgetMessage),
    Lose(ServerId, usize, BudgetMessage),
    Kill(usize),
    Start(usize),
}

struct Leases {
    fault: Fault,
    /// Ticks of a lease and a term. Clocks are apart by one tick at most either way, so that one may pass the
    /// other by two over any span, which is the margin.
    lease: u64,
    term: u64,
    servers: usize,
    voters: usize,
    /// Bounds of the search: ticks of a clock, messages under way, servers killed.
    ticks: u64,
    under_way: usize,
    kills: u8,
}

impl Leases {
    fn budget(&self, i: usize, life: u64, clock: u64) -> Budget {
        let voters = (0..self.voters).map(|i| format!("s{i}")).collect();
        let mut plan = BudgetSettings::new("b", TOTAL, 0, self.servers as u64, voters, self.lease, 0);
        (plan.refresh_interval, plan.term_duration, plan.drift_margin) = (1, self.term, 2);
        if self.fault == Fault::NoMargin {
            plan.drift_margin = 1;
        }
        let me = ServerId { name: format!("s{i}"), incarnation: life };
        let mut time = Time::both(clock + 10);
        if life == 0 || self.fault == Fault::GivesAtOnce {
            // At the first start of all nobody has promised anything.
            time.slow = 0;
        }
        let mut budget = Budget::new(me, plan, time).expect("a good plan");
        budget.set_demand(TOTAL, 0);
        budget
    }

    fn time(&self, world: &World, i: usize) -> Time {
        let _ = self;
        Time::both(world.clocks[i] + 10)
    }

    fn post(&self, world: &mut World, from: usize, outgoing: Vec<Outgoing>) {
        let me = ServerId { name: format!("s{from}"), incarnation: world.lives[from] };
        for Outgoing { to, message } in outgoing {
            let to: usize = to[1..].parse().expect("a number");
            if world.sent.len() < self.under_way {
                world.sent.insert((me.clone(), to, message));
            }
        }
    }

    /// Units that the servers could take now, each by its own clock.
    fn could_take(&self, world: &World) -> u64 {
        let could = |(i, budget): (usize, &Option<Budget>)| {
            let budget = budget.as_ref()?;
            let time = Time { fast: world.clocks[i] + 10, slow: world.clocks[i] + 10 };
            let ceiling = budget.allowance(time);
            Some(ceiling.leased)
        };
        world.servers.iter().enumerate().filter_map(could).sum()
    }
}

impl Model for Leases {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let clocks = vec![0; self.servers];
        let servers = (0..self.servers).map(|i| Some(self.budget(i, 0, 0))).collect();
        vec![World { servers, lives: vec![0; self.servers], clocks, sent: BTreeSet::new(), kills: 0 }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        let least = *world.clocks.iter().min().expect("some");
        for i in 0..self.servers {
            if world.clocks[i] <= least && world.clocks[i] < self.ticks {
                steps.push(Step::Tick(i));
            }
            match &world.servers[i] {
                Some(_) if world.kills < self.kills => steps.push(Step::Kill(i)),
                None => steps.push(Step::Start(i)),
                Some(_) => {}
            }
        }
        for (from, to, message) in &world.sent {
            if world.servers[*to].is_some() {
                steps.push(Step::Deliver(from.clone(), *to, message.clone()));
            }
            steps.push(Step::Lose(from.clone(), *to, message.clone()));
        }
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut next = world.clone();
        match step {
            Step::Tick(i) => {
                next.clocks[i] += 1;
                let time = self.time(&next, i);
                if let Some(budget) = &mut next.servers[i] {
                    let out = budget.advance(time, 0);
                    self.post(&mut next, i, out);
                }
            }
            Step::Deliver(from, to, message) => {
                let time = self.time(&next, to);
                let budget = next.servers[to].as_mut()?;
                let before = budget.clone();
                let out = budget.receive(time, &from, message);
                if *budget == before && out.is_empty() {
                    return None;
                }
                self.post(&mut next, to, out);
            }
            Step::Lose(from, to, message) => {
                next.sent.remove(&(from, to, message));
            }
            Step::Kill(i) => {
                next.servers[i] = None;
                next.kills += 1;
            }
            Step::Start(i) => {
                next.lives[i] += 1;
                let (life, clock) = (next.lives[i], next.clocks[i]);
                next.servers[i] = Some(self.budget(i, life, clock));
            }
        }
        // Before the first kill nobody gave before: the wait is left out, so that the search goes further.
        if self.fault == Fault::GivesAtOnce || next.kills == 0 {
            next.servers.iter_mut().flatten().for_each(Budget::skip_grant_wait);
        }
        // BudgetCounters decide nothing and would tell states apart that are the same.
        for budget in next.servers.iter_mut().flatten() {
            let given = budget.counters.grants_sent.min(1);
            budget.counters = BudgetCounters { grants_sent: given, ..BudgetCounters::default() };
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("leases sum to the budget at most", |model: &Leases, world: &World| {
                model.could_take(world) <= TOTAL
            }),
            Property::sometimes("one holds a lease", |model: &Leases, world: &World| {
                model.could_take(world) > 0
            }),
            Property::sometimes("two hold leases at once", |model: &Leases, world: &World| {
                let holds = |(i, budget): (usize, &Option<Budget>)| {
                    let at = Time::both(world.clocks[i] + 10);
                    budget.as_ref().is_some_and(|budget| budget.allowance(at).leased > 0)
                };
                let _ = model;
                world.servers.iter().enumerate().filter(|each| holds(*each)).count() >= 2
            }),
            Property::sometimes("a second grantor gives", |_: &Leases, world: &World| {
                let gave = |budget: &Budget| budget.counters.grants_sent > 0;
                world.servers.iter().flatten().filter(|budget| gave(budget)).count() >= 2
            }),
        ]
    }
}

/// States come to at most, the same ones counted each time; the nearest first.
const MOST: usize = 2_000_000;

fn check(model: Leases, what: &str) -> (usize, Vec<&'static str>) {
    // Whoever looks for a fault looks until it is found.
    let most = if model.fault == Fault::None { MOST } else { 4 * MOST };
    let done = HasDiscoveries::AnyOf(std::iter::once(BROKEN).collect());
    let began = std::time::Instant::now();
    let checker = model.checker().threads(4).target_state_count(most).finish_when(done).spawn_bfs().join();
    let found = checker.discoveries().keys().copied().collect::<Vec<_>>();
    let states = checker.unique_state_count();
    eprintln!("{what}: {states} states in {:?}, found {found:?}", began.elapsed());
    (states, found)
}

const BROKEN: &str = "leases sum to the budget at most";

fn small(fault: Fault) -> Leases {
    Leases { fault, lease: 3, term: 2, servers: 2, voters: 1, ticks: 6, under_way: 2, kills: 1 }
}

#[test]
fn two_servers_and_one_voter_pass_the_budget_in_none_of_the_nearest_states() {
    let (states, found) = check(small(Fault::None), "two servers, one voter, a kill");
    assert!(states > 100_000, "{states} states");
    assert!(!found.contains(&BROKEN), "{found:?}");
    assert!(found.contains(&"two hold leases at once"), "{found:?}");
}

/// Three voters elect by a majority; the search is cut at so many states, nearest first.
#[test]
fn three_voters_pass_it_in_none_of_the_nearest_states() {
    let model = Leases { servers: 3, voters: 3, under_way: 4, ticks: 5, ..small(Fault::None) };
    let (states, found) = check(model, "three servers, three voters, a kill");
    assert!(states > 100_000 && !found.contains(&BROKEN), "{states} states, {found:?}");
    assert!(found.contains(&"one holds a lease"), "{found:?}");
}

#[test]
fn too_small_a_margin_is_found() {
    let (_, found) = check(small(Fault::NoMargin), "a margin too small");
    assert!(found.contains(&BROKEN), "{found:?}");
}

#[test]
fn a_new_grantor_that_does_not_wait_is_found() {
    let model = Leases { lease: 8, ticks: 7, ..small(Fault::GivesAtOnce) };
    let (_, found) = check(model, "a new grantor that gives at once");
    assert!(found.contains(&BROKEN), "{found:?}");
}
