//! Tests the promises that the scheduler makes to rejected arrivals: a retry at the promised time is
//! admitted, and requesting promises gives a caller no other advantage.

use meadowstream_fair_queueing::{
    Admission, FairScheduler, Nanos, SchedulerCounters, ServiceOutcome, Settings, TenantKey,
};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

const SECOND: Nanos = 1_000_000_000;
const MS: Nanos = 1_000_000;

const FLOODING: TenantKey = TenantKey { name: b"loud", origin: 1 };

fn settings() -> Settings {
    Settings { burst: SECOND, promise_max: 2 * SECOND, return_grace: SECOND / 2, ..Settings::default() }
}

/// Creates a scheduler and lets an established tenant use up its share. The fair rate is a tenth of a core.
/// Returns the scheduler and the time at which the tenant had used up its share.
fn scheduler_with_used_up_share(settings: Settings) -> (FairScheduler, Nanos) {
    let mut fair = FairScheduler::new(settings, 1.0, 1, 0);
    for n in 0..4000 {
        let admission = fair.arrive(n * MS, FLOODING, 1e6, None);
        fair.end_service(n * MS, &admission, ServiceOutcome::Ran(MS));
        if n % 500 == 0 {
            fair.update_fair_rate(n * MS, 0.1, f64::INFINITY);
        }
    }
    let mut now = 4 * SECOND;
    fair.update_fair_rate(now, 0.1, f64::INFINITY);
    while !fair.arrive(now, FLOODING, 10e6, None).surplus {
        now += MS;
    }
    fair.counters = SchedulerCounters::default();
    (fair, now)
}

fn reject(fair: &mut FairScheduler, now: Nanos) -> Admission {
    let admission = fair.arrive(now, FLOODING, 10e6, None);
    assert!(admission.surplus, "{admission:?}");
    fair.end_service(now, &admission, ServiceOutcome::NeverRan);
    admission
}

/// Requests a promise to admit the retry of a rejected arrival. Returns the wait in nanoseconds and the
/// ticket, or `None` if no promise was issued.
fn request_promise(fair: &mut FairScheduler, now: Nanos, admission: &Admission) -> Option<(Nanos, u64)> {
    let advice = fair.promise(now, admission, 0);
    advice.ticket.map(|ticket| (advice.retry_after, ticket))
}

#[test]
fn a_retry_as_promised_is_admitted_once() {
    let (mut fair, now) = scheduler_with_used_up_share(settings());
    let admission = reject(&mut fair, now);
    let (wait, ticket) = request_promise(&mut fair, now, &admission).unwrap();
    let retry = fair.arrive(now + wait, FLOODING, 10e6, Some(ticket));
    assert!(retry.promised && !retry.surplus);
    fair.end_service(now + wait, &retry, ServiceOutcome::Ran(10 * MS));
    let second_retry = fair.arrive(now + wait, FLOODING, 10e6, Some(ticket));
    assert!(!second_retry.promised && second_retry.surplus, "a ticket can be redeemed only once");
    assert_eq!((fair.counters.kept, fair.counters.unknown, fair.promises()), (1, 1, 0));
}

#[test]
fn early_and_late_retries_lose_the_promise() {
    let (mut fair, now) = scheduler_with_used_up_share(settings());
    let promise = |fair: &mut FairScheduler| {
        let admission = reject(fair, now);
        request_promise(fair, now, &admission).unwrap()
    };
    (0..5).for_each(|_| {
        promise(&mut fair);
    });
    let (wait, ticket) = promise(&mut fair);
    assert!(!fair.arrive(now + wait / 8, FLOODING, 10e6, Some(ticket)).promised);
    let retry = fair.arrive(now + wait, FLOODING, 10e6, Some(ticket));
    assert!(!retry.promised, "the early retry lost the promise");
    assert_eq!((fair.counters.early, fair.counters.unknown), (1, 1));
    let (mut fair, now) = scheduler_with_used_up_share(settings());
    let admission = reject(&mut fair, now);
    let (wait, ticket) = request_promise(&mut fair, now, &admission).unwrap();
    let late = now + wait + SECOND / 2 + 1;
    assert!(!fair.arrive(late, FLOODING, 10e6, Some(ticket)).promised);
    assert_eq!((fair.counters.unknown, fair.counters.lapsed), (1, 1));
}

