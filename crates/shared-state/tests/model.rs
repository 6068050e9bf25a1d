//! Model check of the lease protocol in a small fleet. In every state, the sum of the units that the servers
//! can use must be at most the budget.
//!
//! Messages are lost, duplicated and reordered, servers are killed and restarted, and clocks differ by at
//! most one tick. The model runs the real state machines. The check explores up to two million of the states
//! that are reached in the fewest steps.
//!
//! `cargo test -p meadowstream-shared-state --release --test model -- --nocapture` prints the numbers of
//! states.

use meadowstream_shared_state::ServerId;
use meadowstream_shared_state::budget::{Budget, BudgetCounters, BudgetMessage, BudgetSettings, Outgoing};
use meadowstream_shared_state::clock::Time;
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeSet;

const TOTAL: u64 = 3;

/// Faults that are injected into the lease protocol. The checker must detect each of them.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// The drift margin is one tick instead of the required two ticks. Over a time span, the clock of one
    /// server may advance by two ticks more than the clock of another server.
    HalfMargin,
    /// Servers do not wait for the end of earlier votes and leases. A restarted server votes at once, and a
    /// new grantor grants leases at once.
    NoWait,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct FleetState {
    servers: Vec<Option<Budget>>,
    clocks: Vec<u64>,
    incarnations: Vec<u64>,
    /// Sent messages, each as sender, index of the receiver, and content. A message stays in the set after
    /// delivery, so it can be delivered at any later time, more than once or never.
    sent: BTreeSet<(ServerId, usize, BudgetMessage)>,
    /// Number of times that a server has been killed so far, at most [`LeaseModel::kills`]. The count makes
    /// states after a restart distinct from earlier states. States after a restart are therefore explored
    /// even if messages delivered before the restart can no longer have an effect.
    kills: u8,
}

#[derive(Clone, Debug, PartialEq)]
enum FleetAction {
    /// The clock of a server advances by one tick, and the server performs the actions that are then due.
    Tick(usize),
    Deliver(ServerId, usize, BudgetMessage),
    Lose(ServerId, usize, BudgetMessage),
    Kill(usize),
    Start(usize),
}

struct LeaseModel {
    fault: Fault,
    /// Duration of a lease, in ticks. The drift margin is two ticks, for the following reason. Clocks differ
    /// by at most one tick in either direction, so over any time span one clock may advance by two ticks more
    /// than another.
    lease: u64,
    term: u64,
    servers: usize,
    voters: usize,
    /// Limit of the search: maximum number of ticks of each server's clock.
    ticks: u64,
    /// Limit of the search: maximum number of messages in transit.
    in_transit: usize,
    /// Limit of the search: maximum number of times that servers are killed in total.
    kills: u8,
}

impl LeaseModel {
    fn budget(&self, i: usize, incarnation: u64, clock: u64) -> Budget {
        let voters = (0..self.voters).map(|i| format!("s{i}")).collect();
        let mut settings = BudgetSettings::new("b", TOTAL, 0, self.servers as u64, voters, self.lease, 0);
        (settings.refresh_interval, settings.term_duration, settings.drift_margin) = (1, self.term, 2);
        if self.fault == Fault::HalfMargin {
            settings.drift_margin = 1;
        }
        let id = ServerId { name: format!("s{i}"), incarnation };
        let mut time = Time::from_agreeing_clocks(clock + 10);
        if incarnation == 0 || self.fault == Fault::NoWait {
            // At the first start of the fleet, there are no earlier votes or leases. The server's waits for
            // the end of earlier votes and leases begin at the start time. If the start time is 0, these
            // waits are already over.
            time.slow = 0;
        }
        let mut budget = Budget::new(id, settings, time).expect("valid settings");
        budget.set_demand(TOTAL, 0);
        budget
    }

    fn time(&self, state: &FleetState, i: usize) -> Time {
        let _ = self;
        Time::from_agreeing_clocks(state.clocks[i] + 10)
    }

