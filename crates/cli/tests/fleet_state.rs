//! Tests of the fleet's shared state: five processes share a budget of downstream calls and the health of a
//! tier of services, under load and with network faults. The downstream services count concurrent calls. The
//! tests read leases, totals and ejections from the logs of the processes.

use meadowstream_test_doubles::downstream_service::{self, DownstreamService};
use meadowstream_test_doubles::fleet::{FleetHarness, HarnessOptions, wait_for};
use meadowstream_test_doubles::open_loop::{self, ReplyCounts};
use meadowstream_test_doubles::tcp_relay::TcpRelay;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Budget: maximum number of concurrent downstream calls of all servers together.
const TOTAL: u64 = 16;
/// Floor: number of concurrent downstream calls that each of the six servers may make without a lease.
const FLOOR: u64 = 1;
/// Duration of a lease.
const LEASE: Duration = Duration::from_millis(2000);

/// Starts a downstream service and the first `started` of six servers. If `shared` is true, the servers share
/// a budget of calls to this service.
fn start_fleet(seed: u64, started: usize, shared: bool) -> (FleetHarness, Arc<DownstreamService>) {
    let (address, downstream) = downstream_service::start(Duration::from_millis(100)).unwrap();
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
    (FleetHarness::with_options(program, 6, started, seed, options).unwrap(), downstream)
}

/// Starts a load on each of `servers`. Each load needs ten concurrent downstream calls, so four loads need
/// more than twice the budget.
fn start_loads(fleet: &FleetHarness, servers: &[usize], span: Duration) -> Vec<JoinHandle<ReplyCounts>> {
    let to = |i: usize| fleet.listen_address(i).expect("the server has logged its listen address");
    let load = |i: usize| open_loop::start(to(i), 100.0, Duration::from_millis(2), span, i as u64 + 1);
    servers.iter().map(|&i| load(i)).collect()
}

/// Returns a numeric field of the last log line of server `i` about shared state, or 0 if the field is
/// missing.
fn shared_state_field(fleet: &FleetHarness, i: usize, name: &str) -> u64 {
    fleet.shared_state(i).and_then(|shared| shared[name].as_u64()).unwrap_or(0)
}

/// Returns the total number of calls for which `servers` hold leases, according to their logs.
fn leased(fleet: &FleetHarness, servers: &[usize]) -> u64 {
    servers.iter().map(|&i| shared_state_field(fleet, i, "leased")).sum()
}

/// Returns the fleet-wide total of the counter `key`, as last logged by server `i`.
fn fleet_total(fleet: &FleetHarness, i: usize, key: &str) -> u64 {
    let shared = fleet.shared_state(i).unwrap_or_default();
    let totals = shared["totals"].as_str().unwrap_or("{}");
    serde_json::from_str::<serde_json::Value>(totals).unwrap()[key].as_u64().unwrap_or(0)
}

/// Waits until `servers` have leased the leasable part of the budget, except at most one call. The leasable
/// part is the budget minus the [`FLOOR`] of each of the six servers.
fn expect_all_leased(fleet: &FleetHarness, servers: &[usize], within: Duration) {
    let leased = wait_for(within, || (leased(fleet, servers) >= TOTAL - 6 * FLOOR - 1).then_some(()));
    assert!(leased.is_some(), "{:?}", servers.iter().map(|&i| fleet.shared_state(i)).collect::<Vec<_>>());
}

/// Waits until all `servers` log equal fleet-wide totals of invocations. The total must be between the number
/// of calls that got a reply and the number of calls sent.
fn expect_equal_totals(fleet: &FleetHarness, servers: &[usize], replies: &ReplyCounts) {
    let sent = replies.sent;
    let agree = || {
        let totals: Vec<u64> = servers.iter().map(|&i| fleet_total(fleet, i, "invocations")).collect();
        let equal = totals.iter().all(|total| *total == totals[0]);
        // The totals of succeeded and throttled calls must include all calls with an error-free reply.
        let answered =
            |&i: &usize| fleet_total(fleet, i, "succeeded/load") + fleet_total(fleet, i, "throttled/load");
        let by_result = servers.iter().all(|i| answered(i) + replies.errored + replies.unanswered >= sent);
        (equal && by_result && (sent - replies.unanswered..=sent).contains(&totals[0])).then_some(())
    };
    let agreed = wait_for(Duration::from_secs(15), agree);
    assert!(
        agreed.is_some(),
        "{sent} sent, {:?}",
        servers.iter().map(|&i| fleet.shared_state(i)).collect::<Vec<_>>()
    );
}

