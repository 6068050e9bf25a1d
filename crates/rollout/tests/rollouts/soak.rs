//! Seeded soak of rollouts in simulated time. Servers die, are forgotten by the view, and return with or
//! without the change; the coordinator is killed and loses the lease; the operator aborts. After each
//! interval and at the end of the rollout, what the coordinator says is compared with what the servers run.
//!
//! To run other seeds: `SOAK_SEEDS=FIRST..LAST cargo test -p meadowstream-rollout --test rollouts by_hand --
//! --ignored --nocapture`.

use crate::simulated_fleet::{Change, Fleet, SECOND, plan};
use meadowstream_rollout::coordinator::{Coordinator, Phase};
use meadowstream_rollout::plan::{OnRegression, Plan};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use std::collections::BTreeSet;

/// Intervals after which a dead server is listed as missing in the view, at the latest.
const DETECTED_AFTER: u64 = 3;
/// Number of intervals in which faults occur. Afterwards, dead servers stay dead.
const FAULT_INTERVALS: u64 = 300;
/// Number of intervals without faults after which each rollout must have ended.
const QUIET_INTERVALS: u64 = 900;

/// A death of a server.
#[derive(Clone, Copy)]
struct Death {
    at: u64,
    /// Interval in which the view lists the server as missing.
    missing_at: u64,
    /// Interval in which the view forgets the server.
    forgotten_at: u64,
    /// Interval in which the server returns; `None` if it is gone for good.
    returns_at: Option<u64>,
    /// Whether the server returns with an empty disk, without the change.
    is_replaced: bool,
}

struct Soak {
    rng: ChaCha8Rng,
    fleet: Fleet,
    plan: Plan,
    deaths: Vec<Option<Death>>,
    /// Interval in which the first server was changed; 0 before.
    first_change_at: u64,
    /// Interval until which the coordinator has no lease.
    no_lease_until: u64,
    /// Number of faults of each kind, for the report.
    injected: [u32; 4],
    violations: Vec<String>,
}

impl Soak {
    fn new(seed: u64) -> Soak {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = 4 + (rng.next_u64() % 5) as usize;
        let change =
            [Change::None, Change::None, Change::None, Change::Errs(0.1)][rng.next_u64() as usize % 4];
        let mut fleet = Fleet::new(count, change, seed);
        for server in &mut fleet.servers {
            server.change_intervals = rng.next_u64() % 3;
            server.cannot_roll_back = rng.next_u64().is_multiple_of(20);
        }
        let on_regression =
            if rng.next_u64().is_multiple_of(4) { OnRegression::Stop } else { OnRegression::RollBack };
        Soak {
            rng,
            fleet,
            plan: Plan { on_regression, ..plan() },
            deaths: vec![None; count],
            first_change_at: 0,
            no_lease_until: 0,
            injected: [0; 4],
            violations: Vec::new(),
        }
    }

    /// Returns true with the probability 1 / `mean`.
    fn happens_once_in(&mut self, mean: u64) -> bool {
        self.rng.next_u64().is_multiple_of(mean)
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below
    }

    /// Runs one rollout to its end, and returns the coordinator.
    fn run(&mut self) -> Coordinator {
        let mut coordinator = Coordinator::new(self.plan.clone(), None, 1, 0).unwrap();
        let mut incarnation = 1;
        while !coordinator.state().phase.has_ended() {
            let has_faults = self.fleet.interval < FAULT_INTERVALS;
            if self.fleet.interval > FAULT_INTERVALS + QUIET_INTERVALS {
                self.violations.push(format!("not ended: {:?}", coordinator.state().phase));
                break;
            }
            self.advance_deaths(has_faults);
            if has_faults && self.happens_once_in(400) {
                self.injected[1] += 1;
                let pause = self.draw(40);
                self.fleet.now += pause * SECOND;
                self.fleet.reports.clear();
                incarnation += 1;
                let saved = self.fleet.saved.clone();
                coordinator =
                    Coordinator::new(self.plan.clone(), saved, incarnation, self.fleet.now).unwrap();
            }
            if has_faults && self.happens_once_in(300) {
                self.injected[2] += 1;
                self.no_lease_until = self.fleet.interval + self.draw(30);
            }
            self.fleet.has_lease = self.fleet.interval >= self.no_lease_until;
            if has_faults && self.happens_once_in(1_000) {
                self.injected[3] += 1;
                let actions = coordinator.handle_abort(self.fleet.now);
                self.fleet.carry_out(actions);
            }
            let changed = coordinator.state().changed.clone();
            self.fleet.run_interval(&mut coordinator);
            if self.first_change_at == 0 && !coordinator.state().changed.is_empty() {
                self.first_change_at = self.fleet.interval;
            }
            self.check_growth(&changed, &coordinator);
        }
        self.check_end(&coordinator);
        coordinator
    }

    /// Lets servers die, and moves those that are dead through the view.
    fn advance_deaths(&mut self, has_faults: bool) {
        let now = self.fleet.interval;
        for index in 0..self.deaths.len() {
            let Some(death) = self.deaths[index] else {
                if has_faults && self.happens_once_in(250) {
                    self.die(index, now);
                }
                continue;
            };
            let server = &mut self.fleet.servers[index];
            let (is_missing, is_forgotten) = (now >= death.missing_at, now >= death.forgotten_at);
            let returns = death.returns_at.is_some_and(|at| now >= at);
            let seen_before = (server.is_missing, server.is_down);
            server.is_silent = !returns;
            server.is_missing = !returns && is_missing && !is_forgotten;
            server.is_down = !returns && is_forgotten;
            if seen_before != (server.is_missing, server.is_down) {
                self.fleet.settled = 0;
            }
            if returns {
                server.adopted &= !death.is_replaced;
                self.deaths[index] = None;
            }
        }
    }

