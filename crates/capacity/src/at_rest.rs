//! Measures the CPU use, network traffic and heap memory of one server in a fleet without failures, for
//! several fleet sizes. Also measures the time until the replicated counters converge.

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

/// Number of counters that each server increments every second.
const COUNTERS: usize = 8;
/// Number of units that each server requests from the shared budget every second.
const DEMAND_UNITS: u64 = 20;

/// CPU use, network traffic and heap memory per server in a fleet without failures.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct RestingCosts {
    /// Number of servers in the fleet.
    pub size: usize,
    /// Heap bytes per server.
    #[serde(rename = "memory")]
    pub memory_bytes: f64,
    /// Average CPU use and network traffic per server, over all servers of the fleet.
    pub costs: PerServer,
    /// CPU use and network traffic of the control machine that leads the replicated configuration log. `None`
    /// if there is no leader, or if [`measure_idle`] made the measurement.
    #[serde(rename = "publisher")]
    pub leader: Option<PerServer>,
}

/// Returns the index of the control machine that leads the replicated configuration log; `None` without a
/// leader.
fn leader(fleet: &Fleet) -> Option<usize> {
    let leads = |server: &usize| {
        let member = fleet.server(*server).and_then(|server| server.replication.as_ref());
        member.is_some_and(Member::is_leader)
    };
    (0..CONTROL_MACHINES).find(leads)
}

/// Returns the CPU time and network traffic of a server since its start. Returns `None` if `server` is `None`
/// or the server is not running.
fn costs_of(fleet: &Fleet, server: Option<usize>) -> Option<Costs> {
    fleet.server(server?).map(|server| server.costs)
}

/// Runs the simulation for `seconds`. At the start of each second, every server increments its counters and
/// requests units of the budget.
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

/// Measures the CPU use, network traffic and heap memory per server in a converged fleet. The servers
/// increment counters and hold leases.
///
/// # Errors
/// Returns an error if the settings are invalid.
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

/// Measures the CPU use, network traffic and heap memory per server in a converged, idle fleet. The servers
/// neither increment counters nor request budget units. Real processes without callers behave like this.
///
/// # Errors
/// Returns an error if the settings are invalid.
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

/// Returns one curve for each measured quantity, such as the bytes sent by a server. Each curve is a function
/// of the fleet size.
pub fn curves(measured: &[RestingCosts]) -> Vec<Curve> {
    let curve = |name: &str, unit, bound, value: &dyn Fn(&RestingCosts) -> f64| {
        let points = measured.iter().map(|row| Point { size: row.size as f64, value: value(row) });
        Curve::new(name, unit, "server", points.collect(), bound)
    };
    let (bytes, percent) = ("bytes a second", "% of a core");
    vec![
        curve("memory of a server", "bytes", Some(MEMORY_BYTES_BOUND), &|row| row.memory_bytes),
        curve("bytes sent by a server", bytes, Some(BYTES_PER_SECOND_BOUND), &|row| row.costs.bytes()),
        curve("of these by membership", bytes, None, &|row| row.costs.membership_bytes),
        curve("of these by shared state", bytes, None, &|row| row.costs.shared_state_bytes),
        curve("of these by replication", bytes, None, &|row| row.costs.replication_bytes),
        curve("datagrams sent by a server", "a second", None, &|row| row.costs.datagrams),
        curve("processor of a server", percent, Some(PROCESSOR_PERCENT_BOUND), &|row| row.costs.processor()),
        curve("of these in membership", percent, None, &|row| row.costs.membership_processor),
        curve("of these in shared state", percent, None, &|row| row.costs.shared_state_processor),
        curve("of these in replication", percent, None, &|row| row.costs.replication_processor),
    ]
}

/// Measures the time until an increment of the replicated counters reaches all servers. Every server
/// increments its counters once. One second later, the measurement starts. The function returns the seconds
/// until the totals are exact on every server. It returns `None` if the totals are not exact after
/// `limit_seconds`.
///
/// # Errors
/// Returns an error if the settings are invalid.
pub fn counter_convergence_seconds(
    size: usize,
    scale: &Scale,
    limit_seconds: u64,
) -> Result<Option<f64>, ModelError> {
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
    let elapsed_ns = fleet.run_until_done(SECOND_NS, limit_seconds * SECOND_NS, is_exact);
    Ok(elapsed_ns.map(|elapsed_ns| elapsed_ns as f64 / SECOND_NS as f64))
}
