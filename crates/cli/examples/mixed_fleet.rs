//! Runs a fleet of two releases of the program on the loopback interface and checks that the releases work
//! together.
//!
//!     cargo run --release --example mixed_fleet -- OLD NEW
//!
//! OLD and NEW are the paths of two builds of the program. The fleet has three control machines and eight
//! servers, which alternate between the releases. The example checks three things: all servers agree on the
//! membership view, the servers share a budget of downstream calls under load, and each release can publish a
//! configuration change to the whole fleet. It prints the results and exits with 1 if a check fails.

use anyhow::{Context, Result, ensure};
use meadowstream_test_doubles::downstream_service;
use meadowstream_test_doubles::fleet::{FleetHarness, HarnessOptions, wait_for};
use meadowstream_test_doubles::open_loop;
use std::net::UdpSocket;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

const CONTROL_MACHINES: usize = 3;
const SERVERS: usize = 8;
const PROCESSES: usize = CONTROL_MACHINES + SERVERS;
/// Maximum number of concurrent downstream calls of all servers together.
const BUDGET_TOTAL: u64 = 24;
/// Concurrent downstream calls that each server may make without a lease.
const BUDGET_FLOOR: u64 = 1;
const SEED: u64 = 91;
/// Maximum time that each check waits for the expected state of the fleet.
const WAIT_MAX: Duration = Duration::from_secs(30);
/// Duration of the load.
const LOAD: Duration = Duration::from_secs(12);

fn main() -> Result<()> {
    let mut arguments = std::env::args().skip(1).map(PathBuf::from);
    let old = arguments.next().context("OLD is missing")?;
    let new = arguments.next().context("NEW is missing")?;
    let programs: Vec<PathBuf> =
        (0..PROCESSES).map(|i| if i % 2 == 0 { old.clone() } else { new.clone() }).collect();
    let (address, downstream) = downstream_service::start(Duration::from_millis(100))?;
    let options = HarnessOptions {
        cores: 4.0,
        downstream_services: vec![address; PROCESSES],
        server_options: (0..PROCESSES).map(options).collect(),
        control_servers: CONTROL_MACHINES,
        programs,
        ..HarnessOptions::default()
    };
    let fleet = FleetHarness::with_options(&old, PROCESSES + 1, PROCESSES, SEED, options)?;
    agree_on_view(&fleet)?;
    share_budget(&fleet, &downstream)?;
    for (release, program) in [("old", &old), ("new", &new)] {
        let output = publish(&fleet, program, release)?;
        println!("revision published by the {release} release: {output}");
    }
    Ok(())
}

/// Waits until the membership view of each server shows all other processes of the fleet as alive. The views
/// of control machines are not checked, because control machines log no membership view.
fn agree_on_view(fleet: &FleetHarness) -> Result<()> {
    let began = Instant::now();
    let sees_all = |server: usize| {
        let view = fleet.member_states(server);
        view.len() == PROCESSES - 1 && view.values().all(|state| state == "Alive")
    };
    let agreed = wait_for(WAIT_MAX, || (CONTROL_MACHINES..PROCESSES).all(sees_all).then_some(()));
    agreed.with_context(|| {
        format!("the views do not agree within {WAIT_MAX:?}: {:?}", fleet.member_states(PROCESSES - 1))
    })?;
    println!("view: {SERVERS} servers see all {PROCESSES} processes alive after {:?}", began.elapsed());
    Ok(())
}

