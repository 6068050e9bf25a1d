//! Promises: who waits as told is let in, and nothing else is gained by asking.

use meadowstream_fair_queueing::{
    Admission, FairScheduler, Nanos, SchedulerCounters, ServiceOutcome, Settings, TenantKey,
};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

const SECOND: Nanos = 1_000_000_000;
const MS: Nanos = 1_000_000;

const LOUD: TenantKey = TenantKey { name: b"loud", origin: 1 };

fn settings() -> Settings {
    Settings { burst: SECOND, promise_max: 2 * SECOND, return_grace: SECOND / 2, ..Settings::default() }
}

/// A tenant known for long that has used its share up, at a level of a tenth of a core; and when that is.
fn pressed(settings: Settings) -> (FairScheduler, Nanos) {
    let mut fair = FairScheduler::new(settings, 1.0, 1, 0);
    for n in 0..4000 {
        let admission = fair.arrive(n * MS, LOUD, 1e6, None);
        fair.end(n * MS, &admission, ServiceOutcome::Ran(MS));
        if n % 500 == 0 {
            fair.update_fair_rate(n * MS, 0.1, f64::INFINITY);
        }
    }
    let mut now = 4 * SECOND;
    fair.update_fair_rate(now, 0.1, f64::INFINITY);
    while !fair.arrive(now, LOUD, 10e6, None).surplus {
        now += MS;
    }
    fair.counters = SchedulerCounters::default();
    (fair, now)
}

fn rejected(fair: &mut FairScheduler, now: Nanos) -> Admission {
    let admission = fair.arrive(now, LOUD, 10e6, None);
    assert!(admission.surplus, "{admission:?}");
    fair.end(now, &admission, ServiceOutcome::NeverRan);
    admission
}

/// The time and the ticket, where there is one.
fn promised(fair: &mut FairScheduler, now: Nanos, admission: &Admission) -> Option<(Nanos, u64)> {
    let advice = fair.promise(now, admission, 0);
    advice.ticket.map(|ticket| (advice.retry_after, ticket))
}

#[test]
fn a_return_as_promised_is_admitted_once() {
    let (mut fair, now) = pressed(settings());
    let admission = rejected(&mut fair, now);
    let (waits, ticket) = promised(&mut fair, now, &admission).unwrap();
    let back = fair.arrive(now + waits, LOUD, 10e6, Some(ticket));
    assert!(back.promised && !back.surplus);
    fair.end(now + waits, &back, ServiceOutcome::Ran(10 * MS));
    let again = fair.arrive(now + waits, LOUD, 10e6, Some(ticket));
    assert!(!again.promised && again.surplus, "a ticket is good once");
    assert_eq!((fair.counters.kept, fair.counters.unknown, fair.promises()), (1, 1, 0));
}

#[test]
fn early_and_late_returns_lose_the_place() {
    let (mut fair, now) = pressed(settings());
    let promise = |fair: &mut FairScheduler| {
        let admission = rejected(fair, now);
        promised(fair, now, &admission).unwrap()
    };
    (0..5).for_each(|_| {
        promise(&mut fair);
    });
    let (waits, ticket) = promise(&mut fair);
    assert!(!fair.arrive(now + waits / 8, LOUD, 10e6, Some(ticket)).promised);
    let back = fair.arrive(now + waits, LOUD, 10e6, Some(ticket));
    assert!(!back.promised, "the place was lost by coming early");
    assert_eq!((fair.counters.early, fair.counters.unknown), (1, 1));
    let (mut fair, now) = pressed(settings());
    let admission = rejected(&mut fair, now);
    let (waits, ticket) = promised(&mut fair, now, &admission).unwrap();
    let late = now + waits + SECOND / 2 + 1;
    assert!(!fair.arrive(late, LOUD, 10e6, Some(ticket)).promised);
    assert_eq!((fair.counters.unknown, fair.counters.lapsed), (1, 1));
}

#[test]
fn a_ticket_is_its_tenants_alone_from_any_connection() {
    let (mut fair, now) = pressed(settings());
    let admission = rejected(&mut fair, now);
    let (waits, ticket) = promised(&mut fair, now, &admission).unwrap();
    let thief = TenantKey { name: b"thief", origin: 1 };
    assert!(!fair.arrive(now + waits, thief, 10e6, Some(ticket)).promised);
    let elsewhere = TenantKey { origin: 99, ..LOUD };
    assert!(fair.arrive(now + waits, elsewhere, 10e6, Some(ticket)).promised, "the thief spoiled nothing");
}

