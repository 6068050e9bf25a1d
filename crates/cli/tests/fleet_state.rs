//! Five processes of the program share a budget of calls to one dependency, through the fault relay under a
//! flood: the dependency counts what it has in its hands at once, and the processes say what they hold.

use meadowstream_test_doubles::downstream_service::{self, DownstreamService};
use meadowstream_test_doubles::fleet::{FleetHarness, HarnessOptions, wait_for};
use meadowstream_test_doubles::open_loop::{self, ReplyCounts};
use meadowstream_test_doubles::tcp_relay::TcpRelay;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Calls at once that the fleet may have out, of which each of six servers has one in any case.
const TOTAL: u64 = 16;
const FLOOR: u64 = 1;
const LEASE: Duration = Duration::from_millis(2000);

fn start_fleet(seed: u64, started: usize, shared: bool) -> (FleetHarness, Arc<DownstreamService>) {
    let (address, records) = downstream_service::start(Duration::from_millis(100)).unwrap();
    let budget = format!(
        r#"<shared-state gossip-ms="100"><budget name="records" total="{TOTAL}" floor="{FLOOR}" servers="6"
        lease-ms="{}" use-most-ms="500"><voter name="s0"/><voter name="s1"/><voter name="s2"/>
        <voter name="s3"/><voter name="s4"/></budget></shared-state>"#,
        LEASE.as_millis()
    );
    let options = if shared { budget } else { String::new() };
    let options = HarnessOptions {
        cores: 4.0,
        downstream_services: vec![address; 6],
        options,
        ..HarnessOptions::default()
    };
    let program = Path::new(env!("CARGO_BIN_EXE_meadowstream"));
    (FleetHarness::with_options(program, 6, started, seed, options).unwrap(), records)
}

/// Each server is asked for ten calls at once, over twice of all there is.
fn floods(fleet: &FleetHarness, who: &[usize], span: Duration) -> Vec<JoinHandle<ReplyCounts>> {
    let to = |i: usize| fleet.listen_address(i).expect("it said so");
    let flood = |i: usize| open_loop::start(to(i), 100.0, Duration::from_millis(2), span, i as u64 + 1);
    who.iter().map(|&i| flood(i)).collect()
}

fn field(fleet: &FleetHarness, i: usize, name: &str) -> u64 {
    fleet.shared_state(i).and_then(|shared| shared[name].as_u64()).unwrap_or(0)
}

fn leased(fleet: &FleetHarness, who: &[usize]) -> u64 {
    who.iter().map(|&i| field(fleet, i, "leased")).sum()
}

fn total(fleet: &FleetHarness, i: usize, key: &str) -> u64 {
    let shared = fleet.shared_state(i).unwrap_or_default();
    let totals = shared["totals"].as_str().unwrap_or("{}");
    serde_json::from_str::<serde_json::Value>(totals).unwrap()[key].as_u64().unwrap_or(0)
}

fn all_leased(fleet: &FleetHarness, who: &[usize], within: Duration) {
    let seen = wait_for(within, || (leased(fleet, who) >= TOTAL - 6 * FLOOR - 1).then_some(()));
    assert!(seen.is_some(), "{:?}", who.iter().map(|&i| fleet.shared_state(i)).collect::<Vec<_>>());
}

/// Each has the same sum, and it is what was sent, less at most what got no answer as its connection broke.
fn counts_agree(fleet: &FleetHarness, who: &[usize], answers: &ReplyCounts) {
    let sent = answers.sent;
    let agree = || {
        let each: Vec<u64> = who.iter().map(|&i| total(fleet, i, "invocations")).collect();
        let same = each.iter().all(|count| *count == each[0]);
        // The same by operation and kind of answer.
        let answered = |&i: &usize| total(fleet, i, "succeeded/load") + total(fleet, i, "throttled/load");
        let by_kind = who.iter().all(|i| answered(i) + answers.errored + answers.unanswered >= sent);
        (same && by_kind && (sent - answers.unanswered..=sent).contains(&each[0])).then_some(())
    };
    let seen = wait_for(Duration::from_secs(15), agree);
    assert!(
        seen.is_some(),
        "{sent} sent, {:?}",
        who.iter().map(|&i| fleet.shared_state(i)).collect::<Vec<_>>()
    );
}