/// Waits for the loads to end and returns the sum of their reply counts.
fn sum(loads: Vec<JoinHandle<ReplyCounts>>) -> ReplyCounts {
    let mut sum = ReplyCounts::default();
    for load in loads {
        let replies = load.join().unwrap();
        sum.sent += replies.sent;
        sum.succeeded += replies.succeeded;
        sum.throttled += replies.throttled;
        sum.errored += replies.errored;
        sum.unanswered += replies.unanswered;
        (sum.unsent, sum.broken) = (sum.unsent + replies.unsent, sum.broken + replies.broken);
        sum.unexpected += replies.unexpected;
    }
    sum
}

/// Control test for the budget tests. Without a shared budget, the load must cause more concurrent calls than
/// the budget permits. If it did not, the budget tests would prove nothing.
#[test]
fn without_a_budget_concurrent_calls_exceed_the_limit() {
    let (fleet, downstream) = start_fleet(21, 5, false);
    let all = sum(start_loads(&fleet, &[0, 1, 2, 3, 4], Duration::from_secs(6)));
    assert!(
        downstream.most_in_flight.load(Relaxed) > TOTAL,
        "{} concurrent calls, {all:?}",
        downstream.most_in_flight.load(Relaxed)
    );
}

#[test]
fn a_partition_a_crash_and_a_join_never_exceed_the_budget_and_totals_agree() {
    let (mut fleet, downstream) = start_fleet(22, 5, true);
    let all = [0, 1, 2, 3, 4];
    fleet.wait_for_agreement(&all, Instant::now(), Duration::from_secs(15)).unwrap();
    let load = start_loads(&fleet, &all, Duration::from_secs(22));
    expect_all_leased(&fleet, &all, Duration::from_secs(15));
    // A network partition under load splits the servers into a group of two and a group of three. The group
    // of two loses its leases and keeps its floors. The group of three leases the rest of the budget.
    fleet.relay.change_faults(|f| {
        f.groups.extend([(0, 1), (1, 1)]);
        f.partition(0, 1);
    });
    let floors = wait_for(LEASE * 3, || (leased(&fleet, &[0, 1]) == 0).then_some(()));
    assert!(floors.is_some(), "the partitioned servers still have {} leased", leased(&fleet, &[0, 1]));
    expect_all_leased(&fleet, &[2, 3, 4], LEASE * 8);
    fleet.relay.change_faults(|faults| faults.heal());
    expect_all_leased(&fleet, &all, LEASE * 4);
    let replies = sum(load);
    let most = downstream.most_in_flight.load(Relaxed);
    println!("{most} concurrent calls of {TOTAL}; {replies:?}; {} calls", downstream.calls.load(Relaxed));
    assert!(most <= TOTAL, "{most} concurrent calls");
    assert!(most >= TOTAL / 2 && replies.succeeded > 0, "{most} concurrent calls, {replies:?}");
    // At most 1 % of the calls may fail or get no reply. On an otherwise idle machine, every call gets an
    // error-free reply.
    assert!((replies.errored + replies.unanswered) * 100 <= replies.sent, "over 1 % failed: {replies:?}");
    expect_equal_totals(&fleet, &all, &replies);

    // The server with the largest lease is killed while the other servers need the whole budget. A sixth
    // server then joins.
    downstream.most_in_flight.store(0, Relaxed);
    let load = start_loads(&fleet, &all, Duration::from_secs(14));
    expect_all_leased(&fleet, &all, LEASE * 4);
    let holder = all.into_iter().max_by_key(|&i| shared_state_field(&fleet, i, "leased")).unwrap();
    fleet.signal(holder, "KILL").unwrap();
    let rest: Vec<usize> = all.into_iter().filter(|&i| i != holder).collect();
    fleet.start(5).unwrap();
    let newcomer = start_loads(&fleet, &[5], Duration::from_secs(6));
    expect_all_leased(&fleet, &rest.iter().copied().chain([5]).collect::<Vec<_>>(), LEASE * 5);
    let (others_replies, new) = (sum(load), sum(newcomer));
    let most = downstream.most_in_flight.load(Relaxed);
    println!("after the crash {most} concurrent calls; {others_replies:?}, newcomer {new:?}");
    assert!(most <= TOTAL, "{most} concurrent calls");
    assert!(new.succeeded > 0, "{new:?}");
}

/// A server must not use an expired lease. The test stops a server (SIGSTOP) for longer than its lease. When
/// the server continues, it makes no call on the expired lease and gets a new lease.
#[test]
fn a_stalled_holder_under_loss_never_passes_the_budget() {
    let (mut fleet, downstream) = start_fleet(23, 5, true);
    let all = [0, 1, 2, 3, 4];
    fleet.relay.change_faults(|f| {
        (f.loss, f.jitter_ms, f.duplicate, f.reorder, f.reorder_ms) = (0.05, 10, 0.2, 0.2, 50)
    });
    fleet.wait_for_agreement(&all, Instant::now(), Duration::from_secs(20)).unwrap();
    let load = start_loads(&fleet, &all, Duration::from_secs(18));
    expect_all_leased(&fleet, &all, Duration::from_secs(15));
    fleet.signal(1, "STOP").unwrap();
    std::thread::sleep(LEASE * 2);
    fleet.signal(1, "CONT").unwrap();
    let back = wait_for(LEASE * 4, || (shared_state_field(&fleet, 1, "leased") > 0).then_some(()));
    assert!(back.is_some(), "{:?}", fleet.shared_state(1));
    let replies = sum(load);
    let most = downstream.most_in_flight.load(Relaxed);
    println!("{most} concurrent calls of {TOTAL}; {replies:?}");
    if most > TOTAL {
        println!("busiest: {:#?}", downstream.busiest_moment());
    }
    assert!(most <= TOTAL, "{most} concurrent calls");
}

