//! A fleet of servers over a tier of services in simulated time: routing with the judgements of
//! `shared-state`, reports told to three others a period over a network that loses some. Deterministic.
//! `cargo test -p meadowstream-routing --release -- --nocapture` prints the figures of docs/shared-state.md.

use meadowstream_routing::{CallPreference, Choice, HealthView, Router, Settings};
use meadowstream_shared_state::ServerId;
use meadowstream_shared_state::clock::Time;
use meadowstream_shared_state::outlier_detection::{self, OutlierDetector, ServiceHealth};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const MS: u64 = 1_000_000;
const S: u64 = 1_000 * MS;
const EXPIRY: u64 = 2 * S;
const GOSSIP: u64 = 200 * MS;

#[derive(Clone, Copy, PartialEq)]
enum Health {
    Well,
    /// Fails at once.
    Failing,
    /// Answers well after so long.
    Slow(u64),
}

/// A call under way: when it ends, of whom, where, whether a probe, whether good, how long it takes.
type Open = (u64, usize, usize, bool, bool, u64);

struct Fleet {
    judges: Vec<OutlierDetector>,
    routers: Vec<Router>,
    health: Vec<Health>,
    /// Services that a server cannot reach though they are well.
    unreached: Vec<(usize, usize)>,
    rng: ChaCha8Rng,
    now: u64,

    open: BinaryHeap<Reverse<Open>>,
    /// Calls and failures since these were last set to 0, by service.
    calls: Vec<u64>,
    failed: u64,
    most_ejected: usize,
    /// Judgements of a server's own count for its routing.
    own_counts: bool,
    probes: bool,
    /// Each server probes by itself, as if it were alone.
    all_probe: bool,
    /// Servers that neither call nor tell.
    cut: Vec<usize>,
}

impl Fleet {
    fn new(servers: usize, services: usize, share: usize, reports: usize, seed: u64) -> Fleet {
        let judge = |i: usize| {
            let services = (0..services).map(|s| format!("bank-{s}")).collect();
            let settings = outlier_detection::Settings {
                services,
                accusers_min: reports,
                max_ejected_thousandths: share,
                expiry: EXPIRY,
            };
            OutlierDetector::new(ServerId { name: format!("s{i}"), incarnation: 1 }, settings).unwrap()
        };
        let settings = Settings { services, probe_interval: EXPIRY / 8, slow_start: EXPIRY };
        Fleet {
            judges: (0..servers).map(judge).collect(),
            routers: (0..servers).map(|i| Router::new(settings, seed + i as u64).unwrap()).collect(),
            health: vec![Health::Well; services],
            unreached: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            open: BinaryHeap::new(),
            calls: vec![0; services],
            failed: 0,
            most_ejected: 0,
            own_counts: true,
            probes: true,
            all_probe: false,
            cut: Vec::new(),
        }
    }

    fn below(&mut self, most: u64) -> u64 {
        self.rng.next_u64() % most
    }

    /// Each server makes a call every ten milliseconds or so, and tells three others once a period.
    fn play(&mut self, span: u64) {
        let until = self.now + span;
        while self.now < until {
            self.now += MS;
            while self.open.peek().is_some_and(|Reverse(call)| call.0 <= self.now) {
                let Reverse((at, i, service, probe, good, took)) = self.open.pop().unwrap();
                self.routers[i].release(Choice { service, is_probe: probe });
                self.judges[i].record_call(Time::from_agreeing_clocks(at), service, good, took);
                self.failed += u64::from(!good);
            }
            let time = Time::from_agreeing_clocks(self.now);
            for i in 0..self.judges.len() {
                if self.now.is_multiple_of(20 * MS) {
                    let ejected = self.judges[i].ejected(time);
                    self.most_ejected = self.most_ejected.max(ejected.len());
                    let own =
                        |s| self.own_counts && self.judges[i].local_health(time, s) != ServiceHealth::Healthy;
                    let judged = (0..self.health.len()).map(|s| HealthView {
                        ejected: ejected.contains(&s),
                        locally_unhealthy: own(s),
                        is_prober: self.all_probe || self.judges[i].is_prober(time, s),
                    });
                    let judged: Vec<HealthView> = judged.collect();
                    self.routers[i].update_health(self.now, judged);
                }
                if self.cut.contains(&i) {
                    continue;
                }
                if (self.now + i as u64 * MS).is_multiple_of(GOSSIP) {
                    let reports = self.judges[i].reports(time);
                    for _ in 0..3 {
                        let to = self.below(self.judges.len() as u64) as usize;
                        if to != i && self.below(10) > 0 {
                            self.judges[to].merge_reports(time, &reports);
                        }
                    }
                }
                if self.below(10) == 0 {
                    self.call(i);
                }
            }
        }
    }