fn sum(floods: Vec<JoinHandle<ReplyCounts>>) -> ReplyCounts {
    let mut all = ReplyCounts::default();
    for flood in floods {
        let each = flood.join().unwrap();
        all.sent += each.sent;
        all.succeeded += each.succeeded;
        all.throttled += each.throttled;
        (all.errored, all.unanswered) = (all.errored + each.errored, all.unanswered + each.unanswered);
        (all.unsent, all.broken) = (all.unsent + each.unsent, all.broken + each.broken);
        all.unexpected += each.unexpected;
    }
    all
}

/// Without a budget the dependency gets more at once than it is to have: what the others are held
/// against.
#[test]
fn without_the_budget_it_would_be_passed() {
    let (fleet, records) = start_fleet(21, 5, false);
    let all = sum(floods(&fleet, &[0, 1, 2, 3, 4], Duration::from_secs(6)));
    assert!(
        records.most_in_flight.load(Relaxed) > TOTAL,
        "{} at once, {all:?}",
        records.most_in_flight.load(Relaxed)
    );
}

#[test]
fn a_partition_a_crash_and_a_join_never_pass_the_budget_and_counts_agree() {
    let (mut fleet, records) = start_fleet(22, 5, true);
    let all = [0, 1, 2, 3, 4];
    fleet.wait_for_agreement(&all, Instant::now(), Duration::from_secs(15)).unwrap();
    let load = floods(&fleet, &all, Duration::from_secs(22));
    all_leased(&fleet, &all, Duration::from_secs(15));
    // 2|3 under the flood: the two fall back to their floors, the three share all else.
    fleet.relay.change_faults(|f| {
        f.groups.extend([(0, 1), (1, 1)]);
        f.partition(0, 1);
    });
    let floors = wait_for(LEASE * 3, || (leased(&fleet, &[0, 1]) == 0).then_some(()));
    assert!(floors.is_some(), "cut off, they still say they hold {}", leased(&fleet, &[0, 1]));
    all_leased(&fleet, &[2, 3, 4], LEASE * 8);
    fleet.relay.change_faults(|faults| faults.heal());
    all_leased(&fleet, &all, LEASE * 4);
    let answers = sum(load);
    let most = records.most_in_flight.load(Relaxed);
    println!("{most} at once of {TOTAL}; {answers:?}; {} calls", records.calls.load(Relaxed));
    assert!(most <= TOTAL, "{most} at once");
    assert!(most >= TOTAL / 2 && answers.succeeded > 0, "{most} at once, {answers:?}");
    // None of either on a machine at rest.
    assert!((answers.errored + answers.unanswered) * 100 <= answers.sent, "answered at once: {answers:?}");
    counts_agree(&fleet, &all, &answers);

    // The holder of most is killed while the others ask for all, and a newcomer joins.
    records.most_in_flight.store(0, Relaxed);
    let load = floods(&fleet, &all, Duration::from_secs(14));
    all_leased(&fleet, &all, LEASE * 4);
    let holder = all.into_iter().max_by_key(|&i| field(&fleet, i, "leased")).unwrap();
    fleet.signal(holder, "KILL").unwrap();
    let rest: Vec<usize> = all.into_iter().filter(|&i| i != holder).collect();
    fleet.start(5).unwrap();
    let newcomer = floods(&fleet, &[5], Duration::from_secs(6));
    all_leased(&fleet, &rest.iter().copied().chain([5]).collect::<Vec<_>>(), LEASE * 5);
    let (rest_answers, new) = (sum(load), sum(newcomer));
    let most = records.most_in_flight.load(Relaxed);
    println!("after the crash {most} at once; {rest_answers:?}, newcomer {new:?}");
    assert!(most <= TOTAL, "{most} at once");
    assert!(new.succeeded > 0, "{new:?}");
}