/// Returns the XML elements for the options file of process `i`, except the `<membership>` element.
fn options(i: usize) -> String {
    let replicas: String = (0..CONTROL_MACHINES).map(|n| format!(r#"<replica name="s{n}"/>"#)).collect();
    let voters: String = (3..8).map(|n| format!(r#"<voter name="s{n}"/>"#)).collect();
    let zone = i % 3;
    let budget = if i < CONTROL_MACHINES {
        String::new()
    } else {
        format!(
            r#"<shared-state gossip-ms="100"><budget name="records" total="{BUDGET_TOTAL}"
            floor="{BUDGET_FLOOR}" servers="{SERVERS}" lease-ms="2000" use-most-ms="500">{voters}</budget>
            </shared-state>"#
        )
    };
    format!(
        r#"<tenants by="field" field="venue"><ceilings accounts="2048"/></tenants>{budget}
        <replication region="r{zone}" zone="z{zone}" file="s{i}.state" stale-ms="3000" lease-ms="1500">
        {replicas}</replication>"#
    )
}

/// Puts all servers under load and checks that they share the call budget.
///
/// The load of each server needs more concurrent downstream calls than the server may make without a lease
/// ([`BUDGET_FLOOR`]). Each server must get a lease. The leasable part of the budget is its total without the
/// floors of all servers. At most one call of this part may stay unleased. The downstream service must never
/// have more concurrent calls than the budget.
fn share_budget(fleet: &FleetHarness, downstream: &downstream_service::DownstreamService) -> Result<()> {
    let servers: Vec<usize> = (CONTROL_MACHINES..PROCESSES).collect();
    let mut loads = Vec::new();
    for server in &servers {
        let to = fleet.listen_address(*server).with_context(|| format!("s{server} does not listen"))?;
        loads.push(open_loop::start(to, 100.0, Duration::from_millis(2), LOAD, *server as u64 + 1));
    }
    let leased = |server: &usize| {
        let line = fleet.shared_state(*server)?;
        line["leased"].as_u64()
    };
    let to_lease = BUDGET_TOTAL - SERVERS as u64 * BUDGET_FLOOR;
    let leases = wait_for(WAIT_MAX, || {
        let leases: Vec<u64> = servers.iter().map(|server| leased(server).unwrap_or(0)).collect();
        (leases.iter().sum::<u64>() + 1 >= to_lease && leases.iter().all(|lease| *lease > 0))
            .then_some(leases)
    });
    for load in loads {
        load.join().map_err(|_| anyhow::anyhow!("the thread of a load panicked"))?;
    }
    let most = downstream.most_in_flight.load(Relaxed);
    let leases = leases.context("the servers never leased the whole budget with a part for each")?;
    println!("budget: {BUDGET_TOTAL} calls, leases {leases:?}, at most {most} in flight");
    ensure!(most <= BUDGET_TOTAL, "{most} calls in flight of {BUDGET_TOTAL}");
    Ok(())
}

/// Publishes a configuration change with the `publish` command of the given release. The command waits until
/// all members use the change.
fn publish(fleet: &FleetHarness, program: &Path, release: &str) -> Result<String> {
    let free = UdpSocket::bind("127.0.0.1:0")?.local_addr()?;
    fleet.relay.register(PROCESSES, free);
    let seeds: String = (0..6).map(|i| format!(r#"<seed address="{}"/>"#, fleet.relay.endpoint(i))).collect();
    let text = format!(
        r#"<meadowstream xmlns="urn:meadowstream:options:1">
        <membership bind="{free}" advertise="{}" fleet="rehearsal" key-file="key" probe-period-ms="200"
          probe-rtt-ms="80" suspicion-multiplier="5" gossip-period-ms="100" announce-period-ms="1000">{seeds}
        </membership>{}</meadowstream>"#,
        fleet.relay.endpoint(PROCESSES),
        options(0),
    );
    let options_file = fleet.folder().join("publish.xml");
    std::fs::write(&options_file, text)?;
    let weight = 2 + release.len();
    let change = format!(
        r#"<change xmlns="urn:meadowstream:options:1">
        <set key="tenants/tenant/{release}" value="{weight}"/></change>"#
    );
    let change_file = fleet.folder().join("change.xml");
    std::fs::write(&change_file, change)?;
    let output = Command::new(program)
        .arg("publish")
        .arg(&change_file)
        .arg("--options")
        .arg(&options_file)
        .args(["--wait", "20"])
        .output()?;
    let text = String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).trim().replace('\n', "; ");
    ensure!(output.status.success(), "{text}");
    Ok(text)
}
