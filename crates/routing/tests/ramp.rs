//! What a whole fleet sends to a service that has come back, in simulated time. Each server knows its own
//! calls alone, yet it is their sum under which the service may fall: beyond its budget of N calls in a while
//! only 2 * root of N + 2 are put down to chance. `cargo test -p meadowstream-routing --test ramp --
//! --nocapture` prints the worst of all plays.

use meadowstream_routing::{CallPreference, Choice, HealthView, Router, Settings};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const MS: u64 = 1_000_000;
const SERVICES: usize = 10;
const RAMP: u64 = 2_000 * MS;
/// A server makes a call this often on average, and a call takes so long where all is warm.
const EVERY: u64 = 25 * MS;
const TAKES: u64 = 40 * MS;
/// The while in which calls are counted.
const WHILE: u64 = 250 * MS;

struct Play {
    rng: ChaCha8Rng,
    routers: Vec<Router>,
    /// Calls to the cold service in each while since it came back.
    got: Vec<u64>,
    /// The part of all calls that it got in the last half of the ramp's length after the ramp.
    after: f64,
}

fn below(rng: &mut ChaCha8Rng, most: u64) -> u64 {
    rng.next_u64() % most
}

/// Service 0 is out, then back; servers hear of both up to 200 ms late. `slower` times slower while cold.
fn play(servers: usize, slower: u64, seed: u64) -> Play {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let settings = Settings { services: SERVICES, probe_interval: RAMP / 8, slow_start: RAMP };
    let mut routers: Vec<Router> =
        (0..servers).map(|i| Router::new(settings, seed * 1000 + i as u64).unwrap()).collect();
    let back = 1_000 * MS;
    let told: Vec<u64> = (0..servers).map(|_| back + below(&mut rng, 200 * MS)).collect();
    let mut knows = vec![false; servers];
    let judged = |ejected: bool| {
        (0..SERVICES).map(move |s| HealthView {
            ejected: ejected && s == 0,
            locally_unhealthy: false,
            is_prober: false,
        })
    };
    routers.iter_mut().for_each(|router| router.update_health(0, judged(true)));
    let mut next: Vec<u64> = (0..servers).map(|_| below(&mut rng, 2 * EVERY)).collect();
    let mut open: BinaryHeap<Reverse<(u64, usize, usize, bool)>> = BinaryHeap::new();
    let (mut got, mut late, mut late_to_it) = (vec![0; (RAMP / WHILE) as usize], 0, 0);
    let end = back + 2 * RAMP;
    for now in (0..end).step_by(MS as usize) {
        while open.peek().is_some_and(|Reverse((at, ..))| *at <= now) {
            let Reverse((_, i, service, probe)) = open.pop().expect("looked at");
            routers[i].release(Choice { service, is_probe: probe });
        }
        for i in 0..servers {
            if !knows[i] && told[i] <= now {
                knows[i] = true;
                routers[i].update_health(now, judged(false));
            }
            while next[i] <= now {
                next[i] += 1 + below(&mut rng, 2 * EVERY);
                // Probes are none of this: nothing may be spent on them.
                let Some(chosen) = routers[i].choose(now, CallPreference::default()) else { continue };
                let cold = chosen.service == 0 && now < back + RAMP;
                let takes = TAKES / 2 + below(&mut rng, TAKES);
                let takes = if cold { slower * takes } else { takes };
                open.push(Reverse((now + takes, i, chosen.service, chosen.is_probe)));
                if now >= back + RAMP + RAMP / 2 {
                    late += 1;
                    late_to_it += u64::from(chosen.service == 0);
                }
                if chosen.service == 0 && now >= back && now < back + RAMP {
                    got[((now - back) / WHILE) as usize] += 1;
                }
            }
        }
    }
    Play { rng, routers, got, after: late_to_it as f64 / f64::from(late) }
}

/// What the ramp allows a service of the fleet's calls in that while, where all have heard at once.
fn budget(servers: usize, number: usize) -> f64 {
    let whole = servers as f64 * WHILE as f64 / EVERY as f64 / SERVICES as f64;
    whole * (number as f64 + 0.5) * WHILE as f64 / RAMP as f64
}

#[test]
fn the_calls_of_a_whole_fleet_keep_to_the_slow_start() {
    let mut worst = 0.0_f64;
    for (servers, slower) in [(30, 1), (30, 4), (20, 1), (1, 1), (100, 2)] {
        for seed in 1..=20 {
            let play = play(servers, slower, seed);
            for (number, got) in play.got.iter().enumerate() {
                let n = budget(servers, number);
                let most = n + 2.0 * n.sqrt() + 2.0;
                worst = worst.max(*got as f64 / most);
                assert!(
                    *got as f64 <= most,
                    "{servers} servers, seed {seed}, while {number}: {got} calls, {most:.1} at most: {:?}",
                    play.got
                );
            }
        }
    }
    println!("most calls in a while: {worst:.2} of what is allowed");
}

#[test]
fn a_warm_service_gets_its_full_share_again() {
    let mean = (1..=20).map(|seed| play(30, 1, seed).after).sum::<f64>() / 20.0;
    assert!((mean - 0.1).abs() < 0.01, "{mean}");
}

#[test]
fn servers_do_not_send_in_step() {
    // All hear at the same moment and call at the same pace: the first calls to it are spread all the same.
    let mut plays = play(30, 1, 7);
    let seeds: Vec<u64> = plays.routers.iter().map(|_| plays.rng.next_u64()).collect();
    let settings = Settings { services: SERVICES, probe_interval: RAMP / 8, slow_start: RAMP };
    let mut firsts: Vec<usize> = Vec::new();
    for seed in seeds {
        let mut router = Router::new(settings, seed).unwrap();
        let judged = |ejected: bool| {
            (0..SERVICES).map(move |s| HealthView {
                ejected: ejected && s == 0,
                locally_unhealthy: false,
                is_prober: false,
            })
        };
        router.update_health(0, judged(true));
        router.update_health(0, judged(false));
        let first = (0..100).position(|step| {
            let chosen = router.choose(step * EVERY, CallPreference::default()).expect("open");
            router.release(chosen);
            chosen.service == 0
        });
        firsts.push(first.unwrap_or(100));
    }
    firsts.sort();
    let spread = firsts[22] - firsts[7];
    assert!(spread >= 5, "half of the first calls fall within {spread}: {firsts:?}");
}
