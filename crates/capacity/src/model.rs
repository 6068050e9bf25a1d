//! The experiments on the model: what a server of a fleet at rest costs, how long counts take to settle, and
//! what the failures at their stated rates do.

use crate::fit::Curve;
use crate::fleet::Fleet;
use crate::hollow::Settings;
use crate::meter::{Costs, allocated};
use crate::topology::Place;
use meadowstream_membership::Nanos;
use meadowstream_replication::message::Location;
use meadowstream_shared_state::budget::BudgetSettings;
use meadowstream_shared_state::counters::Limits;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use serde::Serialize;

pub const SECOND: Nanos = 1_000_000_000;
const MILLISECOND: Nanos = 1_000_000;
/// The sizes that the line goes through, as parts of the largest, and the largest.
const SIZE_PARTS: [usize; 5] = [16, 8, 4, 2, 1];
/// Machines set aside for control; they stand first, and are the seeds. An odd number of them votes.
pub const CONTROL_MACHINES: usize = 4;
const VOTERS: usize = 3;
/// The lease of the publisher of configuration.
const LEASE: &str = "publishing";
/// Restarts and failures a day of a fleet of the stated size.
const RESTARTS_A_DAY: f64 = 870.0 + 51.0;
const STATED_SERVERS: f64 = 690.0;
const DAY: f64 = 86_400.0;
/// What a server may spend on control, as the issue states it.
pub const BYTES_BOUND: f64 = 20_000.0;
pub const PROCESSOR_BOUND: f64 = 1.1;
pub const MEMORY_BOUND: f64 = 256.0 * 1024.0 * 1024.0;
/// What of that the fleet's view may take, as an operator with this bound sets it: shared state takes most of
/// the rest.
const MEMBERSHIP_BYTES: u64 = 12_000;
/// Keys that each server counts, and how often each grows.
const COUNTED_KEYS: usize = 8;
/// Units of the shared budget that each server wants.
const WANTS: u64 = 20;

/// What the model is played with.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Scale {
    /// The largest fleet.
    pub servers: usize,
    pub seed: u64,
    /// Seconds that a fleet at rest is measured for, after as long to settle.
    pub rest: u64,
    /// Seconds that a region is cut off, and a zone and the control machines are away.
    pub region_apart: u64,
    pub zone_away: u64,
    pub control_away: u64,
}

impl Scale {
    pub fn full(servers: usize, seed: u64) -> Scale {
        Scale { servers, seed, rest: 30, region_apart: 3600, zone_away: 300, control_away: 300 }
    }

    pub fn quick(servers: usize, seed: u64) -> Scale {
        Scale { servers, seed, rest: 10, region_apart: 60, zone_away: 30, control_away: 30 }
    }

    /// At least five sizes, the largest last.
    pub fn sizes(&self) -> Vec<usize> {
        SIZE_PARTS.iter().map(|part| self.servers / part).collect()
    }
}

/// The fleet's settings at one size: those of `Settings::lan`, a budget of calls and counts.
pub fn settings(size: usize) -> Settings {
    let mut membership = meadowstream_membership::Settings::lan("capacity", b"a key of the scale model");
    membership.expected_members = size as u32;
    membership.bytes_per_second = MEMBERSHIP_BYTES;
    let servers = size as u64;
    let voters = (0..VOTERS).map(Fleet::name).collect();
    let budget = BudgetSettings::new("calls", 10 * servers, 1, servers, voters, 4 * SECOND, SECOND);
    let replicas: Vec<String> = (0..VOTERS).map(Fleet::name).collect();
    let lease = BudgetSettings::new(LEASE, 1, 0, VOTERS as u64, replicas.clone(), 4 * SECOND, 1);
    let replication = meadowstream_replication::member::Settings::new(Location::default(), replicas);
    let shared_state = meadowstream_shared_state::Settings {
        budgets: vec![budget, lease],
        counters: Limits::default(),
        outlier_detection: None,
        gossip_interval: SECOND / 2,
        body_max: membership.packet_max,
    };
    Settings { membership, shared_state, replication: Some((replication, LEASE)) }
}