    fn send(&self, state: &mut FleetState, from: usize, outgoing: Vec<Outgoing>) {
        let sender = ServerId { name: format!("s{from}"), incarnation: state.incarnations[from] };
        for Outgoing { to, message } in outgoing {
            let to: usize = to[1..].parse().expect("a number");
            if state.sent.len() < self.in_transit {
                state.sent.insert((sender.clone(), to, message));
            }
        }
    }

    /// Returns the total number of units that all servers may use now. For each server, "now" is the time of
    /// the server's own clock.
    fn usable_units(&self, state: &FleetState) -> u64 {
        let usable = |(i, budget): (usize, &Option<Budget>)| {
            let budget = budget.as_ref()?;
            let time = Time { fast: state.clocks[i] + 10, slow: state.clocks[i] + 10 };
            let allowance = budget.allowance(time);
            Some(allowance.leased)
        };
        state.servers.iter().enumerate().filter_map(usable).sum()
    }
}

impl Model for LeaseModel {
    type State = FleetState;
    type Action = FleetAction;

    fn init_states(&self) -> Vec<FleetState> {
        let clocks = vec![0; self.servers];
        let servers = (0..self.servers).map(|i| Some(self.budget(i, 0, 0))).collect();
        vec![FleetState {
            servers,
            incarnations: vec![0; self.servers],
            clocks,
            sent: BTreeSet::new(),
            kills: 0,
        }]
    }

    fn actions(&self, state: &FleetState, actions: &mut Vec<FleetAction>) {
        let slowest = *state.clocks.iter().min().expect("at least one server");
        for i in 0..self.servers {
            if state.clocks[i] <= slowest && state.clocks[i] < self.ticks {
                actions.push(FleetAction::Tick(i));
            }
            match &state.servers[i] {
                Some(_) if state.kills < self.kills => actions.push(FleetAction::Kill(i)),
                None => actions.push(FleetAction::Start(i)),
                Some(_) => {}
            }
        }
        for (from, to, message) in &state.sent {
            if state.servers[*to].is_some() {
                actions.push(FleetAction::Deliver(from.clone(), *to, message.clone()));
            }
            actions.push(FleetAction::Lose(from.clone(), *to, message.clone()));
        }
    }

    fn next_state(&self, state: &FleetState, action: FleetAction) -> Option<FleetState> {
        let mut next = state.clone();
        match action {
            FleetAction::Tick(i) => {
                next.clocks[i] += 1;
                let time = self.time(&next, i);
                if let Some(budget) = &mut next.servers[i] {
                    let outgoing = budget.advance(time, 0);
                    self.send(&mut next, i, outgoing);
                }
            }
            FleetAction::Deliver(from, to, message) => {
                let time = self.time(&next, to);
                let budget = next.servers[to].as_mut()?;
                let before = budget.clone();
                let outgoing = budget.receive(time, &from, message);
                if *budget == before && outgoing.is_empty() {
                    return None;
                }
                self.send(&mut next, to, outgoing);
            }
            FleetAction::Lose(from, to, message) => {
                next.sent.remove(&(from, to, message));
            }
            FleetAction::Kill(i) => {
                next.servers[i] = None;
                next.kills += 1;
            }
            FleetAction::Start(i) => {
                next.incarnations[i] += 1;
                let (incarnation, clock) = (next.incarnations[i], next.clocks[i]);
                next.servers[i] = Some(self.budget(i, incarnation, clock));
            }
        }
        // Before the first kill, there are no leases of an earlier process, so a new grantor need not wait.
        // Skipping the wait lets the search reach later phases of the protocol.
        if self.fault == Fault::NoWait || next.kills == 0 {
            next.servers.iter_mut().flatten().for_each(Budget::skip_grant_wait);
        }
        // Counters are removed from the state, since they do not affect a server's behaviour but would make
        // otherwise equal states distinct. Only the number of sent grants is kept, reduced to 0 or 1. The
        // checked properties only need to know whether the server has sent a grant.
        for budget in next.servers.iter_mut().flatten() {
            let grants_sent = budget.counters.grants_sent.min(1);
            budget.counters = BudgetCounters { grants_sent, ..BudgetCounters::default() };
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(LEASES_WITHIN_BUDGET, |model: &LeaseModel, state: &FleetState| {
                model.usable_units(state) <= TOTAL
            }),
            Property::sometimes("a server holds a lease", |model: &LeaseModel, state: &FleetState| {
                model.usable_units(state) > 0
            }),
            Property::sometimes(
                "two servers hold leases at once",
                |model: &LeaseModel, state: &FleetState| {
                    let holds = |(i, budget): (usize, &Option<Budget>)| {
                        let at = Time::from_agreeing_clocks(state.clocks[i] + 10);
                        budget.as_ref().is_some_and(|budget| budget.allowance(at).leased > 0)
                    };
                    let _ = model;
                    state.servers.iter().enumerate().filter(|each| holds(*each)).count() >= 2
                },
            ),
            Property::sometimes("a second grantor grants", |_: &LeaseModel, state: &FleetState| {
                let has_granted = |budget: &Budget| budget.counters.grants_sent > 0;
                state.servers.iter().flatten().filter(|budget| has_granted(budget)).count() >= 2
            }),
        ]
    }
}

