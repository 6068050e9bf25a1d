//! Tests the fleet model with small fleets. The tests cover cost bounds at every fleet size, results that
//! depend only on the seed, recovery after failures, and a simulated day of configuration changes. The
//! command `meadowstream fleet capacity` runs the model with large fleets.

use meadowstream_capacity::fit::{Curve, Line, Point};
use meadowstream_capacity::scale::{BYTES_PER_SECOND_BOUND, Scale};
use meadowstream_capacity::{at_rest, day, incidents};

/// Returns a scale with short time spans.
fn scale(servers: usize) -> Scale {
    Scale {
        servers,
        seed: 5,
        rest_seconds: 5,
        region_cut_seconds: 20,
        zone_cut_seconds: 20,
        control_down_seconds: 20,
    }
}

#[test]
fn a_fleet_at_rest_keeps_the_byte_bound_and_is_deterministic_for_its_seed() {
    let rest = at_rest::measure(40, &scale(40)).unwrap();
    assert!(rest.costs.bytes() > 1_000.0 && rest.costs.bytes() < BYTES_PER_SECOND_BOUND, "{:?}", rest.costs);
    assert!(rest.costs.replication_bytes > 50.0 && rest.costs.membership_bytes > 100.0, "{:?}", rest.costs);
    let again = at_rest::measure(40, &scale(40)).unwrap();
    assert_eq!((rest.costs.bytes(), rest.costs.datagrams), (again.costs.bytes(), again.costs.datagrams));
}

#[test]
fn counters_converge_more_slowly_in_a_larger_fleet() {
    let small = at_rest::counter_convergence_seconds(20, &scale(20), 100).unwrap().unwrap();
    let large = at_rest::counter_convergence_seconds(80, &scale(80), 100).unwrap().unwrap();
    assert!(small < large && large < 60.0, "{small} {large}");
}

#[test]
fn the_fleet_recovers_from_the_loss_of_a_rack_a_region_and_all_control_machines() {
    let rack = incidents::rack_lost(&scale(60)).unwrap();
    assert!(
        rack.convergence_after_loss.unwrap() < 30.0 && rack.convergence_after_return.unwrap() < 30.0,
        "{rack:?}"
    );
    let region = incidents::region_cut(&scale(60)).unwrap();
    assert!(region.convergence_after_return.unwrap() < 30.0, "{region:?}");
    // No server in the isolated region can hold a lease, because a majority of the voters is outside this
    // region.
    assert_eq!(region.leases_in_cut, Some(0));
    let control = incidents::control_down(&scale(60)).unwrap();
    assert!(control.convergence_after_return.unwrap() < 30.0, "{control:?}");
}

#[test]
fn all_servers_apply_the_changes_of_a_short_day() {
    let scale = day::DayScale { day_seconds: 600, ..day::DayScale::quick(60, 5) };
    let day = day::play(&scale, &|_| ());
    assert!(day.changes > 700 && day.restarts > 900, "{day:#?}");
    assert!(day.p50_seconds < 1.0 && day.p99_seconds < 12.0, "{day:#?}");
    assert!(day.returns > 700 && day.bytes_per_second < 12_000.0, "{day:#?}");
}

#[test]
fn a_line_fitted_without_the_largest_size_predicts_it() {
    let point = |size, value| Point { size, value };
    let points = [10.0, 20.0, 30.0, 40.0].map(|size| point(size, 2.0 * size + 1.0));
    let curve =
        Curve::new("doubled", "units", "server", [&points[..], &[point(80.0, 200.0)]].concat(), Some(170.0));
    let line = curve.line.unwrap();
    assert!((line.slope - 2.0).abs() < 1e-9 && line.slope_error < 1e-9, "{line:?}");
    assert!((curve.predicted - 161.0).abs() < 1e-9 && curve.measured == 200.0 && !curve.is_within_bound());
    assert_eq!(Line::fit(&points[..2]), None);
    assert_eq!(Line::fit(&[point(1.0, 1.0), point(1.0, 2.0), point(1.0, 3.0)]), None);
}

/// Prints measurements at full size. The measurements are the CPU use and network traffic of the leader in a
/// fleet of 690 servers without failures, and the memory of a configuration with 64,000 tenants. The size and
/// encoding time of this configuration's persisted state are printed, too.
#[test]
#[ignore = "half a minute"]
fn a_control_machine_at_the_stated_size() {
    use meadowstream_capacity::meter::{allocated_bytes, thread_time_ns};
    println!("{:#?}", at_rest::measure(690, &Scale::full(690, 1)).unwrap().leader);
    let before = allocated_bytes();
    let mut state = meadowstream_replication::state::State::default();
    (0..64_000).for_each(|n| state.set(&format!("tenants/tenant/tenant-{n:05}"), "2"));
    println!("64,000 keys: {} bytes", allocated_bytes() - before);
    let mut saved = meadowstream_replication::persistence::PersistedState::default();
    (saved.committed.revision.hash, saved.committed.state) = (state.hash(), state);
    let started_at = thread_time_ns();
    let bytes = meadowstream_replication::persistence::encode(&saved);
    println!(
        "written at a change: {} bytes, encoded in {} us",
        bytes.len(),
        (thread_time_ns() - started_at) / 1000
    );
}

/// Prints the measurements of an isolated zone and of a simulated day, both in a fleet of 690 servers. To run
/// this test: `cargo test --release -p meadowstream-capacity -- --ignored --nocapture`.
#[test]
#[ignore = "some minutes"]
fn an_isolated_zone_and_a_day_at_the_stated_size() {
    let day = std::thread::spawn(|| day::play(&day::DayScale::full(690, 1), &|_| ()));
    println!("{:#?}", incidents::zone_cut(&Scale::full(690, 1)).unwrap());
    println!("{:#?}", day.join().unwrap());
}
