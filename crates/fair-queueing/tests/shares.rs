//! Tests the shares of the capacity that tenants get, in simulated time. Tenants send at given rates. The
//! simulated server runs every arrival that is within its tenant's share and rejects the other arrivals.
//! Random numbers come from fixed seeds, and the tests pass the time to the scheduler.

use meadowstream_fair_queueing::{FairScheduler, Nanos, ServiceOutcome, Settings, TenantKey};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use test_case::test_case;

const SECOND: Nanos = 1_000_000_000;
const MS: Nanos = 1_000_000;

/// A group of tenants that send at the same rate and have the same work, weight and origin.
#[derive(Clone)]
struct Group {
    tenants: usize,
    /// Rate at which each tenant of the group sends, in invocations per second.
    rate: f64,
    work: Nanos,
    weight: f64,
    /// Number of tenant names that each sender of the group uses in rotation. The number is 1 for honest
    /// tenants, and more for a sender that invents names.
    names: u64,
    origin: u64,
}

impl Default for Group {
    fn default() -> Self {
        Self { tenants: 1, rate: 1.0, work: 10 * MS, weight: 1.0, names: 1, origin: 1 }
    }
}

/// Simulates the groups for `seconds`. Returns the work that each tenant of each group used within its share,
/// in core seconds. The first third of the time is a learning phase and is not counted.
fn simulate(groups: &[Group], cores: f64, seconds: u64, settings: Settings) -> Vec<Vec<f64>> {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let named = groups.iter().enumerate().filter(|(_, group)| group.weight != 1.0);
    let named = named.flat_map(|(g, group)| (0..group.tenants).map(move |i| (name(g, i, 0), group.weight)));
    let settings = Settings { named: named.collect(), ..settings };
    let ceiling = settings.bytes_max();
    let mut fair = FairScheduler::new(settings, cores, 1, 0);
    let mut used: Vec<Vec<f64>> = groups.iter().map(|group| vec![0.0; group.tenants]).collect();
    let mut arrivals: BTreeMap<(Nanos, usize, usize), ()> = BTreeMap::new();
    let interarrival = |rng: &mut ChaCha8Rng, rate: f64| {
        (-rng.random_range(1e-9_f64..1.0).ln() / rate * 1e9).min(1e15) as Nanos + 1
    };
    for (g, group) in groups.iter().enumerate() {
        for i in 0..group.tenants {
            arrivals.insert((interarrival(&mut rng, group.rate), g, i), ());
        }
    }
    let (mut period, mut sent) = (SECOND / 2, 0u64);
    while let Some(((now, g, i), ())) = arrivals.pop_first() {
        if now > seconds * SECOND {
            break;
        }
        while period <= now {
            fair.update_fair_rate(period, cores * 0.9, f64::INFINITY);
            period += SECOND / 2;
        }
        let group = &groups[g];
        sent += 1;
        let name = name(g, i, sent % group.names);
        // The argument 10e6 is the work that the operation usually needs, in nanoseconds of one core. The
        // scheduler learns the work that the invocation really uses only when the invocation ends.
        let admission = fair.arrive(now, TenantKey { name: &name, origin: group.origin }, 10e6, None);
        if admission.surplus {
            fair.end_service(now, &admission, ServiceOutcome::NeverRan);
        } else {
            fair.end_service(now, &admission, ServiceOutcome::Ran(group.work));
            if now > seconds * SECOND / 3 {
                used[g][i] += group.work as f64 / 1e9;
            }
        }
        arrivals.insert((now + interarrival(&mut rng, group.rate), g, i), ());
    }
    assert!(fair.bytes() <= ceiling, "{} bytes in use, over the bound of {ceiling}", fair.bytes());
    let counts = fair.counters;
    assert_eq!(counts.within + counts.surplus, sent - 1 + 1, "{counts:?}");
    used
}

fn name(group: usize, i: usize, n: u64) -> Vec<u8> {
    format!("{group}/{i}/{n}").into_bytes()
}

fn jain_index(used: &[f64]) -> f64 {
    let (sum, squares) = used.iter().fold((0.0, 0.0), |(s, q), x| (s + x, q + x * x));
    sum * sum / (used.len() as f64 * squares)
}

fn total(used: &[f64]) -> f64 {
    used.iter().sum()
}

/// Returns the length of the counted part of a simulation, in seconds. The first third of the simulation is
/// not counted.
fn counted_seconds(seconds: u64) -> f64 {
    (seconds - seconds / 3) as f64
}