/// Stopped for longer than its lease and continued: nothing of the lease is used, and it gets a new one.
#[test]
fn a_stalled_holder_under_loss_never_passes_the_budget() {
    let (mut fleet, records) = start_fleet(23, 5, true);
    let all = [0, 1, 2, 3, 4];
    fleet.relay.change_faults(|f| {
        (f.loss, f.jitter_ms, f.duplicate, f.reorder, f.reorder_ms) = (0.05, 10, 0.2, 0.2, 50)
    });
    fleet.wait_for_agreement(&all, Instant::now(), Duration::from_secs(20)).unwrap();
    let load = floods(&fleet, &all, Duration::from_secs(18));
    all_leased(&fleet, &all, Duration::from_secs(15));
    fleet.signal(1, "STOP").unwrap();
    std::thread::sleep(LEASE * 2);
    fleet.signal(1, "CONT").unwrap();
    let back = wait_for(LEASE * 4, || (field(&fleet, 1, "leased") > 0).then_some(()));
    assert!(back.is_some(), "{:?}", fleet.shared_state(1));
    let answers = sum(load);
    let most = records.most_in_flight.load(Relaxed);
    println!("{most} at once of {TOTAL}; {answers:?}");
    if most > TOTAL {
        println!("busiest: {:#?}", records.busiest_moment());
    }
    assert!(most <= TOTAL, "{most} at once");
}

/// A budget whose floors alone pass it, or with two voters, refuses the start; a reload with one keeps the
/// old.
#[test]
fn a_bad_budget_refuses_the_start_and_a_reload_keeps_the_old_one() {
    let (fleet, _records) = start_fleet(24, 1, true);
    let xml = fleet.folder().join("s0.xml");
    let good = std::fs::read_to_string(&xml).unwrap();
    let check = |text: &str| {
        let path = fleet.folder().join("bad.xml");
        std::fs::write(&path, text).unwrap();
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_meadowstream"));
        command.arg("check").arg(fleet.folder().join("s0.json")).arg("--options").arg(&path);
        let out = command.output().unwrap();
        (out.status.code(), String::from_utf8_lossy(&out.stderr).to_string())
    };
    let bad = good.replace("servers=\"6\"", "servers=\"60\"");
    let (code, said) = check(&bad);
    assert_eq!(code, Some(1), "{said}");
    assert!(said.contains("<shared-state>: budget \"records\": floor: 60 servers' floors are 60"), "{said}");
    let (code, said) = check(&good.replace("<voter name=\"s1\"/>", ""));
    assert_eq!(code, Some(1), "{said}");
    assert!(said.contains("voter: 1, 3, 5, 7 or 9 different names, not 4"), "{said}");
    assert_eq!(check(&good).0, Some(0));
    // One voter of five is no majority: its floor is all it ever has, before and after a refused reload.
    let floor = |within| wait_for(within, || (field(&fleet, 0, "floor") == FLOOR).then_some(()));
    assert!(floor(Duration::from_secs(10)).is_some());
    std::fs::write(&xml, bad).unwrap();
    fleet.signal_and_keep(0, "HUP").unwrap();
    std::thread::sleep(Duration::from_millis(700));
    assert_eq!((field(&fleet, 0, "floor"), field(&fleet, 0, "leased")), (FLOOR, 0));
    assert!(fleet.has_logged(0, "configuration kept as it was"), "the refusal is in the log");
}

/// How long a report counts in the tests of judgements.
const EXPIRY: Duration = Duration::from_millis(2000);

/// Five processes over a tier of four services, each reached through a relay of its own, with a face for each
/// process.
struct Tier {
    fleet: FleetHarness,
    services: Vec<Arc<DownstreamService>>,
    relays: Vec<TcpRelay>,
}

