//! What tenants cost one server: the memory of their accounts, and the time that an arrival and the level
//! of a control period take in the real fair queues.

use crate::fit::Curve;
use crate::meter::{allocated, thread_time};
use crate::model::SECOND;
use meadowstream_fair_queueing::{FairScheduler, NamedTenant, Settings, TenantKey};
use serde::Serialize;

/// Numbers of named tenants, the largest last.
pub const SIZES: [usize; 6] = [1_000, 4_000, 8_000, 16_000, 32_000, 64_000];
const ARRIVALS: usize = 20_000;
const LEVELS: usize = 20;
/// Accounts beside those of the named ones.
const OTHER_ACCOUNTS: usize = 16;
const WORK: f64 = 2e6;

#[derive(Clone, Copy, Debug, Serialize)]
pub struct Tenants {
    pub tenants: usize,
    /// Bytes of the allocator.
    pub memory: f64,
    /// Nanoseconds of an arrival and its end.
    pub arrival: f64,
    /// Nanoseconds in which the level is found, once a control period.
    pub level: f64,
}

/// All named and all asking, which is the most there can be.
pub fn measure(tenants: usize) -> Tenants {
    let named: Vec<NamedTenant> =
        (0..tenants).map(|n| (format!("tenant-{n:05}").into_bytes(), 2.0)).collect();
    let accounts = 2 * tenants + OTHER_ACCOUNTS;
    let settings = Settings { accounts, named: named.clone().into(), ..Settings::default() };
    let before = allocated();
    let mut fair = FairScheduler::new(settings, 8.0, 7, 0);
    let memory = allocated().saturating_sub(before) as f64;
    let mut arrive = |n: usize| {
        let now = n as u64 * 50_000;
        let (name, _) = &named[n.wrapping_mul(7919) % tenants];
        let seat = fair.arrive(now, TenantKey { name, origin: 1 }, WORK, None);
        fair.start_service(&seat);
        fair.end(now, &seat, meadowstream_fair_queueing::ServiceOutcome::Ran(WORK as u64));
    };
    (0..tenants).for_each(&mut arrive);
    let began = thread_time();
    (0..ARRIVALS).for_each(&mut arrive);
    let arrival = (thread_time() - began) as f64 / ARRIVALS as f64;
    let began = thread_time();
    (0..LEVELS as u64).for_each(|n| fair.update_fair_rate(SECOND * (4 + n), 8.0, f64::INFINITY));
    let level = (thread_time() - began) as f64 / LEVELS as f64;
    Tenants { tenants, memory, arrival, level }
}

pub fn curves(measured: &[Tenants]) -> Vec<Curve> {
    let curve = |name: &str, unit, of: &dyn Fn(&Tenants) -> f64| {
        let points = measured.iter().map(|one| (one.tenants as f64, of(one))).collect();
        Curve::new(name, unit, "tenant", points, None)
    };
    vec![
        curve("memory of the tenants' accounts", "bytes", &|one| one.memory),
        curve("an arrival and its end", "ns", &|one| one.arrival),
        curve("the level of a control period", "ns", &|one| one.level),
    ]
}