#[test]
fn a_flooding_tenant_leaves_the_others_their_shares() {
    let light = Group { tenants: 100, rate: 1.0, ..Group::default() };
    let flood = Group { rate: 2000.0, ..Group::default() };
    let used = simulate(&[light, flood], 4.0, 60, Settings::default());
    let demanded = 100.0 * 0.01 * counted_seconds(60);
    assert!(total(&used[0]) > 0.99 * demanded, "{} of {demanded}", total(&used[0]));
    let remaining = 4.0 * 0.9 * counted_seconds(60) - demanded;
    assert!((total(&used[1]) / remaining - 1.0).abs() < 0.1, "{} of {remaining}", total(&used[1]));
}

#[test]
fn few_large_invocations_get_the_same_share_as_many_small_ones() {
    let small = Group { tenants: 10, rate: 500.0, work: MS, ..Group::default() };
    let large = Group { tenants: 10, rate: 5.0, work: 400 * MS, ..Group::default() };
    let used = simulate(&[small, large], 2.0, 120, Settings::default());
    let (small, large) = (total(&used[0]), total(&used[1]));
    assert!((small / large - 1.0).abs() < 0.15, "{small} and {large}");
}

#[test]
fn weights_from_1_to_100_are_kept() {
    let flood = |weight: f64| Group { rate: 4000.0, weight, ..Group::default() };
    let used = simulate(&[flood(1.0), flood(2.0), flood(10.0), flood(100.0)], 8.0, 120, Settings::default());
    let unit = total(&used[3]) / 100.0;
    for (g, weight) in [1.0, 2.0, 10.0].into_iter().enumerate() {
        let per_weight = total(&used[g]) / weight;
        assert!((per_weight / unit - 1.0).abs() < 0.1, "{used:?} {weight}: {per_weight} and {unit}");
    }
}

#[test]
fn tenants_with_excess_demand_get_equal_shares() {
    let used =
        simulate(&[Group { tenants: 50, rate: 100.0, ..Group::default() }], 2.0, 60, Settings::default());
    assert!(jain_index(&used[0]) > 0.999, "{}", jain_index(&used[0]));
    let capacity = 2.0 * 0.9 * counted_seconds(60);
    assert!((total(&used[0]) / capacity - 1.0).abs() < 0.05, "{} of {capacity}", total(&used[0]));
}

/// One sender floods the server under invented names, and each name alone sends as little as an honest
/// tenant. The honest tenants must still get nearly all the work that they demand. In the first case every
/// invocation has a new name. In the second case the sender reuses 10,000 names.
#[test_case(1_000_000_000; "a new name for each invocation")]
#[test_case(10_000; "10,000 reused names")]
fn invented_names_gain_little(names: u64) {
    let honest = Group { tenants: 100, rate: 1.0, origin: 1, ..Group::default() };
    let flood = Group { rate: 5000.0, names, origin: 2, ..Group::default() };
    let settings = Settings { names_per_origin: 128.0, accounts: 512, ..Settings::default() };
    let used = simulate(&[honest, flood], 4.0, 60, settings);
    let demanded = 100.0 * 0.01 * counted_seconds(60);
    assert!(total(&used[0]) > 0.95 * demanded, "{} of {demanded}", total(&used[0]));
    // `share` is the capacity that the honest tenants leave. The sender may use at most this capacity, plus a
    // tolerance of 10 %. An origin may send 128 names at full weight, so all names of the sender together may
    // get the share of 128 honest names.
    let share = 4.0 * 0.9 * counted_seconds(60) - demanded;
    assert!(total(&used[1]) < 1.1 * share, "{} of {share}", total(&used[1]));
}

#[test]
fn more_tenants_than_accounts_still_get_their_shares() {
    let settings = Settings { accounts: 64, cells: 1 << 16, names_per_origin: 1e6, ..Settings::default() };
    let light = Group { tenants: 2000, rate: 0.5, work: MS, ..Group::default() };
    let flood = Group { rate: 2000.0, ..Group::default() };
    let used = simulate(&[light, flood], 4.0, 60, settings);
    let demanded = 2000.0 * 0.5 * 0.001 * counted_seconds(60);
    assert!(total(&used[0]) > 0.95 * demanded, "{} of {demanded}", total(&used[0]));
}

/// 100,000 new tenants arrive at almost the same time. The 100 tenants that were known before must still get
/// their shares.
#[test]
fn a_hundred_thousand_new_tenants_starve_no_known_tenant() {
    let light = Group { tenants: 100, rate: 1.0, ..Group::default() };
    let newcomers = Group { tenants: 100_000, rate: 0.02, origin: 2, ..Group::default() };
    let used = simulate(&[light, newcomers], 4.0, 60, Settings::default());
    let demanded = 100.0 * 0.01 * counted_seconds(60);
    assert!(total(&used[0]) > 0.95 * demanded, "{} of {demanded}", total(&used[0]));
    assert!(total(&used[1]) > 0.0, "the newcomers get the remaining capacity");
}