    fn call(&mut self, i: usize) {
        let wish = CallPreference { last_service: None, may_probe: self.probes };
        let Some(Choice { service, is_probe: probe }) = self.routers[i].choose(self.now, wish) else {
            return;
        };
        self.calls[service] += 1;
        let usual = 10 * MS + self.below(20 * MS);
        let (good, took) = match self.health[service] {
            _ if self.unreached.contains(&(i, service)) => (false, MS),
            Health::Well => (true, usual),
            Health::Failing => (false, MS),
            Health::Slow(more) => (true, usual + more),
        };
        self.open.push(Reverse((self.now + took, i, service, probe, good, took)));
    }

    fn ejects(&self, i: usize, service: usize) -> bool {
        self.judges[i].ejected(Time::from_agreeing_clocks(self.now)).contains(&service)
    }

    /// Until all servers hold that of a service.
    fn until(&mut self, service: usize, ejected: bool, limit: u64) -> Option<u64> {
        let began = self.now;
        while self.now - began <= limit {
            if (0..self.judges.len()).all(|i| self.ejects(i, service) == ejected) {
                return Some(self.now - began);
            }
            self.play(20 * MS);
        }
        None
    }

    /// Share of the calls of the next `span` that go to a service, and of those that fail.
    fn shares(&mut self, service: usize, span: u64) -> (f64, f64) {
        self.calls.fill(0);
        self.failed = 0;
        self.play(span);
        let all = self.calls.iter().sum::<u64>() as f64;
        (self.calls[service] as f64 / all, self.failed as f64 / all)
    }
}

fn seconds(t: Option<u64>) -> f64 {
    t.map_or(f64::INFINITY, |t| t as f64 / S as f64)
}

#[test]
fn one_of_twenty_fails_and_comes_back_for_a_hundred_servers() {
    let mut fleet = Fleet::new(100, 20, 500, 3, 1);
    fleet.play(3 * S);
    fleet.health[4] = Health::Failing;
    let out = fleet.until(4, true, 10 * S);
    let (to_it, failed) = fleet.shares(4, 5 * S);
    fleet.health[4] = Health::Well;
    let back = fleet.until(4, false, 20 * S);
    let (first, _) = fleet.shares(4, S / 4);
    fleet.play(5 * S);
    let (part, _) = fleet.shares(4, 5 * S);
    println!(
        "100 servers, 20 services: failing out everywhere {:.2} s, then {to_it:.4} of calls and {failed:.4} \
         failed; back {:.2} s, {first:.4} of calls at first, {part:.4} after",
        seconds(out),
        seconds(back)
    );
    assert!(out.is_some_and(|t| t <= 2 * S), "{out:?}");
    assert!(to_it <= 0.06 && failed <= 0.06, "{to_it} {failed}");
    assert!(back.is_some_and(|t| t <= 4 * EXPIRY), "{back:?}");
    assert!(first <= 0.03, "all at once: {first}");
    assert!((0.04..0.06).contains(&part), "{part}");
}

/// A service that answers, only late, is found by the fleet too.
#[test]
fn a_slow_one_is_found() {
    let mut fleet = Fleet::new(20, 8, 500, 2, 2);
    fleet.play(3 * S);
    fleet.health[2] = Health::Slow(400 * MS);
    let out = fleet.until(2, true, 10 * S);
    println!("20 servers, 8 services: slow one out everywhere {:.2} s", seconds(out));
    assert!(out.is_some_and(|t| t <= 6 * S), "{out:?}");
}