    fn die(&mut self, index: usize, now: u64) {
        self.injected[0] += 1;
        let missing_at = now + 1 + self.draw(DETECTED_AFTER);
        let forgotten_at = missing_at + 3 + self.draw(25);
        let returns_at = (!self.happens_once_in(3)).then(|| now + 1 + self.draw(45));
        let is_replaced = self.happens_once_in(4);
        let server = &mut self.fleet.servers[index];
        server.is_silent = true;
        // A change in progress has reached the disk or not.
        if let Some((adopted, _)) = server.changing.take()
            && now.is_multiple_of(2)
        {
            server.adopted = adopted;
        }
        self.deaths[index] = Some(Death { at: now, missing_at, forgotten_at, returns_at, is_replaced });
    }

    /// Returns whether a server has been dead for longer than its death can stay unnoticed.
    fn is_noticeably_dead(&self, name: &str) -> bool {
        let index: usize = name[1..].parse().unwrap();
        self.deaths[index].is_some_and(|death| self.fleet.interval > death.at + DETECTED_AFTER + 1)
    }

    /// Returns whether a server has been dead since before the first server was changed. The plan need not
    /// know of such a server.
    fn was_never_part_of_the_plan(&self, name: &str) -> bool {
        let index: usize = name[1..].parse().unwrap();
        self.deaths[index].is_some_and(|death| death.at < self.first_change_at)
    }

    /// A change reaches no further server while one that has it is gone.
    fn check_growth(&mut self, before: &BTreeSet<String>, coordinator: &Coordinator) {
        let after = &coordinator.state().changed;
        let gone: Vec<&String> = before.iter().filter(|name| self.is_noticeably_dead(name)).collect();
        if after.len() > before.len() && !gone.is_empty() {
            self.violations.push(format!("changed {before:?}, then {after:?}, while {gone:?} are gone"));
        }
    }

    /// The end names each server that runs, or will run after its return, something else than it suggests.
    fn check_end(&mut self, coordinator: &Coordinator) {
        let state = coordinator.state();
        let name = |index: usize| format!("s{index}");
        let with_change: Vec<String> =
            (0..self.deaths.len()).filter(|index| self.fleet.servers[*index].adopted).map(name).collect();
        let unnamed: Vec<&String> = match &state.phase {
            Phase::Done => {
                let all = (0..self.deaths.len()).map(name);
                let without: Vec<String> = all.filter(|name| !with_change.contains(name)).collect();
                let unnamed = without.iter().filter(|name| !state.left_out.contains(*name));
                let unnamed = unnamed.filter(|name| !self.was_never_part_of_the_plan(name));
                let gone = state.changed.iter().filter(|name| self.is_noticeably_dead(name));
                let report: Vec<String> = unnamed.chain(gone).cloned().collect();
                return self.report_unnamed(state.describe_phase(), &report);
            }
            Phase::Stopped { .. } => {
                with_change.iter().filter(|name| !state.changed.contains(*name)).collect()
            }
            Phase::RolledBack { unconfirmed, .. } => {
                with_change.iter().filter(|name| !unconfirmed.contains(name)).collect()
            }
            _ => return,
        };
        let unnamed: Vec<String> = unnamed.into_iter().cloned().collect();
        self.report_unnamed(state.describe_phase(), &unnamed);
        let said = state.describe_servers();
        if let Some(name) = with_change.iter().find(|name| !said.contains(name.as_str())) {
            self.violations.push(format!("{said:?}, but {name} has the change"));
        }
    }

    fn report_unnamed(&mut self, end: String, unnamed: &[String]) {
        if !unnamed.is_empty() {
            self.violations.push(format!("{end:?} does not name {unnamed:?}"));
        }
    }
}

/// Runs the seeds, and returns those with violations. Prints how often each end and each fault came.
fn run_seeds(seeds: std::ops::RangeInclusive<u64>) -> Vec<(u64, Vec<String>)> {
    let (mut failed, mut ends, mut injected) = (Vec::new(), [0; 3], [0; 4]);
    let mut named = 0;
    for seed in seeds {
        let mut soak = Soak::new(seed);
        let coordinator = soak.run();
        let state = coordinator.state();
        let end = match &state.phase {
            Phase::Done => 0,
            Phase::Stopped { .. } => 1,
            _ => 2,
        };
        ends[end] += 1;
        named += u32::from(state.describe_phase().contains("NOT "));
        injected.iter_mut().zip(soak.injected).for_each(|(sum, count)| *sum += count);
        if !soak.violations.is_empty() {
            failed.push((seed, soak.violations));
        }
    }
    println!("done, stopped, rolled back: {ends:?}, of these with names: {named}");
    println!("deaths, kills of the coordinator, losses of the lease, aborts: {injected:?}");
    failed
}

#[test]
fn each_end_names_the_servers_that_differ_from_it() {
    let failed = run_seeds(1..=300);
    assert!(failed.is_empty(), "{} seeds: {:?}", failed.len(), &failed[..failed.len().min(5)]);
}

/// Runs the seeds in the environment variable `SOAK_SEEDS`.
#[test]
#[ignore = "takes minutes; runs the seeds of SOAK_SEEDS"]
fn by_hand() {
    let seeds = std::env::var("SOAK_SEEDS").unwrap_or_else(|_| "1..3000".to_string());
    let (first, last) = seeds.split_once("..").expect("FIRST..LAST");
    let failed = run_seeds(first.parse().expect("a number")..=last.parse().expect("a number"));
    assert!(failed.is_empty(), "{} seeds: {:?}", failed.len(), &failed[..failed.len().min(20)]);
}