/// The subcommand `check` must reject a budget whose floors exceed its total, and a budget with four voters.
/// A server that reloads options with such floors must keep its previous budget.
#[test]
fn an_invalid_budget_is_rejected_and_a_reload_keeps_the_old_one() {
    let (fleet, _downstream) = start_fleet(24, 1, true);
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
    let (code, stderr) = check(&bad);
    assert_eq!(code, Some(1), "{stderr}");
    assert!(
        stderr.contains("<shared-state>: budget \"records\": floor: 60 servers' floors are 60"),
        "{stderr}"
    );
    let (code, stderr) = check(&good.replace("<voter name=\"s1\"/>", ""));
    assert_eq!(code, Some(1), "{stderr}");
    assert!(stderr.contains("voter: 1, 3, 5, 7 or 9 different names, not 4"), "{stderr}");
    assert_eq!(check(&good).0, Some(0));
    // Only one of the five voters runs, so no majority can grant a lease. The server may use only its floor.
    let floor = |within| wait_for(within, || (shared_state_field(&fleet, 0, "floor") == FLOOR).then_some(()));
    assert!(floor(Duration::from_secs(10)).is_some());
    std::fs::write(&xml, bad).unwrap();
    fleet.signal_and_keep(0, "HUP").unwrap();
    std::thread::sleep(Duration::from_millis(700));
    assert_eq!((shared_state_field(&fleet, 0, "floor"), shared_state_field(&fleet, 0, "leased")), (FLOOR, 0));
    assert!(fleet.has_logged(0, "configuration kept as it was"), "the rejected reload is in the log");
}

/// Time after which a server's report of a failing service expires, in the tests of outlier detection.
const EXPIRY: Duration = Duration::from_millis(2000);

/// Five processes that share a tier of four downstream services. Each service is behind a relay of its own.
struct Tier {
    fleet: FleetHarness,
    services: Vec<Arc<DownstreamService>>,
    relays: Vec<TcpRelay>,
}

impl Tier {
    /// Starts the processes and the services. `reports` is the number of servers that must report a service
    /// as failing before the service is ejected.
    fn new(seed: u64, reports: usize) -> Tier {
        let downstream: Vec<_> =
            (0..4).map(|_| downstream_service::start(Duration::from_millis(20)).unwrap()).collect();
        let relays: Vec<TcpRelay> =
            downstream.iter().map(|(address, _)| TcpRelay::new(5, *address, 9, seed).unwrap()).collect();
        let tier = |i: usize| {
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
            downstream_services: vec![downstream[0].0; 5],
            options: r#"<tenants by="sender"><tenant name="1"/></tenants>"#.into(),
            server_options: (0..5).map(tier).collect(),
            ..HarnessOptions::default()
        };
        let program = Path::new(env!("CARGO_BIN_EXE_meadowstream"));
        let fleet = FleetHarness::with_options(program, 5, 5, seed, options).unwrap();
        fleet.wait_for_agreement(&[0, 1, 2, 3, 4], Instant::now(), Duration::from_secs(15)).unwrap();
        Tier { fleet, services: downstream.into_iter().map(|(_, service)| service).collect(), relays }
    }

    /// Returns the names of the services that server `i` has ejected, from its last log line about shared
    /// state.
    fn ejected(&self, i: usize) -> Vec<String> {
        let shared = self.fleet.shared_state(i).unwrap_or_default();
        serde_json::from_str(shared["ejected"].as_str().unwrap_or("[]")).unwrap()
    }

    /// Waits until each of `servers` has ejected exactly the services in `expected`. Returns the time that
    /// this took.
    fn expect_ejected(&self, servers: &[usize], expected: &[&str], within: Duration) -> Duration {
        let began = Instant::now();
        let all = || {
            servers.iter().all(|i| {
                let mut ejected = self.ejected(*i);
                ejected.sort();
                ejected == expected
            })
        };
        let reached = wait_for(within, || all().then_some(()));
        assert!(
            reached.is_some(),
            "{:?}",
            servers.iter().map(|i| self.fleet.shared_state(*i)).collect::<Vec<_>>()
        );
        began.elapsed()
    }