#[test]
fn only_its_tenant_can_redeem_a_ticket_from_any_connection() {
    let (mut fair, now) = scheduler_with_used_up_share(settings());
    let admission = reject(&mut fair, now);
    let (wait, ticket) = request_promise(&mut fair, now, &admission).unwrap();
    let other_tenant = TenantKey { name: b"thief", origin: 1 };
    assert!(!fair.arrive(now + wait, other_tenant, 10e6, Some(ticket)).promised);
    let other_origin = TenantKey { origin: 99, ..FLOODING };
    assert!(
        fair.arrive(now + wait, other_origin, 10e6, Some(ticket)).promised,
        "the attempt of another tenant has no effect"
    );
}

#[test]
fn repeated_requests_get_ever_later_promises() {
    let (mut fair, now) = scheduler_with_used_up_share(Settings { promise_max: 20 * SECOND, ..settings() });
    let mut last = 0;
    let mut waits = Vec::new();
    for _ in 0..40 {
        let admission = reject(&mut fair, now);
        let Some((wait, _)) = request_promise(&mut fair, now, &admission) else { break };
        waits.push(wait);
        last = last.max(wait);
    }
    // Each promise covers 10 ms of work, and the tenant's share is at most a tenth of a core (less while
    // newcomers use a part). Successive promises are therefore about 100 ms or more apart. Each wait is
    // extended at random by up to a quarter.
    assert!(waits.len() == 40 && last >= 39 * SECOND / 10, "{waits:?}");
    let per_promise: Vec<Nanos> = waits.iter().enumerate().map(|(n, w)| w / (n as u64 + 1)).collect();
    assert!(per_promise[20..].iter().all(|wait| (90 * MS..260 * MS).contains(wait)), "{per_promise:?}");
}

#[test]
fn promises_are_limited_and_lapsed_ones_are_freed() {
    let (mut fair, now) =
        scheduler_with_used_up_share(Settings { promises: 4, promise_max: 5 * SECOND, ..settings() });
    let request = |fair: &mut FairScheduler, now: Nanos| {
        let admission = reject(fair, now);
        request_promise(fair, now, &admission)
    };
    (0..4).for_each(|_| assert!(request(&mut fair, now).is_some()));
    assert_eq!(request(&mut fair, now), None);
    // No caller retries, so all promises lapse. The part of the tenant's share that was reserved for the
    // promises becomes available to the tenant again.
    let later = now + 8 * SECOND;
    assert!(!fair.arrive(later, FLOODING, 10e6, None).surplus);
    assert_eq!((fair.counters.lapsed, fair.promises(), fair.counters.unpromised), (4, 0, 1));
}

/// A promise that lapses does not use up any of its tenant's share: the reserved part becomes available to
/// the tenant again.
#[test]
fn lapsed_bookings_are_not_lost_to_their_tenant() {
    let (mut fair, start) = scheduler_with_used_up_share(settings());
    let mut within = 0.0;
    for n in 0..60_000u64 {
        let now = start + n * MS;
        if n % 500 == 0 {
            fair.update_fair_rate(now, 0.1, f64::INFINITY);
        }
        let admission = fair.arrive(now, FLOODING, 10e6, None);
        if admission.surplus {
            fair.end_service(now, &admission, ServiceOutcome::NeverRan);
            fair.promise(now, &admission, 0);
        } else {
            fair.end_service(now, &admission, ServiceOutcome::Ran(10 * MS));
            within += 0.01;
        }
    }
    assert!(fair.counters.lapsed > 300, "{:?}", fair.counters);
    assert!(within > 0.8 * 0.1 * 60.0, "{within} core seconds used of 6");
}