fn seeds() -> Vec<usize> {
    (0..CONTROL_MACHINES).collect()
}

/// What one server of a fleet at rest costs.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Rest {
    pub size: usize,
    /// Bytes of the allocator for each server.
    pub memory: f64,
    /// Of each server and second.
    pub costs: PerServer,
    /// Of the control machine that publishes, where one does.
    pub publisher: Option<PerServer>,
}

fn publisher(fleet: &Fleet) -> Option<usize> {
    let publishes = |server: &usize| {
        let member = fleet.server(*server).and_then(|one| one.replication.as_ref());
        member.is_some_and(|member| member.is_leader())
    };
    (0..CONTROL_MACHINES).find(publishes)
}

fn costs_of(fleet: &Fleet, server: Option<usize>) -> Option<Costs> {
    fleet.server(server?).map(|one| one.costs)
}

#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct PerServer {
    pub membership_bytes: f64,
    pub shared_bytes: f64,
    pub replication_bytes: f64,
    pub datagrams: f64,
    /// Percent of a core.
    pub membership_processor: f64,
    pub shared_processor: f64,
    pub replication_processor: f64,
}

impl PerServer {
    pub fn of(costs: &Costs, servers: usize, span: Nanos) -> PerServer {
        let each = servers as f64 * span as f64 / SECOND as f64;
        let percent = |processor: u64| processor as f64 / SECOND as f64 / each * 100.0;
        let datagrams =
            costs.membership.datagrams + costs.shared_state.datagrams + costs.replication.datagrams;
        PerServer {
            membership_bytes: costs.membership.bytes as f64 / each,
            shared_bytes: costs.shared_state.bytes as f64 / each,
            replication_bytes: costs.replication.bytes as f64 / each,
            datagrams: datagrams as f64 / each,
            membership_processor: percent(costs.membership.processor),
            shared_processor: percent(costs.shared_state.processor),
            replication_processor: percent(costs.replication.processor),
        }
    }

    pub fn bytes(&self) -> f64 {
        self.membership_bytes + self.shared_bytes + self.replication_bytes
    }

    pub fn processor(&self) -> f64 {
        self.membership_processor + self.shared_processor + self.replication_processor
    }
}

/// Every server counts, and wants of the budget; played second by second.
fn work(fleet: &mut Fleet, seconds: u64) {
    for _ in 0..seconds {
        for server in 0..fleet.len() {
            let Some(hollow) = fleet.server_mut(server) else { continue };
            for key in 0..COUNTED_KEYS {
                hollow.shared_state.counters.add(&format!("invocations/operation-{key}"), 1);
            }
            hollow.shared_state.budgets.iter_mut().take(1).for_each(|budget| budget.set_demand(WANTS, 0));
        }
        let next = fleet.now() + SECOND;
        fleet.run_until(next);
    }
}

/// A fleet at rest: all know each other, count and take leases.
pub fn at_rest(size: usize, scale: &Scale) -> Result<Rest, String> {
    let before = allocated();
    let mut fleet = Fleet::settled(size, settings(size), scale.seed, &seeds())?;
    work(&mut fleet, scale.rest);
    let (costs, began) = (fleet.costs(), fleet.now());
    let publishes = publisher(&fleet);
    let control = costs_of(&fleet, publishes);
    work(&mut fleet, scale.rest);
    let span = fleet.now() - began;
    let costs = PerServer::of(&fleet.costs().since(&costs), size, span);
    let control = costs_of(&fleet, publishes).zip(control).map(|(after, before)| after.since(&before));
    let publisher = control.map(|control| PerServer::of(&control, 1, span));
    let memory = allocated().saturating_sub(before) as f64 / size as f64;
    Ok(Rest { size, memory, costs, publisher })
}

