//! Tests the calls of a whole fleet to a service that has just recovered, in simulated time.
//!
//! Each server sees only its own calls, but the sum of all servers' calls can overload the service. In each
//! window this sum may exceed the expected number N of calls by 2 * sqrt(N) + 2, as random variation. `cargo
//! test -p meadowstream-routing --test ramp -- --nocapture` prints the worst window of all runs.

use meadowstream_routing::{CallPreference, Choice, HealthView, Router, Settings};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const MS: u64 = 1_000_000;
const SERVICES: usize = 10;
const RAMP: u64 = 2_000 * MS;
/// Mean time between two calls that a server makes, in nanoseconds.
const CALL_INTERVAL: u64 = 25 * MS;
/// Mean duration of a call to a service that is not in slow start, in nanoseconds.
const CALL_TIME: u64 = 40 * MS;
/// Length of each window in which the test counts calls, in nanoseconds.
const WINDOW: u64 = 250 * MS;

struct Simulation {
    rng: ChaCha8Rng,
    routers: Vec<Router>,
    /// Number of calls of the whole fleet to the recovered service, in each window of its slow start.
    calls_per_window: Vec<u64>,
    /// Share of all calls that the recovered service received after its slow start. The calls are counted
    /// over a period half as long as the slow start.
    share_after: f64,
}

fn random_below(rng: &mut ChaCha8Rng, bound: u64) -> u64 {
    rng.next_u64() % bound
}

/// Simulates a fleet in which service 0 is ejected and then recovers. Each server is informed of the recovery
/// with a delay of up to 200 ms. During the ramp, calls to service 0 take `cold_slowdown` times as long.
fn simulate(servers: usize, cold_slowdown: u64, seed: u64) -> Simulation {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let settings = Settings { services: SERVICES, probe_interval: RAMP / 8, slow_start: RAMP };
    let mut routers: Vec<Router> =
        (0..servers).map(|i| Router::new(settings, seed * 1000 + i as u64).unwrap()).collect();
    let recovery = 1_000 * MS;
    let informed_at: Vec<u64> = (0..servers).map(|_| recovery + random_below(&mut rng, 200 * MS)).collect();
    let mut is_informed = vec![false; servers];
    let health_views = |ejected: bool| {
        (0..SERVICES).map(move |s| HealthView {
            ejected: ejected && s == 0,
            locally_unhealthy: false,
            is_prober: false,
        })
    };
    routers.iter_mut().for_each(|router| router.update_health(0, health_views(true)));
    let mut next: Vec<u64> = (0..servers).map(|_| random_below(&mut rng, 2 * CALL_INTERVAL)).collect();
    let mut open_calls: BinaryHeap<Reverse<(u64, usize, usize, bool)>> = BinaryHeap::new();
    let (mut calls_per_window, mut calls_after_ramp, mut service_calls_after_ramp) =
        (vec![0; (RAMP / WINDOW) as usize], 0, 0);
    let end = recovery + 2 * RAMP;
    for now in (0..end).step_by(MS as usize) {
        while open_calls.peek().is_some_and(|Reverse((at, ..))| *at <= now) {
            let Reverse((_, i, service, is_probe)) = open_calls.pop().expect("peeked call");
            routers[i].release(Choice { service, is_probe });
        }
        for i in 0..servers {
            if !is_informed[i] && informed_at[i] <= now {
                is_informed[i] = true;
                routers[i].update_health(now, health_views(false));
            }
            while next[i] <= now {
                next[i] += 1 + random_below(&mut rng, 2 * CALL_INTERVAL);
                // The simulation makes only ordinary calls, because the default preference does not permit
                // probes.
                let Some(choice) = routers[i].choose(now, CallPreference::default()) else { continue };
                let cold = choice.service == 0 && now < recovery + RAMP;
                let duration = CALL_TIME / 2 + random_below(&mut rng, CALL_TIME);
                let duration = if cold { cold_slowdown * duration } else { duration };
                open_calls.push(Reverse((now + duration, i, choice.service, choice.is_probe)));
                if now >= recovery + RAMP + RAMP / 2 {
                    calls_after_ramp += 1;
                    service_calls_after_ramp += u64::from(choice.service == 0);
                }
                if choice.service == 0 && now >= recovery && now < recovery + RAMP {
                    calls_per_window[((now - recovery) / WINDOW) as usize] += 1;
                }
            }
        }
    }
    Simulation {
        rng,
        routers,
        calls_per_window,
        share_after: service_calls_after_ramp as f64 / f64::from(calls_after_ramp),
    }
}

/// Returns the expected number of calls of the whole fleet to the recovered service in a window of the ramp.
/// The calculation assumes that all servers are informed of the recovery at once.
fn expected_calls(servers: usize, window: usize) -> f64 {
    let full_share = servers as f64 * WINDOW as f64 / CALL_INTERVAL as f64 / SERVICES as f64;
    full_share * (window as f64 + 0.5) * WINDOW as f64 / RAMP as f64
}

#[test]
fn fleet_calls_follow_the_slow_start() {
    let mut worst = 0.0_f64;
    for (servers, cold_slowdown) in [(30, 1), (30, 4), (20, 1), (1, 1), (100, 2)] {
        for seed in 1..=20 {
            let simulation = simulate(servers, cold_slowdown, seed);
            for (window, calls) in simulation.calls_per_window.iter().enumerate() {
                let expected = expected_calls(servers, window);
                let calls_max = expected + 2.0 * expected.sqrt() + 2.0;
                worst = worst.max(*calls as f64 / calls_max);
                assert!(
                    *calls as f64 <= calls_max,
                    "{servers} servers, seed {seed}, window {window}: {calls} of {calls_max:.1} calls: {:?}",
                    simulation.calls_per_window
                );
            }
        }
    }
    println!("worst window: {worst:.2} of the allowed number of calls");
}

#[test]
fn a_warm_service_regains_its_full_share() {
    let mean = (1..=20).map(|seed| simulate(30, 1, seed).share_after).sum::<f64>() / 20.0;
    assert!((mean - 0.1).abs() < 0.01, "share of the calls after the ramp: {mean}");
}

#[test]
fn servers_do_not_send_first_calls_in_unison() {
    // All servers are informed of the recovery at the same time and make calls at the same rate. Nevertheless
    // the first calls of the servers to the recovered service must be spread over time.
    let mut simulation = simulate(30, 1, 7);
    let seeds: Vec<u64> = simulation.routers.iter().map(|_| simulation.rng.next_u64()).collect();
    let settings = Settings { services: SERVICES, probe_interval: RAMP / 8, slow_start: RAMP };
    let mut first_calls: Vec<usize> = Vec::new();
    for seed in seeds {
        let mut router = Router::new(settings, seed).unwrap();
        let health_views = |ejected: bool| {
            (0..SERVICES).map(move |s| HealthView {
                ejected: ejected && s == 0,
                locally_unhealthy: false,
                is_prober: false,
            })
        };
        router.update_health(0, health_views(true));
        router.update_health(0, health_views(false));
        let first = (0..100).position(|step| {
            let choice = router
                .choose(step * CALL_INTERVAL, CallPreference::default())
                .expect("a service is available");
            router.release(choice);
            choice.service == 0
        });
        first_calls.push(first.unwrap_or(100));
    }
    first_calls.sort();
    let spread = first_calls[22] - first_calls[7];
    assert!(spread >= 5, "half of the first calls are within {spread} steps: {first_calls:?}");
}
