//! Runs the soak test with a few fixed seeds. To run other seeds, three at a time, use
//!
//! `SOAK_SEEDS=FIRST..LAST cargo test -p meadowstream --test soak by_hand -- --ignored --nocapture`, or
//! `seeds_with_faults` for runs with trouble at the interpreter and from clients.

use meadowstream_test_doubles::fleet::{FleetHarness, wait_for};
use meadowstream_test_doubles::soak::{SoakReport, Totals, run, run_with_faults};
use std::net::IpAddr;
use std::path::Path;
use std::sync::Mutex;
use std::time::Duration;
use test_case::test_case;

/// Maximum time to wait until a server logs its listen address.
const START_MAX: Duration = Duration::from_secs(20);
/// Number of soak runs that the test `by_hand` executes at the same time.
const CONCURRENT_RUNS: usize = 3;

type SoakRun = fn(&Path, u64) -> anyhow::Result<SoakReport>;

fn run_seed(run: SoakRun, seed: u64) -> SoakReport {
    run(Path::new(env!("CARGO_BIN_EXE_meadowstream")), seed)
        .unwrap_or_else(|error| panic!("seed {seed}: {error:#}"))
}

fn summary(report: &SoakReport) -> String {
    let SoakReport { plan, violations, actions, totals } = report;
    let violations: String = violations.iter().map(|violation| format!("  {violation}\n")).collect();
    let Totals { sent, succeeded, crossed, unsent, descriptors, stalled_ms } = totals;
    format!(
        "seed {}: {} servers, {:.0} a second, {sent} sent, {succeeded} succeeded, {crossed} crossed, \
         {unsent} unsent, {descriptors} descriptors, machine stalled for {stalled_ms} ms\n  {:?}\n  {}\n\
         {violations}",
        plan.seed,
        plan.servers,
        plan.rate,
        plan.injected,
        actions.join("; ")
    )
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
#[test_case(5)]
#[test_case(6)]
#[test_case(7)]
#[test_case(8)]
#[test_case(9)]
#[test_case(10)]
#[test_case(11)]
#[test_case(12)]
#[test_case(13)]
#[test_case(14)]
#[test_case(15)]
#[test_case(16)]
#[test_case(17)]
#[test_case(18)]
#[test_case(19)]
#[test_case(20)]
#[test_case(21)]
#[test_case(22)]
#[test_case(23)]
#[test_case(24)]
#[test_case(25)]
#[test_case(26)]
#[test_case(27)]
#[test_case(28)]
#[test_case(29)]
#[test_case(30)]
#[test_case(31)]
#[test_case(32)]
#[test_case(33)]
#[test_case(34)]
#[test_case(35)]
#[test_case(36)]
#[test_case(37)]
#[test_case(38)]
#[test_case(39)]
#[test_case(40)]
fn invariants_hold_under_load_and_signals(seed: u64) {
    let report = run_seed(run, seed);
    assert!(report.violations.is_empty(), "{}", summary(&report));
}

#[test_case(101)]
#[test_case(102)]
#[test_case(103)]
#[test_case(104)]
#[test_case(105)]
#[test_case(106)]
#[test_case(107)]
#[test_case(108)]
#[test_case(109)]
#[test_case(110)]
#[test_case(111)]
#[test_case(112)]
fn invariants_hold_with_faults_of_the_interpreter_and_clients(seed: u64) {
    let report = run_seed(run_with_faults, seed);
    assert!(report.violations.is_empty(), "{}", summary(&report));
}

/// Each fleet must have an IP address of its own. If fleets shared an address, the system could give the port
/// of an exited server to a server of another fleet. A late call to the exited server would then succeed long
/// after its drain grace.
#[test]
fn each_fleet_accepts_calls_at_its_own_address() {
    let program = Path::new(env!("CARGO_BIN_EXE_meadowstream"));
    let fleets = [1_001, 1_002].map(|seed| FleetHarness::new(program, 1, seed).unwrap());
    let [first, second] = fleets.each_ref().map(listen_ip);
    assert!(first.is_loopback() && second.is_loopback(), "{first}, {second}");
    assert_ne!(first, second);
}

fn listen_ip(fleet: &FleetHarness) -> IpAddr {
    wait_for(START_MAX, || fleet.listen_address(0)).expect("a started server").ip()
}

/// Runs the soak test with the seeds in the environment variable `SOAK_SEEDS`. Takes minutes.
#[test]
#[ignore = "takes minutes; runs the seeds of SOAK_SEEDS"]
fn by_hand() {
    run_by_hand(run);
}

/// Runs the soak test with trouble at the interpreter and from clients, like [`by_hand`]. Takes minutes.
#[test]
#[ignore = "takes minutes; runs the seeds of SOAK_SEEDS"]
fn seeds_with_faults() {
    run_by_hand(run_with_faults);
}

fn run_by_hand(run: SoakRun) {
    let seeds = std::env::var("SOAK_SEEDS").unwrap_or_else(|_| "1..50".to_string());
    let (first, last) = seeds.split_once("..").expect("FIRST..LAST");
    let (first, last): (u64, u64) = (first.parse().expect("a number"), last.parse().expect("a number"));
    let seeds = Mutex::new(first..=last);
    let failed_seeds = Mutex::new(Vec::new());
    let run_seeds = || {
        while let Some(seed) = { seeds.lock().unwrap().next() } {
            let report = run_seed(run, seed);
            println!("{}", summary(&report));
            if !report.violations.is_empty() {
                failed_seeds.lock().unwrap().push(seed);
            }
        }
    };
    std::thread::scope(|scope| (0..CONCURRENT_RUNS).for_each(|_| drop(scope.spawn(run_seeds))));
    let failed_seeds = failed_seeds.into_inner().unwrap();
    println!("{} seeds run, violations with seeds {failed_seeds:?}", last + 1 - first);
    assert!(failed_seeds.is_empty());
}