#[test]
fn no_promise_is_longer_than_the_longest_wait() {
    let (mut fair, now) = scheduler_with_used_up_share(settings());
    let mut made = 0;
    while let Some((wait, _)) = {
        let admission = reject(&mut fair, now);
        request_promise(&mut fair, now, &admission)
    } {
        assert!(wait <= 2 * SECOND + MS, "{wait}");
        made += 1;
    }
    assert!((10..=20).contains(&made), "{made} promises in two seconds of a tenth of a core");
}

#[test]
fn a_promise_is_not_honoured_after_a_large_drop_of_the_fair_rate() {
    let (mut fair, now) = scheduler_with_used_up_share(settings());
    let mut request = || {
        let admission = reject(&mut fair, now);
        request_promise(&mut fair, now, &admission)
    };
    let (wait, ticket) = (0..6).filter_map(|_| request()).last().unwrap();
    assert!(wait > SECOND / 2, "{wait}");
    fair.update_fair_rate(now, 0.01, f64::INFINITY);
    let retry = fair.arrive(now + wait, FLOODING, 10e6, Some(ticket));
    assert!(!retry.promised && retry.surplus);
    assert_eq!(fair.counters.broken, 1);
}

#[test]
fn tickets_of_a_predecessor_are_unknown_and_harmless() {
    let (mut fair, now) = scheduler_with_used_up_share(settings());
    let admission = reject(&mut fair, now);
    let (wait, ticket) = request_promise(&mut fair, now, &admission).unwrap();
    let mut successor = FairScheduler::new(settings(), 1.0, 2, now);
    let retry = successor.arrive(now + wait, FLOODING, 10e6, Some(ticket));
    assert!(!retry.promised && !retry.surplus, "the successor has not recorded an overload yet");
    assert_eq!(successor.counters.unknown, 1);
}