#[test]
fn asking_twice_gets_a_later_place_and_never_a_better_one() {
    let (mut fair, now) = pressed(Settings { promise_max: 20 * SECOND, ..settings() });
    let mut last = 0;
    let mut spans = Vec::new();
    for _ in 0..40 {
        let admission = rejected(&mut fair, now);
        let Some((waits, _)) = promised(&mut fair, now, &admission) else { break };
        spans.push(waits);
        last = last.max(waits);
    }
    // 10 ms of work at a tenth of a core or what newcomers leave of it, spread by a quarter.
    assert!(spans.len() == 40 && last >= 39 * SECOND / 10, "{spans:?}");
    let behind: Vec<Nanos> = spans.iter().enumerate().map(|(n, w)| w / (n as u64 + 1)).collect();
    assert!(behind[20..].iter().all(|each| (90 * MS..260 * MS).contains(each)), "{behind:?}");
}

#[test]
fn promises_are_limited_and_lapsed_ones_are_freed() {
    let (mut fair, now) = pressed(Settings { promises: 4, promise_max: 5 * SECOND, ..settings() });
    let ask = |fair: &mut FairScheduler, now: Nanos| {
        let admission = rejected(fair, now);
        promised(fair, now, &admission)
    };
    (0..4).for_each(|_| assert!(ask(&mut fair, now).is_some()));
    assert_eq!(ask(&mut fair, now), None);
    // Nobody comes: all lapse, and what was booked for them is free again.
    let later = now + 8 * SECOND;
    assert!(!fair.arrive(later, LOUD, 10e6, None).surplus);
    assert_eq!((fair.counters.lapsed, fair.promises(), fair.counters.unpromised), (4, 0, 1));
}

/// Nobody ever comes back: what was booked for promises is the tenant's again, and its share is not lost.
#[test]
fn lapsed_places_are_not_lost_to_their_tenant() {
    let (mut fair, start) = pressed(settings());
    let mut within = 0.0;
    for n in 0..60_000u64 {
        let now = start + n * MS;
        if n % 500 == 0 {
            fair.update_fair_rate(now, 0.1, f64::INFINITY);
        }
        let admission = fair.arrive(now, LOUD, 10e6, None);
        if admission.surplus {
            fair.end(now, &admission, ServiceOutcome::NeverRan);
            fair.promise(now, &admission, 0);
        } else {
            fair.end(now, &admission, ServiceOutcome::Ran(10 * MS));
            within += 0.01;
        }
    }
    assert!(fair.counters.lapsed > 300, "{:?}", fair.counters);
    assert!(within > 0.8 * 0.1 * 60.0, "{within} core seconds of 6");
}

#[test]
fn nothing_is_promised_beyond_the_longest() {
    let (mut fair, now) = pressed(settings());
    let mut made = 0;
    while let Some((waits, _)) = {
        let admission = rejected(&mut fair, now);
        promised(&mut fair, now, &admission)
    } {
        assert!(waits <= 2 * SECOND + MS, "{waits}");
        made += 1;
    }
    assert!((10..=20).contains(&made), "{made} places in two seconds of a tenth of a core");
}

#[test]
fn a_promise_does_not_hold_where_the_server_is_far_worse_off() {
    let (mut fair, now) = pressed(settings());
    let mut ask = || {
        let admission = rejected(&mut fair, now);
        promised(&mut fair, now, &admission)
    };
    let (waits, ticket) = (0..6).filter_map(|_| ask()).last().unwrap();
    assert!(waits > SECOND / 2, "{waits}");
    fair.update_fair_rate(now, 0.01, f64::INFINITY);
    let back = fair.arrive(now + waits, LOUD, 10e6, Some(ticket));
    assert!(!back.promised && back.surplus);
    assert_eq!(fair.counters.broken, 1);
}

#[test]
fn after_a_restart_old_tickets_are_unknown_and_harm_nothing() {
    let (mut fair, now) = pressed(settings());
    let admission = rejected(&mut fair, now);
    let (waits, ticket) = promised(&mut fair, now, &admission).unwrap();
    let mut successor = FairScheduler::new(settings(), 1.0, 2, now);
    let back = successor.arrive(now + waits, LOUD, 10e6, Some(ticket));
    assert!(!back.promised && !back.surplus, "there is enough for all as far as it knows");
    assert_eq!(successor.counters.unknown, 1);
}