/// Maximum number of states that a search generates, in breadth-first order. A state is counted each time
/// that it is reached.
const STATES_MAX: usize = 2_000_000;

fn check(model: LeaseModel, label: &str) -> (usize, Vec<&'static str>) {
    // With an injected fault, the search continues until the fault is detected. This search may generate up
    // to four times as many states.
    let states_max = if model.fault == Fault::None { STATES_MAX } else { 4 * STATES_MAX };
    let stop_condition = HasDiscoveries::AnyOf(std::iter::once(LEASES_WITHIN_BUDGET).collect());
    let started_at = std::time::Instant::now();
    let checker = model
        .checker()
        .threads(4)
        .target_state_count(states_max)
        .finish_when(stop_condition)
        .spawn_bfs()
        .join();
    let found = checker.discoveries().keys().copied().collect::<Vec<_>>();
    let states = checker.unique_state_count();
    eprintln!("{label}: {states} states in {:?}, found {found:?}", started_at.elapsed());
    (states, found)
}

const LEASES_WITHIN_BUDGET: &str = "leases sum to the budget at most";

fn small(fault: Fault) -> LeaseModel {
    LeaseModel { fault, lease: 3, term: 2, servers: 2, voters: 1, ticks: 6, in_transit: 2, kills: 1 }
}

#[test]
fn two_servers_and_one_voter_exceed_the_budget_in_none_of_the_nearest_states() {
    let (states, found) = check(small(Fault::None), "two servers, one voter, a kill");
    assert!(states > 100_000, "{states} states");
    assert!(!found.contains(&LEASES_WITHIN_BUDGET), "{found:?}");
    assert!(found.contains(&"two servers hold leases at once"), "{found:?}");
}

/// Model check with three voters, which elect the grantor by majority. The search is limited to the states
/// that are reached in the fewest steps.
#[test]
fn three_voters_exceed_the_budget_in_none_of_the_nearest_states() {
    let model = LeaseModel { servers: 3, voters: 3, in_transit: 4, ticks: 5, ..small(Fault::None) };
    let (states, found) = check(model, "three servers, three voters, a kill");
    assert!(states > 100_000 && !found.contains(&LEASES_WITHIN_BUDGET), "{states} states, {found:?}");
    assert!(found.contains(&"a server holds a lease"), "{found:?}");
}

#[test]
fn a_too_small_drift_margin_is_detected() {
    let (_, found) = check(small(Fault::HalfMargin), "drift margin too small");
    assert!(found.contains(&LEASES_WITHIN_BUDGET), "{found:?}");
}

#[test]
fn a_new_grantor_that_does_not_wait_is_detected() {
    let model = LeaseModel { lease: 8, ticks: 7, ..small(Fault::NoWait) };
    let (_, found) = check(model, "a new grantor that does not wait");
    assert!(found.contains(&LEASES_WITHIN_BUDGET), "{found:?}");
}