/// Three quarters of the tier fail: at most half of it is ever ejected, by any server at any time.
#[test]
fn never_more_than_the_share_is_ejected() {
    let mut fleet = Fleet::new(30, 8, 500, 2, 3);
    fleet.play(2 * S);
    (0..6).for_each(|s| fleet.health[s] = Health::Failing);
    fleet.play(10 * S);
    assert_eq!(fleet.most_ejected, 4);
    assert_eq!(fleet.routers.iter().map(|r| r.counters.unroutable).sum::<u64>(), 0);
    let mut all = Fleet::new(30, 8, 1000, 2, 3);
    all.play(2 * S);
    all.health.fill(Health::Failing);
    all.play(6 * S);
    // With the whole tier allowed to go, calls are held back but for the probes that end it.
    assert!(all.routers.iter().all(|r| r.counters.unroutable > 0));
    all.health.fill(Health::Well);
    all.play(10 * S);
    assert!((0..30).all(|i| (0..8).all(|s| !all.ejects(i, s))));
}

/// One server cannot reach a service that all others can: it is not ejected, and that server's own calls go
/// round it. Without its own evidence its calls fall into the hole, since what fails at once is never busy.
#[test]
fn a_service_unreached_by_one_server_is_not_ejected() {
    let play = |own_counts| {
        let mut fleet = Fleet::new(20, 8, 500, 2, 4);
        fleet.own_counts = own_counts;
        fleet.unreached.push((7, 3));
        fleet.play(2 * S);
        (fleet.failed, fleet.most_ejected) = (0, 0);
        fleet.play(10 * S);
        assert_eq!(fleet.most_ejected, 0);
        // A tenth of a thousand calls a second are one server's.
        fleet.failed
    };
    let (with, without) = (play(true), play(false));
    println!(
        "unreached by one of 20: {with} of its 1,000 calls failed in 10 s, {without} without its own evidence"
    );
    assert!(with <= 60 && without >= 120, "{with} {without}");
}

/// Without probes the evidence fades, and a service that fails still is let in by all time and again.
#[test]
fn probes_keep_a_failing_service_out() {
    let play = |probes| {
        let mut fleet = Fleet::new(20, 8, 500, 2, 5);
        fleet.probes = probes;
        fleet.play(2 * S);
        fleet.health[1] = Health::Failing;
        fleet.until(1, true, 5 * S).expect("out");
        let mut back = 0;
        for _ in 0..1000 {
            fleet.play(20 * MS);
            back += (0..20).filter(|i| !fleet.ejects(*i, 1)).count();
        }
        back as f64 / 20_000.0
    };
    let (with, without) = (play(true), play(false));
    println!("a service that goes on failing was let in {with:.3} of the time, {without:.3} without probes");
    assert!(with <= 0.01 && without >= 0.05, "{with} {without}");
}

#[test]
fn retries_go_elsewhere_and_load_is_even() {
    let settings = Settings { services: 3, probe_interval: S, slow_start: S };
    let mut router = Router::new(settings, 9).unwrap();
    for _ in 0..1000 {
        let again = router.choose(0, CallPreference { last_service: Some(1), may_probe: true }).unwrap();
        assert_ne!(again.service, 1);
        router.release(again);
    }
    let all: Vec<Choice> = (0..300).map(|_| router.choose(0, CallPreference::default()).unwrap()).collect();
    assert!((0..3).all(|s| (95..=105).contains(&router.outstanding(s))), "{:?}", router.outstanding(0));
    all.into_iter().for_each(|chosen| router.release(chosen));
    // One service alone is asked again, ejected or not by this server's own word.
    let mut one = Router::new(Settings { services: 1, ..settings }, 9).unwrap();
    one.update_health(0, [HealthView { ejected: false, locally_unhealthy: true, is_prober: true }]);
    assert_eq!(
        one.choose(0, CallPreference { last_service: Some(0), may_probe: false }).map(|c| c.service),
        Some(0)
    );
    assert!(Router::new(Settings { services: 0, ..settings }, 1).is_err());
}

