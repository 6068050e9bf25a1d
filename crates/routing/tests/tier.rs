//! Tests of routing and outlier detection in a simulated fleet of servers that call a tier of services.
//!
//! Each server detects outliers with `shared-state`, and sends its reports to three other servers in each
//! gossip period. The network loses some reports. The simulation is deterministic.
//!
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
    Healthy,
    /// Each call to the service fails immediately.
    Failing,
    /// Each call to the service succeeds, but takes longer by this number of nanoseconds.
    Slow(u64),
}

/// A call in progress: end time, server, service, whether it is a probe, whether it will succeed, duration.
type OpenCall = (u64, usize, usize, bool, bool, u64);

struct Fleet {
    detectors: Vec<OutlierDetector>,
    routers: Vec<Router>,
    health: Vec<Health>,
    /// Pairs of a server and a service: the server cannot reach the service, although the service is healthy.
    unreachable: Vec<(usize, usize)>,
    rng: ChaCha8Rng,
    now: u64,

    open_calls: BinaryHeap<Reverse<OpenCall>>,
    /// Number of calls to each service since these numbers were last reset.
    calls: Vec<u64>,
    /// Number of failed calls to all services together since the number was last reset.
    failed: u64,
    /// Largest number of services that any server had ejected at the same time.
    ejected_max: usize,
    /// Whether a server's router is informed that the server's own calls found a service unhealthy.
    uses_own_evidence: bool,
    is_probing: bool,
    /// Whether all servers, and not only those that outlier detection selects, probe the ejected services.
    all_servers_probe: bool,
    /// Servers that are cut off: they make no calls and send no reports.
    partitioned: Vec<usize>,
}

impl Fleet {
    fn new(servers: usize, services: usize, share: usize, reports: usize, seed: u64) -> Fleet {
        let detector = |i: usize| {
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
            detectors: (0..servers).map(detector).collect(),
            routers: (0..servers).map(|i| Router::new(settings, seed + i as u64).unwrap()).collect(),
            health: vec![Health::Healthy; services],
            unreachable: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            open_calls: BinaryHeap::new(),
            calls: vec![0; services],
            failed: 0,
            ejected_max: 0,
            uses_own_evidence: true,
            is_probing: true,
            all_servers_probe: false,
            partitioned: Vec::new(),
        }
    }

    fn random_below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound
    }

    /// Advances the simulated time by `duration`. Each server makes a call every 10 ms on average, and sends
    /// its reports to three other servers once per gossip period.
    fn advance(&mut self, duration: u64) {
        let until = self.now + duration;
        while self.now < until {
            self.now += MS;
            while self.open_calls.peek().is_some_and(|Reverse(call)| call.0 <= self.now) {
                let Reverse((at, i, service, is_probe, succeeded, call_time)) =
                    self.open_calls.pop().unwrap();
                self.routers[i].release(Choice { service, is_probe });
                self.detectors[i].record_call(Time::from_agreeing_clocks(at), service, succeeded, call_time);
                self.failed += u64::from(!succeeded);
            }
            let time = Time::from_agreeing_clocks(self.now);
            for i in 0..self.detectors.len() {
                if self.now.is_multiple_of(20 * MS) {
                    let ejected = self.detectors[i].ejected(time);
                    self.ejected_max = self.ejected_max.max(ejected.len());
                    let is_locally_unhealthy = |s| {
                        self.uses_own_evidence
                            && self.detectors[i].local_health(time, s) != ServiceHealth::Healthy
                    };
                    let health_views = (0..self.health.len()).map(|s| HealthView {
                        ejected: ejected.contains(&s),
                        locally_unhealthy: is_locally_unhealthy(s),
                        is_prober: self.all_servers_probe || self.detectors[i].is_prober(time, s),
                    });
                    let health_views: Vec<HealthView> = health_views.collect();
                    self.routers[i].update_health(self.now, health_views);
                }
                if self.partitioned.contains(&i) {
                    continue;
                }
                if (self.now + i as u64 * MS).is_multiple_of(GOSSIP) {
                    let reports = self.detectors[i].reports(time);
                    for _ in 0..3 {
                        let to = self.random_below(self.detectors.len() as u64) as usize;
                        if to != i && self.random_below(10) > 0 {
                            self.detectors[to].merge_reports(time, &reports);
                        }
                    }
                }
                if self.random_below(10) == 0 {
                    self.call(i);
                }
            }
        }
    }

    fn call(&mut self, i: usize) {
        let preference = CallPreference { last_service: None, may_probe: self.is_probing };
        let Some(Choice { service, is_probe }) = self.routers[i].choose(self.now, preference) else {
            return;
        };
        self.calls[service] += 1;
        let usual = 10 * MS + self.random_below(20 * MS);
        let (succeeded, call_time) = match self.health[service] {
            _ if self.unreachable.contains(&(i, service)) => (false, MS),
            Health::Healthy => (true, usual),
            Health::Failing => (false, MS),
            Health::Slow(delay) => (true, usual + delay),
        };
        self.open_calls.push(Reverse((self.now + call_time, i, service, is_probe, succeeded, call_time)));
    }

    fn is_ejected_by(&self, i: usize, service: usize) -> bool {
        self.detectors[i].ejected(Time::from_agreeing_clocks(self.now)).contains(&service)
    }

    /// Returns the time until all servers have ejected a service. If `ejected` is false, returns the time
    /// until no server ejects it. Returns `None` if this takes longer than `limit`.
    fn time_until(&mut self, service: usize, ejected: bool, limit: u64) -> Option<u64> {
        let started = self.now;
        while self.now - started <= limit {
            if (0..self.detectors.len()).all(|i| self.is_ejected_by(i, service) == ejected) {
                return Some(self.now - started);
            }
            self.advance(20 * MS);
        }
        None
    }

    /// Simulates the next `duration`. Returns two shares of all calls in this time: the calls to `service`
    /// and the failed calls.
    fn shares(&mut self, service: usize, duration: u64) -> (f64, f64) {
        self.calls.fill(0);
        self.failed = 0;
        self.advance(duration);
        let total = self.calls.iter().sum::<u64>() as f64;
        (self.calls[service] as f64 / total, self.failed as f64 / total)
    }
}