/// The same with nothing to count and nothing wanted of the budget, as processes without callers are.
pub fn idle(size: usize, scale: &Scale) -> Result<Rest, String> {
    let before = allocated();
    let mut fleet = Fleet::settled(size, settings(size), scale.seed, &seeds())?;
    fleet.run_until(scale.rest * SECOND);
    let costs = fleet.costs();
    fleet.run_until(2 * scale.rest * SECOND);
    let costs = PerServer::of(&fleet.costs().since(&costs), size, scale.rest * SECOND);
    let memory = allocated().saturating_sub(before) as f64 / size as f64;
    Ok(Rest { size, memory, costs, publisher: None })
}

/// The curves of a fleet at rest over its sizes.
pub fn rest_curves(rests: &[Rest]) -> Vec<Curve> {
    let curve = |name: &str, unit, bound, of: &dyn Fn(&Rest) -> f64| {
        let points = rests.iter().map(|rest| (rest.size as f64, of(rest))).collect();
        Curve::new(name, unit, "server", points, bound)
    };
    vec![
        curve("memory of a server", "bytes", Some(MEMORY_BOUND), &|rest| rest.memory),
        curve("bytes sent by a server", "bytes a second", Some(BYTES_BOUND), &|rest| rest.costs.bytes()),
        curve("of these by membership", "bytes a second", None, &|rest| rest.costs.membership_bytes),
        curve("of these by shared state", "bytes a second", None, &|rest| rest.costs.shared_bytes),
        curve("of these by replication", "bytes a second", None, &|rest| rest.costs.replication_bytes),
        curve("datagrams sent by a server", "a second", None, &|rest| rest.costs.datagrams),
        curve("processor of a server", "% of a core", Some(PROCESSOR_BOUND), &|rest| rest.costs.processor()),
        curve("of these in membership", "% of a core", None, &|rest| rest.costs.membership_processor),
        curve("of these in shared state", "% of a core", None, &|rest| rest.costs.shared_processor),
        curve("of these in replication", "% of a core", None, &|rest| rest.costs.replication_processor),
    ]
}

/// Seconds until every server's totals are exact, from the moment in which all have counted for the last time
/// after they had counted nothing before; `None` where that took over `limit` seconds.
pub fn counts_settle(size: usize, scale: &Scale, limit: u64) -> Result<Option<f64>, String> {
    let mut fleet = Fleet::settled(size, settings(size), scale.seed, &seeds())?;
    work(&mut fleet, 1);
    let expected = size as u64;
    let exact = |fleet: &Fleet| {
        let all_hold = |server: usize| {
            let totals = fleet.server(server).map(|one| one.shared_state.counters.totals());
            totals.is_none_or(|totals| totals.get("invocations/operation-0") == Some(&expected))
        };
        (0..fleet.len()).all(all_hold)
    };
    let took = fleet.run_until_true(SECOND, limit * SECOND, exact);
    Ok(took.map(|took| took as f64 / SECOND as f64))
}

/// What came of one incident.
#[derive(Clone, Debug, Serialize)]
pub struct Incident {
    pub what: String,
    pub servers: usize,
    /// Seconds until all that run had one view, after the loss and after the return; `None` where the limit
    /// was passed.
    pub seen: Option<f64>,
    pub returned: Option<f64>,
    /// Servers restarted or failed meanwhile.
    pub restarts: usize,
    /// Members of those restarted while seeds were away that had found the fleet before the return.
    pub joined_meanwhile: Option<usize>,
    /// Servers on the smaller side that held a lease at the end of the cut.
    pub leases_in_cut: Option<usize>,
    /// What a server sent on average in the second after the return in which all sent most.
    pub burst: PerServer,
    /// Most bytes a second that any one server, control machines aside, sent over ten seconds after the
    /// return.
    pub burst_most: f64,
}

/// Longest time that one view is waited for.
const VIEW_LIMIT: Nanos = 300 * SECOND;
const VIEW_STEP: Nanos = 250 * MILLISECOND;
/// Span after a return in which a burst of bytes is looked for at the least.
const BURST: Nanos = 10 * SECOND;

