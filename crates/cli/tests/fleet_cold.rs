//! Recovery of a failed service that many processes call. Twenty processes of the program share a tier of
//! five downstream services. One service fails and recovers, and the test counts the calls from all processes
//! to this service after its recovery. The test uses the loopback interface only. Every wait has a limit, and
//! each process is killed by its id.

use meadowstream_test_doubles::fleet::{FleetHarness, HarnessOptions, wait_for};
use meadowstream_test_doubles::{downstream_service, open_loop};
use std::path::Path;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

const PROCESSES: usize = 20;
const SERVICES: usize = 5;
/// Number of servers that must report a service as failing before the service is ejected.
const REPORTS: usize = 2;
/// Time after which a server's report of a failing service expires. The recovery ramp, in which a recovered
/// service regains its share of calls, has the same duration.
const EXPIRY: Duration = Duration::from_millis(2000);
/// Calls per second that the test sends to each process.
const RATE: f64 = 20.0;
/// Length of the intervals in which the test counts the calls to the recovered service.
const INTERVAL: Duration = Duration::from_millis(250);

/// Whether server `i` currently ejects the service `r0`, according to its last log line about shared state.
fn ejects(fleet: &FleetHarness, i: usize) -> bool {
    let shared = fleet.shared_state(i).unwrap_or_default();
    shared["ejected"].as_str().is_some_and(|names| names.contains("\"r0\""))
}

#[test]
fn a_recovering_service_gets_at_most_its_ramp_from_twenty_processes() {
    let downstream_services: Vec<_> =
        (0..SERVICES).map(|_| downstream_service::start(Duration::from_millis(10)).unwrap()).collect();
    let service = |(s, (address, _)): (usize, &(std::net::SocketAddr, _))| {
        format!(r#"<service name="r{s}" address="{address}"/>"#)
    };
    let services: String = downstream_services.iter().enumerate().map(service).collect();
    let tier = format!(
        r#"<shared-state gossip-ms="100"><tier reports="{REPORTS}" eject-share="0.5" expiry-ms="{}">
        {services}</tier></shared-state>"#,
        EXPIRY.as_millis()
    );
    let options = HarnessOptions {
        cores: 4.0,
        downstream_services: vec![downstream_services[0].0; PROCESSES],
        server_options: vec![tier; PROCESSES],
        ..HarnessOptions::default()
    };
    let program = Path::new(env!("CARGO_BIN_EXE_meadowstream"));
    let fleet = FleetHarness::with_options(program, PROCESSES, PROCESSES, 41, options).unwrap();
    let all: Vec<usize> = (0..PROCESSES).collect();
    fleet.wait_for_agreement(&all, Instant::now(), Duration::from_secs(30)).unwrap();
    let floods: Vec<_> = all
        .iter()
        .map(|i| {
            let to = fleet.listen_address(*i).expect("the server has logged its listen address");
            open_loop::start(to, RATE, Duration::from_millis(5), Duration::from_secs(40), 41 + *i as u64)
        })
        .collect();
    std::thread::sleep(Duration::from_secs(3));
    let failing = &downstream_services[0].1;
    failing.fails.store(true, Relaxed);
    let ejected = wait_for(Duration::from_secs(20), || all.iter().all(|i| ejects(&fleet, *i)).then_some(()));
    let ejected_by: Vec<usize> = all.iter().copied().filter(|i| ejects(&fleet, *i)).collect();
    assert!(ejected.is_some(), "only {ejected_by:?} eject the service: {:?}", fleet.shared_state(0));
    std::thread::sleep(EXPIRY);
    failing.fails.store(false, Relaxed);
    let (recovered_at, before) = (Instant::now(), failing.calls.load(Relaxed));
    let readmitted =
        wait_for(Duration::from_secs(10), || all.iter().any(|i| !ejects(&fleet, *i)).then_some(()));
    assert!(readmitted.is_some(), "no server uses the service again");
    let (took, probes) = (recovered_at.elapsed(), failing.calls.load(Relaxed) - before);

    // Rate of probes that all processes together send to the failed service. For each of the `REPORTS`
    // required reports, two processes probe the service, and each sends eight probes within `EXPIRY`. A
    // process sends probes until it is informed of the recovery, which happens later at some processes than
    // at others. All other calls to the recovered service are part of the recovery ramp.
    let probes_per_second = (2 * REPORTS * 8) as f64 / EXPIRY.as_secs_f64();
    let full_rate = RATE * PROCESSES as f64 / SERVICES as f64;
    let budget = |rate: f64, span: Duration| {
        let n = rate * span.as_secs_f64();
        n + 2.0 * n.sqrt() + 2.0
    };
    println!("the first server uses the service again after {took:?}, with {probes} probes until then");
    assert!(probes as f64 <= budget(probes_per_second, took), "{probes} probes in {took:?}");
    let began = Instant::now();
    let mut counts = Vec::new();
    while began.elapsed() < EXPIRY {
        let (from, before) = (began.elapsed(), failing.calls.load(Relaxed));
        std::thread::sleep(INTERVAL);
        let (to, calls) = (began.elapsed(), failing.calls.load(Relaxed) - before);
        let ramp = ((from + to).as_secs_f64() / 2.0 / EXPIRY.as_secs_f64()).min(1.0);
        let most = budget(full_rate * ramp + probes_per_second, to - from);
        counts.push((calls, most));
    }
    println!("calls and maximum in each following interval: {counts:.1?}");
    assert!(counts.iter().all(|(calls, most)| *calls as f64 <= *most), "{counts:.1?}");
    assert!(counts.iter().any(|(calls, _)| *calls > 0), "{counts:.1?}");
    let replies: Vec<_> = floods.into_iter().map(|flood| flood.join().expect("a load")).collect();
    let (sent, succeeded) =
        replies.iter().fold((0, 0), |sum, load| (sum.0 + load.sent, sum.1 + load.succeeded));
    println!("{succeeded} of {sent} succeeded");
    assert!(succeeded * 10 >= sent * 9, "{replies:?}");
}