fn seconds(t: Option<u64>) -> f64 {
    t.map_or(f64::INFINITY, |t| t as f64 / S as f64)
}

#[test]
fn one_of_twenty_services_fails_and_recovers_for_a_hundred_servers() {
    let mut fleet = Fleet::new(100, 20, 500, 3, 1);
    fleet.advance(3 * S);
    fleet.health[4] = Health::Failing;
    let ejection = fleet.time_until(4, true, 10 * S);
    let (to_service, failed) = fleet.shares(4, 5 * S);
    fleet.health[4] = Health::Healthy;
    let recovery = fleet.time_until(4, false, 20 * S);
    let (share_at_first, _) = fleet.shares(4, S / 4);
    fleet.advance(5 * S);
    let (share_later, _) = fleet.shares(4, 5 * S);
    println!(
        "100 servers, 20 services: failing service ejected by all in {:.2} s, then {to_service:.4} of calls \
         and {failed:.4} failed; recovered in {:.2} s, {share_at_first:.4} of calls at first, \
         {share_later:.4} later",
        seconds(ejection),
        seconds(recovery)
    );
    assert!(ejection.is_some_and(|t| t <= 2 * S), "{ejection:?}");
    assert!(to_service <= 0.06 && failed <= 0.06, "to the service {to_service}, failed {failed}");
    assert!(recovery.is_some_and(|t| t <= 4 * EXPIRY), "{recovery:?}");
    assert!(share_at_first <= 0.03, "too many calls right after the recovery: {share_at_first}");
    assert!((0.04..0.06).contains(&share_later), "{share_later}");
}

/// A service must be ejected if its calls succeed but take too long.
#[test]
fn a_slow_service_is_ejected() {
    let mut fleet = Fleet::new(20, 8, 500, 2, 2);
    fleet.advance(3 * S);
    fleet.health[2] = Health::Slow(400 * MS);
    let ejection = fleet.time_until(2, true, 10 * S);
    println!("20 servers, 8 services: slow service ejected by all in {:.2} s", seconds(ejection));
    assert!(ejection.is_some_and(|t| t <= 6 * S), "{ejection:?}");
}