    /// Returns the health of service `s` that server `i` has determined from its own calls to the service.
    fn own_verdict(&self, i: usize, s: usize) -> String {
        let shared = self.fleet.shared_state(i).unwrap_or_default();
        let services: serde_json::Value =
            serde_json::from_str(shared["services"].as_str().unwrap_or("[]")).unwrap();
        services[s]["own"].as_str().unwrap_or("").to_string()
    }

    /// Returns the largest number of services that one log line of any process lists as ejected.
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
fn all_servers_eject_a_failing_service_but_never_more_than_the_eject_share() {
    let tier = Tier::new(31, 2);
    let all = [0, 1, 2, 3, 4];
    let load = start_loads(&tier.fleet, &all, Duration::from_secs(28));
    std::thread::sleep(Duration::from_secs(2));
    assert!(all.iter().all(|i| tier.ejected(*i).is_empty()), "no service is ejected before one fails");
    tier.services[1].fails.store(true, Relaxed);
    let ejected_after = tier.expect_ejected(&all, &["r1"], EXPIRY * 2);
    let count = |s: usize| tier.services[s].calls.load(Relaxed);
    let (before, others) = (count(1), [0, 2, 3].map(count).iter().sum::<u64>());
    std::thread::sleep(Duration::from_secs(3));
    let (probes, calls) = (count(1) - before, [0, 2, 3].map(count).iter().sum::<u64>() - others);
    println!(
        "ejected by all five after {ejected_after:?}; then {probes} calls to r1 in 3 s, {calls} to the others"
    );
    // A server sends at most eight probes to r1 in `EXPIRY` (2 s), the expiry time of a report. All five
    // servers together would send about 60 probes in 3 s. The test permits 10 more.
    assert!(probes > 0 && probes <= 5 * 8 * 3 / 2 + 10, "{probes} probes");
    assert!(calls > 5 * probes, "{calls}, {probes} probes");

    // A server that is cut off from the others ejects services because of its own calls alone. This server
    // keeps r1 ejected and also ejects the next service that fails.
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
    tier.expect_ejected(&all, &["r1", "r2"], EXPIRY * 2);
    tier.fleet.relay.change_faults(|faults| faults.heal());

    // Three of the four services fail, but the servers eject at most half of the tier.
    tier.services[3].fails.store(true, Relaxed);
    std::thread::sleep(EXPIRY * 2);
    assert!((0..5).all(|i| tier.own_verdict(i, 3) == "Failing"), "{:?}", tier.fleet.shared_state(1));
    assert_eq!(tier.most_ejected(), 2);
    tier.services.iter().for_each(|service| service.fails.store(false, Relaxed));
    let back = tier.expect_ejected(&all, &[], EXPIRY * 5);
    let replies = sum(load);
    println!("no service ejected any more after {back:?}; {replies:?}");
    assert_eq!(tier.most_ejected(), 2);
    assert!(replies.succeeded * 2 > replies.sent, "{replies:?}");
}

/// One server cannot reach a service that all others can reach. If two reports are required for an ejection,
/// no server ejects the service. The affected server avoids the service because its own calls failed. If one
/// report is enough, all servers eject the service, although it is healthy.
#[test]
fn a_service_that_only_one_server_cannot_reach_is_not_ejected() {
    for (reports, seed) in [(2, 32), (1, 33)] {
        let tier = Tier::new(seed, reports);
        let load = start_loads(&tier.fleet, &[0, 1, 2, 3, 4], Duration::from_secs(9));
        std::thread::sleep(Duration::from_secs(2));
        tier.relays[3].change_faults(|f| {
            f.groups.insert(2, 1);
            f.partition(1, 9);
        });
        let found = wait_for(Duration::from_secs(5), || (tier.own_verdict(2, 3) != "Good").then_some(()));
        assert!(found.is_some(), "{:?}", tier.fleet.shared_state(2));
        if reports == 1 {
            tier.expect_ejected(&[0, 1, 3, 4], &["r3"], Duration::from_secs(4));
        }
        let replies = sum(load);
        println!("{reports} reports required: {replies:?}, at most {} ejected", tier.most_ejected());
        // Each server must log the fleet-wide totals of tenant `1`: the number of calls that succeeded, and
        // the billed amount in thousandths of a call.
        let of = |i: usize, what: &str| fleet_total(&tier.fleet, i, &format!("{what}/load/1"));
        let all = || (0..5).all(|i| of(i, "succeeded") == replies.succeeded).then_some(());
        assert!(wait_for(Duration::from_secs(10), all).is_some(), "{:?}", tier.fleet.shared_state(0));
        assert!((0..5).all(|i| of(i, "billed-thousandths") == 1000 * replies.succeeded));
        assert_eq!(tier.most_ejected(), 2 - reports);
    }
}
