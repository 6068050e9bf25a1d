//! What a server of a fleet at rest costs, by the size of the fleet, and how long counters take to settle.

use crate::error::ModelError;
use crate::fit::{Curve, Point};
use crate::fleet::Fleet;
use crate::meter::{Costs, allocated_bytes};
use crate::per_server::PerServer;
use crate::scale::{
    BYTES_PER_SECOND_BOUND, CONTROL_MACHINES, MEMORY_BYTES_BOUND, PROCESSOR_PERCENT_BOUND, SECOND_NS, Scale,
    seeds, settings,
};
use meadowstream_replication::member::Member;
use serde::Serialize;

/// Counters that each server adds to every second.
const COUNTERS: usize = 8;
/// Units of the shared budget that each server demands.
const DEMAND_UNITS: u64 = 20;

/// What one server of a fleet at rest costs.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct RestingCosts {
    /// Servers of the fleet.
    pub size: usize,
    /// Bytes of the allocator for each server.
    #[serde(rename = "memory")]
    pub memory_bytes: f64,
    /// On average over all servers.
    pub costs: PerServer,
    /// Of the control machine that leads the log of configuration, where one does.
    #[serde(rename = "publisher")]
    pub leader: Option<PerServer>,
}

/// The control machine that leads the log of configuration.
fn leader(fleet: &Fleet) -> Option<usize> {
    let leads = |server: &usize| {
        let member = fleet.server(*server).and_then(|server| server.replication.as_ref());
        member.is_some_and(Member::is_leader)
    };
    (0..CONTROL_MACHINES).find(leads)
}

fn costs_of(fleet: &Fleet, server: Option<usize>) -> Option<Costs> {
    fleet.server(server?).map(|server| server.costs)
}

/// Plays for so many seconds, in each of which every server counts and demands units of the budget.
pub(crate) fn run_with_work(fleet: &mut Fleet, seconds: u64) {
    for _ in 0..seconds {
        for index in 0..fleet.len() {
            let Some(server) = fleet.server_mut(index) else { continue };
            for counter in 0..COUNTERS {
                server.shared_state.counters.add(&format!("invocations/operation-{counter}"), 1);
            }
            if let Some(budget) = server.shared_state.budgets.first_mut() {
                budget.set_demand(DEMAND_UNITS, 0);
            }
        }
        let next = fleet.now() + SECOND_NS;
        fleet.run_until(next);
    }
}

/// Measures a fleet whose servers know each other, count and hold leases.
///
/// # Errors
/// Where a core does not accept its settings.
pub fn measure(size: usize, scale: &Scale) -> Result<RestingCosts, ModelError> {
    let allocated_before = allocated_bytes();
    let mut fleet = Fleet::converged(size, settings(size), scale.seed, &seeds())?;
    run_with_work(&mut fleet, scale.rest_seconds);
    let (costs_before, started_at) = (fleet.costs(), fleet.now());
    let leader = leader(&fleet);
    let leader_before = costs_of(&fleet, leader);
    run_with_work(&mut fleet, scale.rest_seconds);
    let span = fleet.now() - started_at;
    let costs = PerServer::average(&fleet.costs().since(&costs_before), size, span);
    let leader = costs_of(&fleet, leader)
        .zip(leader_before)
        .map(|(after, before)| PerServer::average(&after.since(&before), 1, span));
    let memory_bytes = allocated_bytes().saturating_sub(allocated_before) as f64 / size as f64;
    Ok(RestingCosts { size, memory_bytes, costs, leader })
}

/// Measures a fleet that has nothing to count and no demand, as processes without callers are.
///
/// # Errors
/// Where a core does not accept its settings.
pub fn measure_idle(size: usize, scale: &Scale) -> Result<RestingCosts, ModelError> {
    let allocated_before = allocated_bytes();
    let span = scale.rest_seconds * SECOND_NS;
    let mut fleet = Fleet::converged(size, settings(size), scale.seed, &seeds())?;
    fleet.run_until(span);
    let costs_before = fleet.costs();
    fleet.run_until(2 * span);
    let costs = PerServer::average(&fleet.costs().since(&costs_before), size, span);
    let memory_bytes = allocated_bytes().saturating_sub(allocated_before) as f64 / size as f64;
    Ok(RestingCosts { size, memory_bytes, costs, leader: None })
}

/// The curves over the sizes of the fleet.
pub fn curves(measured: &[RestingCosts]) -> Vec<Curve> {
    let curve = |name: &str, unit, bound, value: &dyn Fn(&RestingCosts) -> f64| {
        let points = measured.iter().map(|one| Point { size: one.size as f64, value: value(one) });
        Curve::new(name, unit, "server", points.collect(), bound)
    };
    let (bytes, percent) = ("bytes a second", "% of a core");
    vec![
        curve("memory of a server", "bytes", Some(MEMORY_BYTES_BOUND), &|one| one.memory_bytes),
        curve("bytes sent by a server", bytes, Some(BYTES_PER_SECOND_BOUND), &|one| one.costs.bytes()),
        curve("of these by membership", bytes, None, &|one| one.costs.membership_bytes),
        curve("of these by shared state", bytes, None, &|one| one.costs.shared_state_bytes),
        curve("of these by replication", bytes, None, &|one| one.costs.replication_bytes),
        curve("datagrams sent by a server", "a second", None, &|one| one.costs.datagrams),
        curve("processor of a server", percent, Some(PROCESSOR_PERCENT_BOUND), &|one| one.costs.processor()),
        curve("of these in membership", percent, None, &|one| one.costs.membership_processor),
        curve("of these in shared state", percent, None, &|one| one.costs.shared_state_processor),
        curve("of these in replication", percent, None, &|one| one.costs.replication_processor),
    ]
}

/// Seconds until every server's totals are exact, from the moment in which all have counted for the first and
/// last time; `None` where that took over `limit_seconds`.
///
/// # Errors
/// Where a core does not accept its settings.
pub fn counters_settle(size: usize, scale: &Scale, limit_seconds: u64) -> Result<Option<f64>, ModelError> {
    let mut fleet = Fleet::converged(size, settings(size), scale.seed, &seeds())?;
    run_with_work(&mut fleet, 1);
    let expected = size as u64;
    let is_exact = |fleet: &Fleet| {
        let holds_total = |index: usize| {
            let Some(server) = fleet.server(index) else { return true };
            server.shared_state.counters.totals().get("invocations/operation-0") == Some(&expected)
        };
        (0..fleet.len()).all(holds_total)
    };
    let took = fleet.run_until_done(SECOND_NS, limit_seconds * SECOND_NS, is_exact);
    Ok(took.map(|took| took as f64 / SECOND_NS as f64))
}