/// Three quarters of the tier fail, but no server may eject more than half of it, the configured maximum.
#[test]
fn no_more_than_the_configured_share_is_ejected() {
    let mut fleet = Fleet::new(30, 8, 500, 2, 3);
    fleet.advance(2 * S);
    (0..6).for_each(|s| fleet.health[s] = Health::Failing);
    fleet.advance(10 * S);
    assert_eq!(fleet.ejected_max, 4);
    assert_eq!(fleet.routers.iter().map(|r| r.counters.unroutable).sum::<u64>(), 0);
    let mut unlimited = Fleet::new(30, 8, 1000, 2, 3);
    unlimited.advance(2 * S);
    unlimited.health.fill(Health::Failing);
    unlimited.advance(6 * S);
    // Here all services may be ejected. Routers then route only probes and find no service for other calls.
    assert!(unlimited.routers.iter().all(|r| r.counters.unroutable > 0));
    unlimited.health.fill(Health::Healthy);
    unlimited.advance(10 * S);
    assert!((0..30).all(|i| (0..8).all(|s| !unlimited.is_ejected_by(i, s))));
}

/// One server cannot reach a service that all others can reach. The fleet must not eject the service, but the
/// one server must avoid it because its own calls failed. Otherwise the service would attract the server's
/// calls, because a service that fails immediately has few outstanding calls.
#[test]
fn a_service_unreachable_by_one_server_is_not_ejected() {
    let simulate = |uses_own_evidence| {
        let mut fleet = Fleet::new(20, 8, 500, 2, 4);
        fleet.uses_own_evidence = uses_own_evidence;
        fleet.unreachable.push((7, 3));
        fleet.advance(2 * S);
        (fleet.failed, fleet.ejected_max) = (0, 0);
        fleet.advance(10 * S);
        assert_eq!(fleet.ejected_max, 0);
        // Failed calls in 10 s. The affected server makes about 1,000 calls in this time (100 per second).
        fleet.failed
    };
    let (with, without) = (simulate(true), simulate(false));
    println!(
        "unreachable by one of 20: {with} of its 1,000 calls failed in 10 s, {without} without own evidence"
    );
    assert!(with <= 60 && without >= 120, "failed with own evidence {with}, without {without}");
}

/// Probes must keep a failing service ejected. Without probes the reports of failures expire, and all servers
/// repeatedly send calls to the service although it still fails.
#[test]
fn probes_keep_a_failing_service_ejected() {
    let simulate = |is_probing| {
        let mut fleet = Fleet::new(20, 8, 500, 2, 5);
        fleet.is_probing = is_probing;
        fleet.advance(2 * S);
        fleet.health[1] = Health::Failing;
        fleet.time_until(1, true, 5 * S).expect("the failing service is ejected");
        let mut not_ejected = 0;
        for _ in 0..1000 {
            fleet.advance(20 * MS);
            not_ejected += (0..20).filter(|i| !fleet.is_ejected_by(*i, 1)).count();
        }
        not_ejected as f64 / 20_000.0
    };
    let (with, without) = (simulate(true), simulate(false));
    println!("a failing service was not ejected {with:.3} of the time, {without:.3} without probes");
    assert!(with <= 0.01 && without >= 0.05, "not ejected with probes {with}, without {without}");
}

#[test]
fn retries_use_another_service_and_load_is_even() {
    let settings = Settings { services: 3, probe_interval: S, slow_start: S };
    let mut router = Router::new(settings, 9).unwrap();
    for _ in 0..1000 {
        let retry = router.choose(0, CallPreference { last_service: Some(1), may_probe: true }).unwrap();
        assert_ne!(retry.service, 1);
        router.release(retry);
    }
    let choices: Vec<Choice> =
        (0..300).map(|_| router.choose(0, CallPreference::default()).unwrap()).collect();
    assert!((0..3).all(|s| (95..=105).contains(&router.outstanding(s))), "{:?}", router.outstanding(0));
    choices.into_iter().for_each(|choice| router.release(choice));
    // In a tier with only one service, a retry goes to this service, even if it is unhealthy.
    let mut single = Router::new(Settings { services: 1, ..settings }, 9).unwrap();
    single.update_health(0, [HealthView { ejected: false, locally_unhealthy: true, is_prober: true }]);
    assert_eq!(
        single.choose(0, CallPreference { last_service: Some(0), may_probe: false }).map(|c| c.service),
        Some(0)
    );
    assert!(Router::new(Settings { services: 0, ..settings }, 1).is_err());
}