#[test]
fn a_tenant_returning_after_a_long_idle_time_gets_its_share_and_no_more() {
    let mut fair = FairScheduler::new(Settings::default(), 1.0, 1, 0);
    let quiet = TenantKey { name: b"quiet", origin: 1 };
    let loud = TenantKey { name: b"loud", origin: 1 };
    let mut now = 0;
    let mut step = |fair: &mut FairScheduler, tenant: TenantKey, gap: Nanos| {
        now += gap;
        if (now / SECOND) != ((now - gap) / SECOND) {
            fair.update_fair_rate(now, 0.9, f64::INFINITY);
        }
        let admission = fair.arrive(now, tenant, 10e6, None);
        let outcome = if admission.surplus { ServiceOutcome::NeverRan } else { ServiceOutcome::Ran(10 * MS) };
        fair.end_service(now, &admission, outcome);
        !admission.surplus
    };
    // The quiet tenant becomes established. It is then idle for four minutes while the loud tenant uses all
    // capacity.
    (0..40).for_each(|_| assert!(step(&mut fair, quiet, SECOND / 10)));
    (0..60_000).for_each(|_| {
        step(&mut fair, loud, 4 * MS);
    });
    let at_once = (0..4000).filter(|_| step(&mut fair, quiet, 1000)).count();
    // After its idle time, the quiet tenant may use its burst at once, which is fifteen seconds of its share.
    // `most` is the burst as a number of invocations. The share that the tenant left unused in the four idle
    // minutes must not be granted later.
    let most = 15.0 * 0.9 / 0.01;
    assert!(at_once > 300 && (at_once as f64) < 1.1 * most, "{at_once} of {most}");
}

#[test]
fn a_clock_that_stops_or_jumps_grants_no_extra_share() {
    let mut fair = FairScheduler::new(Settings { burst: SECOND, ..Settings::default() }, 1.0, 1, 0);
    let tenant = TenantKey { name: b"one", origin: 1 };
    let within = |fair: &mut FairScheduler, now: Nanos, arrivals: u32| {
        (0..arrivals).filter(|_| !fair.arrive(now, tenant, 10e6, None).surplus).count()
    };
    assert!(within(&mut fair, 0, 1000) <= 102);
    assert_eq!(within(&mut fair, 0, 1000), 0, "the clock is stopped");
    let after = within(&mut fair, 3600 * SECOND, 1000);
    assert!(after <= 102, "{after} admitted after a jump of an hour");
    assert_eq!(within(&mut fair, 5 * SECOND, 1000), 0, "the clock went back");
    // The charge for a long invocation must remain after a clock jump. Here the invocation uses 5 s of work,
    // while the burst is 1 s.
    let start = 3600 * SECOND;
    fair.update_fair_rate(start, 0.01, f64::INFINITY);
    let admission = fair.arrive(start + 100 * SECOND, tenant, 10e6, None);
    fair.end_service(start + 100 * SECOND, &admission, ServiceOutcome::Ran(5 * SECOND));
    assert_eq!(
        within(&mut fair, start + 4000 * SECOND, 100),
        0,
        "a jump of an hour cleared the charge of a long run"
    );
}

#[test_case(b""; "of no bytes")]
#[test_case(&[b'x'; 2048]; "of 2048 bytes")]
#[test_case(b"\xff\xfe\x00\n"; "not UTF-8")]
fn any_bytes_are_a_valid_tenant_name(name: &[u8]) {
    let mut fair = FairScheduler::new(Settings::default(), 1.0, 1, 0);
    let other = [name, b"."].concat();
    for second in 0..10 {
        let now = second * SECOND;
        assert!(!fair.arrive(now, TenantKey { name, origin: 1 }, 1e6, None).surplus);
        assert!(!fair.arrive(now, TenantKey { name: &other, origin: 1 }, 2e6, None).surplus);
    }
    assert_eq!(fair.accounts(), 2);
    let top = fair.top_tenants(10 * SECOND, 8);
    assert_eq!(top.len(), 2);
    assert!(
        top[0].demand > top[1].demand
            && top.iter().all(|tenant| tenant.name.len() < 250 && tenant.name.is_ascii())
    );
}

