//! Measures the cost of tenants on one server, by the number of tenants. The cost is the memory of the
//! tenants' accounts, and the CPU time of fair queueing. Fair queueing uses CPU time at each arrival, and
//! once per control period to update the fair rate.

use crate::fit::{Curve, Point};
use crate::meter::{allocated_bytes, thread_time_ns};
use crate::scale::SECOND_NS;
use meadowstream_fair_queueing::{FairScheduler, NamedTenant, ServiceOutcome, Settings, TenantKey};
use serde::Serialize;

/// Numbers of named tenants for which the costs are measured, in ascending order.
pub const SIZES: [usize; 6] = [1_000, 4_000, 8_000, 16_000, 32_000, 64_000];
/// Number of measured arrivals. The CPU time per arrival is the average over these arrivals.
const ARRIVALS: usize = 20_000;
/// Simulated time between two arrivals, in nanoseconds.
const ARRIVAL_INTERVAL_NS: u64 = 50_000;
/// Number of measured fair rate updates, one per simulated second. The CPU time per update is the average
/// over these updates.
const FAIR_RATE_UPDATES: u64 = 20;
/// Number of accounts that are shared by tenants without an entry in the settings.
const OTHER_ACCOUNTS: usize = 16;
const WEIGHT: f64 = 2.0;
const CORES: f64 = 8.0;
/// CPU time that the interpreter spends on each invocation, in nanoseconds.
const WORK_NS: f64 = 2e6;
const SEED: u64 = 7;
/// Step between the tenant indexes of two consecutive arrivals. The step is a prime number, so the arrivals
/// spread over all tenants.
const STRIDE: usize = 7919;

/// Memory and CPU time that fair queueing uses on one server with a given number of tenants.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct TenantCosts {
    /// Number of named tenants.
    pub tenants: usize,
    /// Heap memory of the fair queueing scheduler, in bytes.
    #[serde(rename = "memory")]
    pub memory_bytes: f64,
    /// Average CPU time of fair queueing for one invocation, in nanoseconds. Includes the CPU time at the
    /// arrival, the start and the end of the invocation.
    #[serde(rename = "arrival")]
    pub arrival_ns: f64,
    /// Average CPU time of one update of the fair rate, in nanoseconds. The fair rate is updated once per
    /// control period.
    #[serde(rename = "level")]
    pub fair_rate_ns: f64,
}

/// Measures the memory and CPU time of fair queueing for `tenants` tenants in the worst case: all tenants are
/// named and all have arrivals.
pub fn measure(tenants: usize) -> TenantCosts {
    let name = |tenant: usize| format!("tenant-{tenant:05}").into_bytes();
    let named: Vec<NamedTenant> = (0..tenants).map(|tenant| (name(tenant), WEIGHT)).collect();
    let accounts = 2 * tenants + OTHER_ACCOUNTS;
    let settings = Settings { accounts, named: named.clone().into(), ..Settings::default() };
    let allocated_before = allocated_bytes();
    let mut fair = FairScheduler::new(settings, CORES, SEED, 0);
    let memory_bytes = allocated_bytes().saturating_sub(allocated_before) as f64;
    let mut arrive = |arrival: usize| {
        let now = arrival as u64 * ARRIVAL_INTERVAL_NS;
        let (name, _) = &named[arrival.wrapping_mul(STRIDE) % tenants];
        let admission = fair.arrive(now, TenantKey { name, origin: 1 }, WORK_NS, None);
        fair.start_service(&admission);
        fair.end_service(now, &admission, ServiceOutcome::Ran(WORK_NS as u64));
    };
    (0..tenants).for_each(&mut arrive);
    let started_at = thread_time_ns();
    (0..ARRIVALS).for_each(&mut arrive);
    let arrival_ns = (thread_time_ns() - started_at) as f64 / ARRIVALS as f64;
    let started_at = thread_time_ns();
    for second in 0..FAIR_RATE_UPDATES {
        fair.update_fair_rate(SECOND_NS * (4 + second), CORES, f64::INFINITY);
    }
    let fair_rate_ns = (thread_time_ns() - started_at) as f64 / FAIR_RATE_UPDATES as f64;
    TenantCosts { tenants, memory_bytes, arrival_ns, fair_rate_ns }
}

/// Returns one curve for each measured quantity, such as the memory. Each curve is a function of the number
/// of tenants.
pub fn curves(measured: &[TenantCosts]) -> Vec<Curve> {
    let curve = |name: &str, unit, value: &dyn Fn(&TenantCosts) -> f64| {
        let points = measured.iter().map(|costs| Point { size: costs.tenants as f64, value: value(costs) });
        Curve::new(name, unit, "tenant", points.collect(), None)
    };
    vec![
        curve("memory of the tenants' accounts", "bytes", &|costs| costs.memory_bytes),
        curve("an arrival and its end", "ns", &|costs| costs.arrival_ns),
        curve("the level of a control period", "ns", &|costs| costs.fair_rate_ns),
    ]
}