/// While the only service is ejected, a call that may not be repeated waits, and one that may goes as a
/// probe, one at a time.
#[test]
fn probes_go_one_at_a_time_and_only_with_what_may_be_repeated() {
    let mut router = Router::new(Settings { services: 1, probe_interval: S, slow_start: S }, 1).unwrap();
    router.update_health(0, [HealthView { ejected: true, locally_unhealthy: true, is_prober: true }]);
    let (may, not) = (CallPreference { last_service: None, may_probe: true }, CallPreference::default());
    let due = router.next_probe_at().unwrap();
    assert!((1..=S).contains(&due) && !router.can_route(due - 1, may) && router.can_route(due, may));
    assert!(!router.can_route(due, not) && router.choose(due, not).is_none());
    let probe = router.choose(due, may).unwrap();
    assert!(probe.is_probe && router.choose(due + 5 * S, may).is_none(), "the first is still out");
    router.release(probe);
    assert!(router.choose(due + 5 * S, may).is_some_and(|next| next.is_probe));
    router.update_health(due + 6 * S, [HealthView::default()]);
    assert!(router.can_route(due + 6 * S, not) && router.next_probe_at().is_none());
}

/// A service that is out, or just started and cold, stands the probes of a few servers and not those of all:
/// their sum is the same for a large fleet, and beyond it only 2 * root of N + 2 are chance.
#[test]
fn the_sum_of_probes_does_not_grow_with_the_fleet() {
    let most = |servers: usize, all_probe: bool| {
        let mut fleet = Fleet::new(servers, 20, 300, 3, 11);
        fleet.all_probe = all_probe;
        fleet.play(2 * S);
        fleet.health[4] = Health::Failing;
        fleet.until(4, true, 10 * S).expect("out");
        let mut most = 0;
        for second in 0..20 {
            fleet.calls.fill(0);
            fleet.play(S);
            // What was under way as it went out, and servers that take over from each other, come first.
            most = if second < 4 { 0 } else { most.max(fleet.calls[4]) };
        }
        assert!((0..servers).all(|i| fleet.ejects(i, 4)), "it stays out");
        most as f64
    };
    // Two for each report wanted, eight times in the time that a report counts.
    let n = 2.0 * 3.0 * 8.0 * S as f64 / EXPIRY as f64;
    for servers in [20, 30, 100] {
        let got = most(servers, false);
        println!("{servers} servers: {got} probes in a second at most, {n} are meant");
        assert!(got <= n + 2.0 * n.sqrt() + 2.0, "{servers} servers: {got}");
        assert!(got > 0.0);
    }
    let all = most(30, true);
    println!("30 servers that each probe by themselves: {all}");
    assert!(all > n + 2.0 * n.sqrt() + 2.0, "{all}");
}

#[test]
fn lost_probers_are_replaced() {
    let mut fleet = Fleet::new(30, 8, 500, 2, 3);
    fleet.play(2 * S);
    fleet.health[1] = Health::Failing;
    fleet.until(1, true, 5 * S).expect("out");
    fleet.play(6 * S);
    let time = Time::from_agreeing_clocks(fleet.now);
    let probe: Vec<usize> = (0..30).filter(|i| fleet.judges[*i].is_prober(time, 1)).collect();
    assert!((1..=6).contains(&probe.len()), "{probe:?}");
    // Cut from the rest: they call nobody and are not heard.
    fleet.cut = probe;
    fleet.health[1] = Health::Well;
    let back = fleet.now;
    while (0..30).any(|i| !fleet.cut.contains(&i) && fleet.ejects(i, 1)) {
        assert!(fleet.now - back < 10 * S, "never back");
        fleet.play(20 * MS);
    }
    println!("back {:.2} s after those that probed were lost", (fleet.now - back) as f64 / S as f64);
}
