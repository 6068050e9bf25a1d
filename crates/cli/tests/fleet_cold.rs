//! Twenty processes of the program over a tier of five services, one of which fails and comes back cold: what
//! it gets is counted there, from all of them together. Loopback only, bounded, every process ended by its
//! id.

use meadowstream_test_doubles::fleet::{FleetHarness, HarnessOptions, wait_for};
use meadowstream_test_doubles::{downstream_service, open_loop};
use std::path::Path;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

const PROCESSES: usize = 20;
const SERVICES: usize = 5;
const REPORTS: usize = 2;
const EXPIRY: Duration = Duration::from_millis(2000);
/// Calls a second that come to each process.
const RATE: f64 = 20.0;
const WHILE: Duration = Duration::from_millis(250);

fn ejects(fleet: &FleetHarness, i: usize) -> bool {
    let shared = fleet.shared_state(i).unwrap_or_default();
    shared["ejected"].as_str().is_some_and(|names| names.contains("\"r0\""))
}

#[test]
fn one_that_comes_back_gets_no_more_than_its_ramp_of_twenty_processes() {
    let parties: Vec<_> =
        (0..SERVICES).map(|_| downstream_service::start(Duration::from_millis(10)).unwrap()).collect();
    let service = |(s, (address, _)): (usize, &(std::net::SocketAddr, _))| {
        format!(r#"<service name="r{s}" address="{address}"/>"#)
    };
    let services: String = parties.iter().enumerate().map(service).collect();
    let own = format!(
        r#"<shared-state gossip-ms="100"><tier reports="{REPORTS}" eject-share="0.5" expiry-ms="{}">
        {services}</tier></shared-state>"#,
        EXPIRY.as_millis()
    );
    let options = HarnessOptions {
        cores: 4.0,
        downstream_services: vec![parties[0].0; PROCESSES],
        server_options: vec![own; PROCESSES],
        ..HarnessOptions::default()
    };
    let program = Path::new(env!("CARGO_BIN_EXE_meadowstream"));
    let fleet = FleetHarness::with_options(program, PROCESSES, PROCESSES, 41, options).unwrap();
    let all: Vec<usize> = (0..PROCESSES).collect();
    fleet.wait_for_agreement(&all, Instant::now(), Duration::from_secs(30)).unwrap();
    let floods: Vec<_> = all
        .iter()
        .map(|i| {
            let to = fleet.listen_address(*i).expect("it listens");
            open_loop::start(to, RATE, Duration::from_millis(5), Duration::from_secs(40), 41 + *i as u64)
        })
        .collect();
    std::thread::sleep(Duration::from_secs(3));
    let cold = &parties[0].1;
    cold.fails.store(true, Relaxed);
    let out = wait_for(Duration::from_secs(20), || all.iter().all(|i| ejects(&fleet, *i)).then_some(()));
    let where_out: Vec<usize> = all.iter().copied().filter(|i| ejects(&fleet, *i)).collect();
    assert!(out.is_some(), "it is out on {where_out:?} alone: {:?}", fleet.shared_state(0));
    std::thread::sleep(EXPIRY);
    cold.fails.store(false, Relaxed);
    let (well, before) = (Instant::now(), cold.calls.load(Relaxed));
    let back = wait_for(Duration::from_secs(10), || all.iter().any(|i| !ejects(&fleet, *i)).then_some(()));
    assert!(back.is_some(), "it comes back");
    let (took, probes) = (well.elapsed(), cold.calls.load(Relaxed) - before);

    // Probes of a few stay until the last process has heard; the rest is the ramp's.
    let probes_a_second = (2 * REPORTS * 8) as f64 / EXPIRY.as_secs_f64();
    let whole = RATE * PROCESSES as f64 / SERVICES as f64;
    let budget = |rate: f64, span: Duration| {
        let n = rate * span.as_secs_f64();
        n + 2.0 * n.sqrt() + 2.0
    };
    println!("back on the first after {took:?}, {probes} probes until then");
    assert!(probes as f64 <= budget(probes_a_second, took), "{probes} probes in {took:?}");
    let begun = Instant::now();
    let mut got = Vec::new();
    while begun.elapsed() < EXPIRY {
        let (from, before) = (begun.elapsed(), cold.calls.load(Relaxed));
        std::thread::sleep(WHILE);
        let (to, calls) = (begun.elapsed(), cold.calls.load(Relaxed) - before);
        let part = ((from + to).as_secs_f64() / 2.0 / EXPIRY.as_secs_f64()).min(1.0);
        let most = budget(whole * part + probes_a_second, to - from);
        got.push((calls, most));
    }
    println!("then in each while, and the most allowed: {got:.1?}");
    assert!(got.iter().all(|(calls, most)| *calls as f64 <= *most), "{got:.1?}");
    assert!(got.iter().any(|(calls, _)| *calls > 0), "{got:.1?}");
    let answers: Vec<_> = floods.into_iter().map(|flood| flood.join().expect("a load")).collect();
    let (sent, good) = answers.iter().fold((0, 0), |all, one| (all.0 + one.sent, all.1 + one.succeeded));
    println!("{good} of {sent} succeeded");
    assert!(good * 10 >= sent * 9, "{answers:?}");
}