/// A tenant for which no account is free is recorded in the sketch. After an invocation with much work, such
/// a tenant must stay over its share.
#[test]
fn a_tenant_without_an_account_is_still_charged() {
    let settings = Settings { accounts: 16, burst: 5 * SECOND, ..Settings::default() };
    let mut fair = FairScheduler::new(settings, 1.0, 1, 0);
    let name = |n: u64| n.to_be_bytes();
    let mut now = 0;
    let visit = |fair: &mut FairScheduler, now: Nanos, n: u64, work: f64| {
        let admission = fair.arrive(now, TenantKey { name: &name(n), origin: 1 }, work, None);
        (admission.surplus, admission)
    };
    for _ in 0..20 {
        now += SECOND / 2;
        (0..32).for_each(|n| {
            visit(&mut fair, now, n, 1e6);
        });
    }
    assert_eq!(fair.accounts(), 16, "all accounts are taken and in use");
    assert!(fair.counters.sketched > 0 && fair.counters.evicted == 0);
    // Tenant 31 is recorded in the sketch. An invocation that uses 20 s puts the tenant far over its share,
    // so the tenant's next arrivals must be surplus.
    fair.update_fair_rate(now, 0.032, f64::INFINITY);
    let (surplus, admission) = visit(&mut fair, now, 31, 1e6);
    assert!(!surplus, "{admission:?}");
    fair.end_service(now, &admission, ServiceOutcome::Ran(20 * SECOND));
    for second in 1..40 {
        let now = now + second * SECOND;
        assert!(visit(&mut fair, now, 31, 1e6).0, "after {second} s");
    }
}

/// An idle tenant that has used its share far in advance keeps its account. Evicting the account would lose
/// the tenant's recorded usage.
#[test]
fn an_account_ahead_of_its_share_is_not_evicted() {
    let settings = Settings { accounts: 16, burst: 5 * SECOND, ..Settings::default() };
    let mut fair = FairScheduler::new(settings, 1.0, 1, 0);
    let name = |n: u64| n.to_be_bytes();
    let mut now = 0;
    for _ in 0..8 {
        now += SECOND;
        (0..16u64).for_each(|n| {
            fair.arrive(now, TenantKey { name: &name(n), origin: 1 }, 1e6, None);
        });
    }
    fair.update_fair_rate(now, 0.005, f64::INFINITY);
    let admission = fair.arrive(now, TenantKey { name: &name(0), origin: 1 }, 1e6, None);
    assert!(!admission.surplus);
    fair.end_service(now, &admission, ServiceOutcome::Ran(20 * SECOND));
    // The idle tenant's account must be kept while other tenants arrive for 100 s. This is longer than the 10
    // s of idle time after which other accounts may be evicted.
    for n in 0..400u64 {
        now += SECOND / 4;
        fair.arrive(now, TenantKey { name: &name(100 + n % 40), origin: 1 }, 1e6, None);
    }
    assert!(fair.counters.evicted > 4, "{:?}", fair.counters);
    let returned = fair.arrive(now, TenantKey { name: &name(0), origin: 1 }, 1e6, None);
    assert!(returned.surplus, "{returned:?}");
}

/// 1,000,000 equal tenants demand twice the capacity. All but 4,096 of them are recorded in the sketch.
/// Admissions are counted only after all tenants are established and have used up their bursts.
#[test]
fn a_million_equal_tenants_have_equal_shares() {
    let tenants = 1_000_000u64;
    let settings = Settings {
        cells: 1 << 23,
        names_per_origin: 1e9,
        probation: 0,
        burst: 35 * SECOND,
        ..Settings::default()
    };
    let ceiling = settings.bytes_max();
    assert!(ceiling < 56 << 20, "{ceiling}");
    let mut fair = FairScheduler::new(settings, 40.0, 3, 0);
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut used = vec![0u32; tenants as usize];
    // The scheduler allocates 36 of the 40 cores. An invocation takes 1 ms of one core, so 36,000 invocations
    // per second fit into the tenants' shares. 72,000 invocations per second arrive.
    let gap = SECOND / 72_000;
    let (mut now, mut period) = (0, 0);
    for n in 0..41_000_000u64 {
        now += gap;
        if now > period {
            fair.update_fair_rate(now, 36.0, f64::INFINITY);
            period += SECOND / 2;
        }
        let tenant = rng.random_range(0..tenants);
        let admission =
            fair.arrive(now, TenantKey { name: &tenant.to_be_bytes(), origin: tenant % 64 }, 1e6, None);
        if n > 14_000_000 && !admission.surplus {
            used[tenant as usize] += 1;
        }
    }
    let used: Vec<f64> = used.into_iter().map(f64::from).collect();
    let (index, mean) = (jain_index(&used), total(&used) / tenants as f64);
    println!("Jain's index {index:.4}, mean {mean:.2}, {} bytes of {ceiling}", fair.bytes());
    assert!(index >= 0.99, "{index}, mean {mean}");
    assert!(fair.bytes() <= ceiling);
}