/// Under steady overload, many callers of one tenant follow their retry advice. At least 99 % of the retries
/// with a ticket must be admitted, and the retries must be spread over time rather than synchronized.
#[test]
fn promises_are_honoured_under_steady_overload() {
    let (mut fair, start) = scheduler_with_used_up_share(settings());
    let mut rng = ChaCha8Rng::seed_from_u64(9);
    let mut arrivals: BTreeMap<(Nanos, u64), Option<u64>> = BTreeMap::new();
    for n in 0..40 {
        arrivals.insert((start + n * MS, n), None);
    }
    let (mut number, mut period, mut retries) = (100, start, Vec::new());
    while let Some(((now, _), ticket)) = arrivals.pop_first() {
        if now > start + 60 * SECOND {
            break;
        }
        if now > period {
            fair.update_fair_rate(now, 0.1, f64::INFINITY);
            period += SECOND / 2;
        }
        number += 1;
        if ticket.is_some() {
            retries.push(now);
        }
        let admission = fair.arrive(now, FLOODING, 10e6, ticket);
        if !admission.surplus {
            fair.end_service(now, &admission, ServiceOutcome::Ran(10 * MS));
            arrivals.insert((now + rng.random_range(1..50) * MS, number), None);
        } else {
            fair.end_service(now, &admission, ServiceOutcome::NeverRan);
            let (wait, ticket) = match request_promise(&mut fair, now, &admission) {
                Some((wait, ticket)) => (wait + rng.random_range(0..100) * MS, Some(ticket)),
                None => (SECOND, None),
            };
            arrivals.insert((now + wait, number), ticket);
        }
    }
    let counts = fair.counters;
    assert!(counts.kept > 400, "{counts:?}");
    assert!(counts.kept as f64 >= 0.99 * retries.len() as f64, "{counts:?} of {}", retries.len());
    let bursts = retries.windows(8).filter(|window| window[7] - window[0] < 20 * MS).count();
    assert!(bursts < retries.len() / 50, "{bursts} of {} retries were synchronized", retries.len());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// A new arrival waits for a bounded number of arrivals of each other tenant, even if that tenant has
    /// many queued arrivals. The bound follows from the work of that tenant's longest invocation, divided by
    /// that tenant's weight. Here all arrivals have equal work, and the new arrival's tenant has weight 1. At
    /// most `weight + 1` arrivals of a tenant with weight `weight` are then served before the new arrival.
    #[test]
    fn an_arrival_waits_behind_at_most_one_of_each_other_tenant(
        queues in prop::collection::vec((1u32..10, 1u64..60), 2..12),
        served in 0usize..40,
        seed in 0u64..1000,
    ) {
        let name = |i: usize| format!("{i}").into_bytes();
        let named = queues.iter().enumerate().map(|(i, (w, _))| (name(i), f64::from(*w)));
        let named = named.chain([(b"late".to_vec(), 1.0)]).collect();
        let mut fair = FairScheduler::new(Settings { named, ..settings() }, 1.0, seed, 0);
        fair.update_fair_rate(0, 1e3, f64::INFINITY);
        let mut queued = Vec::new();
        for (i, (_, count)) in queues.iter().enumerate() {
            for _ in 0..*count {
                let admission = fair.arrive(1, TenantKey { name: &name(i), origin: 1 }, 1e6, None);
                prop_assert!(!admission.surplus);
                queued.push((admission.start_tag, i, admission));
            }
        }
        queued.sort_by_key(|(tag, i, _)| (*tag, *i));
        for (_, _, admission) in queued.drain(..served.min(queued.len())) {
            fair.start_service(&admission);
        }
        let late = fair.arrive(2, TenantKey { name: b"late", origin: 1 }, 1e6, None);
        for (i, (weight, _)) in queues.iter().enumerate() {
            let before = queued.iter().filter(|(tag, of, _)| *of == i && *tag <= late.start_tag).count();
            // A tenant's start tags are spaced by the work of an arrival divided by the tenant's weight. Up
            // to `weight` arrivals (fewer than 10 here) therefore have tags within the work of one arrival of
            // a tenant with weight 1.
            prop_assert!(before <= 1 + *weight as usize, "{before} of tenant {i} with weight {weight}");
        }
    }

    /// Two tenants that always have queued work use their shares at the same rate. For each tenant, the test
    /// divides the used work by the tenant's weight. The difference between the two quotients is at most two
    /// bursts plus two invocations of each tenant.
    #[test]
    fn backlogged_tenants_advance_together(
        works in prop::collection::vec(1u64..200, 2),
        weights in prop::collection::vec(1u32..20, 2),
        seed in 0u64..1000,
    ) {
        let names = [b"a", b"b"];
        let named = names.iter().zip(&weights).map(|(n, w)| (n.to_vec(), f64::from(*w))).collect();
        let mut fair = FairScheduler::new(Settings { named, burst: SECOND, ..settings() }, 1.0, seed, 0);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut used = [0.0f64; 2];
        let mut bound = 0.0f64;
        fair.update_fair_rate(0, 1e-3, f64::INFINITY);
        for n in 0..20_000u64 {
            let now = n * 5 * MS;
            if n % 100 == 0 {
                fair.update_fair_rate(now, 0.9, f64::INFINITY);
            }
            let tenant = rng.random_range(0..2);
            let admission = fair.arrive(now, TenantKey { name: names[tenant], origin: 1 }, 20e6, None);
            if admission.surplus {
                fair.end_service(now, &admission, ServiceOutcome::NeverRan);
                continue;
            }
            fair.end_service(now, &admission, ServiceOutcome::Ran(works[tenant] * MS));
            // Used work is counted only after a start phase. By the end of this phase, both tenants have
            // demanded more than the capacity.
            if n > 2000 {
                used[tenant] += works[tenant] as f64 * 1e6 / f64::from(weights[tenant]);
            }
            bound = bound.max(fair.fair_rate() * 1e9);
        }
        let invocation_lengths: f64 = (0..2).map(|i| works[i] as f64 * 1e6 / f64::from(weights[i])).sum();
        let both_backlogged = fair.top_tenants(100 * SECOND, 2).iter().all(|top| top.surplus > 100);
        let ahead = (used[0] - used[1]).abs();
        prop_assert!(
            !both_backlogged || ahead <= 2.0 * bound + 2.0 * invocation_lengths,
            "{used:?} {bound} {invocation_lengths}"
        );
    }
}