/// The only service is ejected. The router then returns no service for a call that is not idempotent. It
/// sends idempotent calls as probes, one at a time.
#[test]
fn probes_are_idempotent_and_sent_one_at_a_time() {
    let mut router = Router::new(Settings { services: 1, probe_interval: S, slow_start: S }, 1).unwrap();
    router.update_health(0, [HealthView { ejected: true, locally_unhealthy: true, is_prober: true }]);
    let (idempotent, non_idempotent) =
        (CallPreference { last_service: None, may_probe: true }, CallPreference::default());
    let due = router.next_probe_at().unwrap();
    assert!(
        (1..=S).contains(&due) && !router.can_route(due - 1, idempotent) && router.can_route(due, idempotent)
    );
    assert!(!router.can_route(due, non_idempotent) && router.choose(due, non_idempotent).is_none());
    let probe = router.choose(due, idempotent).unwrap();
    assert!(
        probe.is_probe && router.choose(due + 5 * S, idempotent).is_none(),
        "the first probe is still in progress"
    );
    router.release(probe);
    assert!(router.choose(due + 5 * S, idempotent).is_some_and(|next| next.is_probe));
    router.update_health(due + 6 * S, [HealthView::default()]);
    assert!(router.can_route(due + 6 * S, non_idempotent) && router.next_probe_at().is_none());
}

/// The number of probes to an ejected service must not grow with the fleet: a failing or cold service
/// withstands the probes of a few servers, but not those of all servers. The test permits the expected number
/// N of probes plus 2 * sqrt(N) + 2 for random variation.
#[test]
fn the_number_of_probes_does_not_grow_with_the_fleet() {
    let probes_max = |servers: usize, all_servers_probe: bool| {
        let mut fleet = Fleet::new(servers, 20, 300, 3, 11);
        fleet.all_servers_probe = all_servers_probe;
        fleet.advance(2 * S);
        fleet.health[4] = Health::Failing;
        fleet.time_until(4, true, 10 * S).expect("the failing service is ejected");
        let mut probes = 0;
        for second in 0..20 {
            fleet.calls.fill(0);
            fleet.advance(S);
            // In the first 4 s, which are not counted, earlier calls end and probers are replaced.
            probes = if second < 4 { 0 } else { probes.max(fleet.calls[4]) };
        }
        assert!((0..servers).all(|i| fleet.is_ejected_by(i, 4)), "the service stays ejected");
        probes as f64
    };
    // Three reports are required to eject the service, and two probers supply each report. A prober sends
    // eight probes during the time in which a report is valid.
    let expected = 2.0 * 3.0 * 8.0 * S as f64 / EXPIRY as f64;
    for servers in [20, 30, 100] {
        let got = probes_max(servers, false);
        println!("{servers} servers: at most {got} probes per second, {expected} expected");
        assert!(got <= expected + 2.0 * expected.sqrt() + 2.0, "{servers} servers: {got} probes per second");
        assert!(got > 0.0);
    }
    let all = probes_max(30, true);
    println!("30 servers that all probe: {all} probes per second");
    assert!(
        all > expected + 2.0 * expected.sqrt() + 2.0,
        "30 servers that all probe: {all} probes per second"
    );
}

#[test]
fn lost_probers_are_replaced() {
    let mut fleet = Fleet::new(30, 8, 500, 2, 3);
    fleet.advance(2 * S);
    fleet.health[1] = Health::Failing;
    fleet.time_until(1, true, 5 * S).expect("the failing service is ejected");
    fleet.advance(6 * S);
    let time = Time::from_agreeing_clocks(fleet.now);
    let probers: Vec<usize> = (0..30).filter(|i| fleet.detectors[*i].is_prober(time, 1)).collect();
    assert!((1..=6).contains(&probers.len()), "probers {probers:?}");
    // The probers are cut off: they make no calls, and the other servers receive no reports from them.
    fleet.partitioned = probers;
    fleet.health[1] = Health::Healthy;
    let recovered_at = fleet.now;
    while (0..30).any(|i| !fleet.partitioned.contains(&i) && fleet.is_ejected_by(i, 1)) {
        assert!(fleet.now - recovered_at < 10 * S, "the recovery is not detected");
        fleet.advance(20 * MS);
    }
    println!(
        "recovery detected {:.2} s after the probers were lost",
        (fleet.now - recovered_at) as f64 / S as f64
    );
}