/// Plays `seconds` with restarts at their stated rate, of servers that `may` picks; how many there were.
fn run_with_restarts(
    fleet: &mut Fleet,
    rng: &mut ChaCha8Rng,
    seconds: u64,
    may: impl Fn(usize) -> bool,
) -> Result<Vec<usize>, String> {
    let gap = DAY / (RESTARTS_A_DAY * fleet.len() as f64 / STATED_SERVERS);
    let end = fleet.now() + seconds * SECOND;
    let mut restarted = Vec::new();
    loop {
        let share = (rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64;
        let at = fleet.now() + (-(1.0 - share).ln() * gap * SECOND as f64) as Nanos;
        if at >= end {
            fleet.run_until(end);
            return Ok(restarted);
        }
        fleet.run_until(at);
        let server = (rng.next_u64() % fleet.len() as u64) as usize;
        if may(server) {
            fleet.start(server, &seeds())?;
            restarted.push(server);
        }
    }
}

fn seconds(took: Option<Nanos>) -> Option<f64> {
    took.map(|took| took as f64 / SECOND as f64)
}

fn until_one_view(fleet: &mut Fleet) -> Option<f64> {
    let running = fleet.running();
    seconds(fleet.run_until_true(VIEW_STEP, VIEW_LIMIT, |fleet| fleet.agree(&running)))
}

/// What follows on a return: seconds until one view, and what a server sent on average in the busiest second
/// until then and a while longer.
struct Return {
    one_view: Option<f64>,
    burst: PerServer,
    burst_most: f64,
}

/// Bytes that each server has sent, those that do not run and control machines aside.
fn sent_bytes(fleet: &Fleet) -> Vec<u64> {
    let of = |server: usize| fleet.server(server).map_or(0, |one| one.costs.bytes());
    (CONTROL_MACHINES..fleet.len()).map(of).collect()
}

fn after_return(fleet: &mut Fleet) -> Return {
    let running = fleet.running();
    let began = fleet.now();
    let mut sent_by_second = vec![sent_bytes(fleet)];
    let mut after = Return { one_view: None, burst: PerServer::default(), burst_most: 0.0 };
    while fleet.now() - began < VIEW_LIMIT {
        let before = fleet.costs();
        let second = fleet.now() + SECOND;
        while fleet.now() < second {
            if after.one_view.is_none() && fleet.agree(&running) {
                after.one_view = seconds(Some(fleet.now() - began));
            }
            fleet.run_until((fleet.now() + VIEW_STEP).min(second));
        }
        sent_by_second.push(sent_bytes(fleet));
        let sent = PerServer::of(&fleet.costs().since(&before), running.len(), SECOND);
        if sent.bytes() > after.burst.bytes() {
            after.burst = sent;
        }
        if after.one_view.is_some() && fleet.now() - began >= BURST {
            break;
        }
    }
    after.burst_most = most_of_one_server(&sent_by_second);
    after
}

/// The most bytes a second that one server sent over any [`BURST`], of what each had sent after each second.
fn most_of_one_server(sent_by_second: &[Vec<u64>]) -> f64 {
    let seconds = (BURST / SECOND) as usize;
    let most_within = |span: &[Vec<u64>]| {
        let (first, last) = (&span[0], &span[span.len() - 1]);
        first.iter().zip(last).map(|(before, after)| after.saturating_sub(*before)).max().unwrap_or(0)
    };
    let most = sent_by_second.windows(seconds + 1).map(most_within).max().unwrap_or(0);
    most as f64 / seconds as f64
}

/// A settled fleet that has run for a while, and chance of its own.
fn prepared(scale: &Scale) -> Result<(Fleet, ChaCha8Rng), String> {
    let mut fleet = Fleet::settled(scale.servers, settings(scale.servers), scale.seed, &seeds())?;
    work(&mut fleet, scale.rest.min(10));
    Ok((fleet, ChaCha8Rng::seed_from_u64(scale.seed)))
}

/// A rack is lost at once and comes back cold after a minute.
pub fn rack_lost(scale: &Scale) -> Result<Incident, String> {
    let (mut fleet, _) = prepared(scale)?;
    let rack = Place::of(scale.servers - 1).rack;
    let lost: Vec<usize> = (0..scale.servers).filter(|server| Place::of(*server).rack == rack).collect();
    lost.iter().for_each(|server| fleet.crash(*server));
    let seen = until_one_view(&mut fleet);
    let next = fleet.now() + 60 * SECOND;
    fleet.run_until(next);
    for server in &lost {
        fleet.start(*server, &seeds())?;
    }
    let Return { one_view: returned, burst, burst_most } = after_return(&mut fleet);
    let what = format!("a rack of {} lost at once, back after 60 s", lost.len());
    Ok(Incident {
        what,
        servers: scale.servers,
        seen,
        returned,
        restarts: 0,
        joined_meanwhile: None,
        leases_in_cut: None,
        burst,
        burst_most,
    })
}

/// A part of the fleet is cut off for a while, with restarts at their rate on both sides.
fn cut_off(scale: &Scale, what: String, away: u64, side: impl Fn(Place) -> bool) -> Result<Incident, String> {
    let (mut fleet, mut rng) = prepared(scale)?;
    fleet.cut(|_, place| side(place));
    let restarted = run_with_restarts(&mut fleet, &mut rng, away, |server| server >= CONTROL_MACHINES)?;
    let away: Vec<usize> = (0..scale.servers).filter(|server| side(Place::of(*server))).collect();
    let rest: Vec<usize> = (0..scale.servers).filter(|server| !side(Place::of(*server))).collect();
    let holds = |server: &&usize| fleet.server(**server).is_some_and(|one| one.leased() > 0);
    let leases_in_cut = Some(away.iter().filter(holds).count());
    let seen = (fleet.agree(&away) && fleet.agree(&rest)).then_some(0.0);
    fleet.heal();
    let Return { one_view: returned, burst, burst_most } = after_return(&mut fleet);
    Ok(Incident {
        what,
        servers: scale.servers,
        seen,
        returned,
        restarts: restarted.len(),
        joined_meanwhile: None,
        leases_in_cut,
        burst,
        burst_most,
    })
}

pub fn region_apart(scale: &Scale) -> Result<Incident, String> {
    let what = format!("a region cut from the two others for {} s", scale.region_apart);
    cut_off(scale, what, scale.region_apart, |place| place.region == 2)
}

pub fn zone_away(scale: &Scale) -> Result<Incident, String> {
    let what = format!("a zone away for {} s", scale.zone_away);
    cut_off(scale, what, scale.zone_away, |place| place.zone == 9)
}

/// All control machines, which are the seeds, are down for a while, and others restart meanwhile, a dozen
/// more than the rate says so that some do.
pub fn control_away(scale: &Scale) -> Result<Incident, String> {
    let (mut fleet, mut rng) = prepared(scale)?;
    seeds().into_iter().for_each(|server| fleet.crash(server));
    let seen = until_one_view(&mut fleet);
    let mut restarted = Vec::new();
    for _ in 0..12 {
        let others = (scale.servers - CONTROL_MACHINES) as u64;
        let server = CONTROL_MACHINES + (rng.next_u64() % others) as usize;
        fleet.start(server, &seeds())?;
        restarted.push(server);
    }
    let next = fleet.now() + scale.control_away * SECOND;
    fleet.run_until(next);
    let knows =
        |server: &&usize| fleet.server(**server).is_some_and(|one| one.membership.active_members() > 0);
    let joined_meanwhile = Some(restarted.iter().filter(knows).count());
    for server in seeds() {
        fleet.start(server, &seeds())?;
    }
    let Return { one_view: returned, burst, burst_most } = after_return(&mut fleet);
    let what = format!("all {CONTROL_MACHINES} control machines away for {} s", scale.control_away);
    Ok(Incident {
        what,
        servers: scale.servers,
        seen,
        returned,
        restarts: restarted.len(),
        joined_meanwhile,
        leases_in_cut: None,
        burst,
        burst_most,
    })
}
