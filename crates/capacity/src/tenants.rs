//! What tenants cost one server: the memory of their accounts, and the time that an arrival and the fair
//! rate of a control period take in the fair queues.

use crate::fit::{Curve, Point};
use crate::meter::{allocated, thread_time};
use crate::scale::SECOND_NS;
use meadowstream_fair_queueing::{FairScheduler, NamedTenant, ServiceOutcome, Settings, TenantKey};
use serde::Serialize;

/// Numbers of named tenants, the largest last.
pub const SIZES: [usize; 6] = [1_000, 4_000, 8_000, 16_000, 32_000, 64_000];
/// Arrivals that are measured, and their distance in simulated time.
const ARRIVALS: usize = 20_000;
const ARRIVAL_INTERVAL_NS: u64 = 50_000;
/// Updates of the fair rate that are measured, one a second.
const FAIR_RATE_UPDATES: u64 = 20;
/// Accounts of tenants that are not named.
const OTHER_ACCOUNTS: usize = 16;
const WEIGHT: f64 = 2.0;
const CORES: f64 = 8.0;
/// Core time of an arrival.
const WORK_NS: f64 = 2e6;
const SEED: u64 = 7;
/// A prime, by which arrivals are spread over the tenants.
const STRIDE: usize = 7919;

/// What so many tenants cost.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct TenantCosts {
    /// Named tenants.
    pub tenants: usize,
    /// Bytes of the allocator.
    #[serde(rename = "memory")]
    pub memory_bytes: f64,
    /// Nanoseconds of an arrival and its end.
    #[serde(rename = "arrival")]
    pub arrival_ns: f64,
    /// Nanoseconds in which the fair rate is found, once a control period.
    #[serde(rename = "level")]
    pub fair_rate_ns: f64,
}

/// Measures the largest load there can be: all tenants are named and all have arrivals.
pub fn measure(tenants: usize) -> TenantCosts {
    let name = |tenant: usize| format!("tenant-{tenant:05}").into_bytes();
    let named: Vec<NamedTenant> = (0..tenants).map(|tenant| (name(tenant), WEIGHT)).collect();
    let accounts = 2 * tenants + OTHER_ACCOUNTS;
    let settings = Settings { accounts, named: named.clone().into(), ..Settings::default() };
    let allocated_before = allocated();
    let mut fair = FairScheduler::new(settings, CORES, SEED, 0);
    let memory_bytes = allocated().saturating_sub(allocated_before) as f64;
    let mut arrive = |arrival: usize| {
        let now = arrival as u64 * ARRIVAL_INTERVAL_NS;
        let (name, _) = &named[arrival.wrapping_mul(STRIDE) % tenants];
        let admission = fair.arrive(now, TenantKey { name, origin: 1 }, WORK_NS, None);
        fair.start_service(&admission);
        fair.end_service(now, &admission, ServiceOutcome::Ran(WORK_NS as u64));
    };
    (0..tenants).for_each(&mut arrive);
    let started_at = thread_time();
    (0..ARRIVALS).for_each(&mut arrive);
    let arrival_ns = (thread_time() - started_at) as f64 / ARRIVALS as f64;
    let started_at = thread_time();
    for second in 0..FAIR_RATE_UPDATES {
        fair.update_fair_rate(SECOND_NS * (4 + second), CORES, f64::INFINITY);
    }
    let fair_rate_ns = (thread_time() - started_at) as f64 / FAIR_RATE_UPDATES as f64;
    TenantCosts { tenants, memory_bytes, arrival_ns, fair_rate_ns }
}

/// The curves over the number of tenants.
pub fn curves(measured: &[TenantCosts]) -> Vec<Curve> {
    let curve = |name: &str, unit, value: &dyn Fn(&TenantCosts) -> f64| {
        let points = measured.iter().map(|one| Point { size: one.tenants as f64, value: value(one) });
        Curve::new(name, unit, "tenant", points.collect(), None)
    };
    vec![
        curve("memory of the tenants' accounts", "bytes", &|one| one.memory_bytes),
        curve("an arrival and its end", "ns", &|one| one.arrival_ns),
        curve("the level of a control period", "ns", &|one| one.fair_rate_ns),
    ]
}