impl Tier {
    fn new(seed: u64, reports: usize) -> Tier {
        let parties: Vec<_> =
            (0..4).map(|_| downstream_service::start(Duration::from_millis(20)).unwrap()).collect();
        let relays: Vec<TcpRelay> =
            parties.iter().map(|(address, _)| TcpRelay::new(5, *address, 9, seed).unwrap()).collect();
        let own = |i: usize| {
            let service = |(s, relay): (usize, &TcpRelay)| {
                format!(r#"<service name="r{s}" address="{}"/>"#, relay.endpoint(i))
            };
            let services: String = relays.iter().enumerate().map(service).collect();
            format!(
                r#"<shared-state gossip-ms="100"><tier reports="{reports}" eject-share="0.5" expiry-ms="{}">
                {services}</tier></shared-state>"#,
                EXPIRY.as_millis()
            )
        };
        let options = HarnessOptions {
            cores: 4.0,
            downstream_services: vec![parties[0].0; 5],
            options: r#"<tenants by="sender"><tenant name="1"/></tenants>"#.into(),
            server_options: (0..5).map(own).collect(),
            ..HarnessOptions::default()
        };
        let program = Path::new(env!("CARGO_BIN_EXE_meadowstream"));
        let fleet = FleetHarness::with_options(program, 5, 5, seed, options).unwrap();
        fleet.wait_for_agreement(&[0, 1, 2, 3, 4], Instant::now(), Duration::from_secs(15)).unwrap();
        Tier { fleet, services: parties.into_iter().map(|(_, records)| records).collect(), relays }
    }

    /// The services that server `i` says are ejected, by its last line.
    fn ejected(&self, i: usize) -> Vec<String> {
        let shared = self.fleet.shared_state(i).unwrap_or_default();
        serde_json::from_str(shared["ejected"].as_str().unwrap_or("[]")).unwrap()
    }

    /// Until each of `who` says that exactly these are ejected; how long it took.
    fn until(&self, who: &[usize], these: &[&str], within: Duration) -> Duration {
        let began = Instant::now();
        let all = || {
            who.iter().all(|i| {
                let mut ejected = self.ejected(*i);
                ejected.sort();
                ejected == these
            })
        };
        let seen = wait_for(within, || all().then_some(()));
        assert!(seen.is_some(), "{:?}", who.iter().map(|i| self.fleet.shared_state(*i)).collect::<Vec<_>>());
        began.elapsed()
    }

    /// What server `i` finds of service `s` by its own calls.
    fn own(&self, i: usize, s: usize) -> String {
        let shared = self.fleet.shared_state(i).unwrap_or_default();
        let services: serde_json::Value =
            serde_json::from_str(shared["services"].as_str().unwrap_or("[]")).unwrap();
        services[s]["own"].as_str().unwrap_or("").to_string()
    }

    /// The most services that any process ever said were ejected at once.
    fn most_ejected(&self) -> usize {
        let lines = (0..5).flat_map(|i| self.fleet.log_lines(i, "shared"));
        let count = |line: serde_json::Value| {
            let ejected: Vec<String> =
                serde_json::from_str(line["ejected"].as_str().unwrap_or("[]")).unwrap();
            ejected.len()
        };
        lines.map(count).max().unwrap_or(0)
    }
}

#[test]
fn a_failing_service_is_judged_by_all_and_never_more_than_the_share_is_ejected() {
    let tier = Tier::new(31, 2);
    let all = [0, 1, 2, 3, 4];
    let load = floods(&tier.fleet, &all, Duration::from_secs(28));
    std::thread::sleep(Duration::from_secs(2));
    assert!(all.iter().all(|i| tier.ejected(*i).is_empty()), "nothing fails yet");
    tier.services[1].fails.store(true, Relaxed);
    let judged = tier.until(&all, &["r1"], EXPIRY * 2);
    let count = |s: usize| tier.services[s].calls.load(Relaxed);
    let (before, others) = (count(1), [0, 2, 3].map(count).iter().sum::<u64>());
    std::thread::sleep(Duration::from_secs(3));
    let (probes, calls) = (count(1) - before, [0, 2, 3].map(count).iter().sum::<u64>() - others);
    println!("judged by all five after {judged:?}; then {probes} calls to it in 3 s, {calls} to the others");
    // Each server probes it eight times in the time that a report counts.
    assert!(probes > 0 && probes <= 5 * 8 * 3 / 2 + 10, "{probes} probes");
    assert!(calls > 5 * probes, "{calls}, {probes} probes");

    // One that hears nobody goes by what it finds itself: it finds the same, and alone what fails next.
    tier.fleet.relay.change_faults(|f| {
        f.groups.insert(0, 1);
        f.partition(0, 1);
    });
    let alone = wait_for(EXPIRY * 3, || {
        tier.services[2].fails.store(true, Relaxed);
        let lines = tier.fleet.log_lines(0, "judged");
        lines.last().is_some_and(|line| line["alone"] == true && tier.ejected(0).len() == 2).then_some(())
    });
    assert!(alone.is_some(), "{:?}", tier.fleet.log_lines(0, "judged"));
    tier.until(&all, &["r1", "r2"], EXPIRY * 2);
    tier.fleet.relay.change_faults(|faults| faults.heal());

    // Three of four fail: half of them are ejected and no more.
    tier.services[3].fails.store(true, Relaxed);
    std::thread::sleep(EXPIRY * 2);
    assert!((0..5).all(|i| tier.own(i, 3) == "Failing"), "{:?}", tier.fleet.shared_state(1));
    assert_eq!(tier.most_ejected(), 2);
    tier.services.iter().for_each(|service| service.fails.store(false, Relaxed));
    let back = tier.until(&all, &[], EXPIRY * 5);
    let answers = sum(load);
    println!("all let in again after {back:?}; {answers:?}");
    assert_eq!(tier.most_ejected(), 2);
    assert!(answers.succeeded * 2 > answers.sent, "{answers:?}");
}

/// A service that one server alone cannot reach: with two reports wanted nobody ejects it and that server
/// goes round it; with one wanted its word puts it out for all, which is what the second report guards
/// against.
#[test]
fn what_one_server_alone_cannot_reach_is_ejected_by_nobody() {
    for (reports, seed) in [(2, 32), (1, 33)] {
        let tier = Tier::new(seed, reports);
        let load = floods(&tier.fleet, &[0, 1, 2, 3, 4], Duration::from_secs(9));
        std::thread::sleep(Duration::from_secs(2));
        tier.relays[3].change_faults(|f| {
            f.groups.insert(2, 1);
            f.partition(1, 9);
        });
        let found = wait_for(Duration::from_secs(5), || (tier.own(2, 3) != "Good").then_some(()));
        assert!(found.is_some(), "{:?}", tier.fleet.shared_state(2));
        if reports == 1 {
            tier.until(&[0, 1, 3, 4], &["r3"], Duration::from_secs(4));
        }
        let answers = sum(load);
        println!("{reports} reports wanted: {answers:?}, at most {} ejected", tier.most_ejected());
        // Each server comes to know what all have answered to the one named tenant, and what is billed.
        let of = |i: usize, what: &str| total(&tier.fleet, i, &format!("{what}/load/1"));
        let all = || (0..5).all(|i| of(i, "succeeded") == answers.succeeded).then_some(());
        assert!(wait_for(Duration::from_secs(10), all).is_some(), "{:?}", tier.fleet.shared_state(0));
        assert!((0..5).all(|i| of(i, "billed-thousandths") == 1000 * answers.succeeded));
        assert_eq!(tier.most_ejected(), 2 - reports);
    }
}