/// Many callers of one tenant, all told when to come back: those who do are let in in 99 of 100 cases at
/// least, and returns do not come in step.
#[test]
fn advice_is_kept_under_steady_overload() {
    let (mut fair, start) = pressed(settings());
    let mut rng = ChaCha8Rng::seed_from_u64(9);
    let mut coming: BTreeMap<(Nanos, u64), Option<u64>> = BTreeMap::new();
    for n in 0..40 {
        coming.insert((start + n * MS, n), None);
    }
    let (mut number, mut period, mut returns) = (100, start, Vec::new());
    while let Some(((now, _), ticket)) = coming.pop_first() {
        if now > start + 60 * SECOND {
            break;
        }
        if now > period {
            fair.update_fair_rate(now, 0.1, f64::INFINITY);
            period += SECOND / 2;
        }
        number += 1;
        if ticket.is_some() {
            returns.push(now);
        }
        let admission = fair.arrive(now, LOUD, 10e6, ticket);
        if !admission.surplus {
            fair.end(now, &admission, ServiceOutcome::Ran(10 * MS));
            coming.insert((now + rng.random_range(1..50) * MS, number), None);
        } else {
            fair.end(now, &admission, ServiceOutcome::NeverRan);
            let (waits, ticket) = match promised(&mut fair, now, &admission) {
                Some((waits, ticket)) => (waits + rng.random_range(0..100) * MS, Some(ticket)),
                None => (SECOND, None),
            };
            coming.insert((now + waits, number), ticket);
        }
    }
    let counts = fair.counters;
    assert!(counts.kept > 400, "{counts:?}");
    assert!(counts.kept as f64 >= 0.99 * returns.len() as f64, "{counts:?} of {}", returns.len());
    let most = returns.windows(8).filter(|eight| eight[7] - eight[0] < 20 * MS).count();
    assert!(most < returns.len() / 50, "{most} of {} returns came in step", returns.len());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whoever comes to a crowd of queues waits behind one of each other tenant's at the most, whatever they
    /// have queued: in work over weight, no more than the longest of each.
    #[test]
    fn nobody_waits_behind_more_than_one_of_each(
        queues in prop::collection::vec((1u32..10, 1u64..60), 2..12),
        served in 0usize..40,
        seed in 0u64..1000,
    ) {
        let name = |i: usize| format!("{i}").into_bytes();
        let named = queues.iter().enumerate().map(|(i, (w, _))| (name(i), f64::from(*w)));
        let named = named.chain([(b"late".to_vec(), 1.0)]).collect();
        let mut fair = FairScheduler::new(Settings { named, ..settings() }, 1.0, seed, 0);
        fair.update_fair_rate(0, 1e3, f64::INFINITY);
        let mut waiting = Vec::new();
        for (i, (_, many)) in queues.iter().enumerate() {
            for _ in 0..*many {
                let admission = fair.arrive(1, TenantKey { name: &name(i), origin: 1 }, 1e6, None);
                prop_assert!(!admission.surplus);
                waiting.push((admission.start_tag, i, admission));
            }
        }
        waiting.sort_by_key(|(tag, i, _)| (*tag, *i));
        for (_, _, admission) in waiting.drain(..served.min(waiting.len())) {
            fair.start_service(&admission);
        }
        let late = fair.arrive(2, TenantKey { name: b"late", origin: 1 }, 1e6, None);
        for (i, (weight, _)) in queues.iter().enumerate() {
            let before = waiting.iter().filter(|(tag, of, _)| *of == i && *tag <= late.start_tag).count();
            // Weights up to 10 let as many small steps of one tenant stand within one step of another.
            prop_assert!(before <= 1 + *weight as usize, "{before} of tenant {i} with weight {weight}");
        }
    }

    /// Of two tenants that always have work neither is ahead by more than what both may use at once and a
    /// run each: in work over weight, whatever their runs are like.
    #[test]
    fn backlogged_tenants_stay_together(
        works in prop::collection::vec(1u64..200, 2),
        weights in prop::collection::vec(1u32..20, 2),
        seed in 0u64..1000,
    ) {
        let names = [b"a", b"b"];
        let named = names.iter().zip(&weights).map(|(n, w)| (n.to_vec(), f64::from(*w))).collect();
        let mut fair = FairScheduler::new(Settings { named, burst: SECOND, ..settings() }, 1.0, seed, 0);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut had = [0.0f64; 2];
        let mut bound = 0.0f64;
        fair.update_fair_rate(0, 1e-3, f64::INFINITY);
        for n in 0..20_000u64 {
            let now = n * 5 * MS;
            if n % 100 == 0 {
                fair.update_fair_rate(now, 0.9, f64::INFINITY);
            }
            let who = rng.random_range(0..2);
            let admission = fair.arrive(now, TenantKey { name: names[who], origin: 1 }, 20e6, None);
            if admission.surplus {
                fair.end(now, &admission, ServiceOutcome::NeverRan);
                continue;
            }
            fair.end(now, &admission, ServiceOutcome::Ran(works[who] * MS));
            // Counted once both have been seen to ask for more than there is.
            if n > 2000 {
                had[who] += works[who] as f64 * 1e6 / f64::from(weights[who]);
            }
            bound = bound.max(fair.fair_rate() * 1e9);
        }
        let runs: f64 = (0..2).map(|i| works[i] as f64 * 1e6 / f64::from(weights[i])).sum();
        let both = fair.top_tenants(100 * SECOND, 2).iter().all(|h| h.surplus > 100);
        let ahead = (had[0] - had[1]).abs();
        prop_assert!(!both || ahead <= 2.0 * bound + 2.0 * runs, "{had:?} {bound} {runs}");
    }
}
