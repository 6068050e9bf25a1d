//! Tests rollouts over a fleet in simulated time.
//!
//! To print the rates of false stops and missed regressions that docs/rollout.md lists:
//! `cargo test -p meadowstream-rollout -- --nocapture`.

mod absent_servers;
mod simulated_fleet;
mod soak;

use meadowstream_rollout::coordinator::{Action, Coordinator, FleetView, Phase};
use meadowstream_rollout::plan::{OnRegression, Plan, StageSize};
use meadowstream_rollout::wire::{self, Order, Report};
use proptest::prelude::*;
use simulated_fleet::{Change, Fleet, SECOND, begin, plan};
use test_case::test_case;

/// Rolls out a change without effect a hundred times, over thirty servers. At most one rollout may be
/// stopped. False stops are possible in three of the four stages, in which changed servers are compared with
/// unchanged servers.
#[test]
fn changes_without_effect_complete() {
    let mut stopped = Vec::new();
    for seed in 0..100 {
        let mut fleet = Fleet::new(30, Change::None, seed);
        let mut coordinator = begin(plan());
        match fleet.run(&mut coordinator, 600) {
            Phase::Done => assert!(fleet.servers.iter().all(|server| server.adopted)),
            Phase::RolledBack { reason, .. } => stopped.push(reason),
            other => panic!("{other:?}: {:?}", fleet.messages),
        }
    }
    println!("A/A: {} of 100 stopped: {stopped:?}", stopped.len());
    // With these seeds, 0 of 100 rollouts are stopped. If the comparison did not subtract the standard error
    // of the baselines, 2 rollouts would be stopped.
    assert!(stopped.len() <= 1, "{stopped:?}");
}

#[test_case(Change::ThrottlesPremium(0.06), 30)]
#[test_case(Change::UnderLoad(0.10), 30)]
#[test_case(Change::Slower(1.6), 30)]
#[test_case(Change::Errs(0.04), 30)]
#[test_case(Change::ThrottlesPremium(0.06), 6)]
fn regressions_are_rolled_back(change: Change, servers: usize) {
    let (mut missed, mut at_first_stage, mut changed_servers, mut seconds) = (0, 0, 0, 0);
    for seed in 0..25 {
        let mut fleet = Fleet::new(servers, change, 1000 + seed);
        let mut coordinator = begin(plan());
        match fleet.run(&mut coordinator, 600) {
            Phase::RolledBack { unconfirmed, .. } if unconfirmed.is_empty() => {
                fleet.assert_none_changed();
                at_first_stage += usize::from(coordinator.state().stage == 0);
                changed_servers += fleet.ever_changed.len();
                seconds += fleet.interval;
            }
            _ => missed += 1,
        }
    }
    let caught = 25 - missed;
    println!(
        "A/B {change:?}, {servers} servers: {missed} of 25 missed, \
         {at_first_stage} stopped at the first stage, \
         {:.1} servers changed and {:.0} s from the start in the mean",
        changed_servers as f64 / caught.max(1) as f64,
        seconds as f64 / caught.max(1) as f64
    );
    assert!(missed <= 1 && at_first_stage >= 15, "{missed} missed, {at_first_stage} at the first stage");
}

/// Rolls out a change without effect to a fleet in which half of the servers are permanently slower than the
/// others. The rollout must complete. Without baselines, the comparison would attribute the permanent
/// difference to the change.
#[test]
fn permanent_differences_between_servers_are_no_regression() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(10, Change::None, 300 + seed);
        // Makes all servers with even numbers permanently slower, by an equal factor.
        (0..10).step_by(2).for_each(|i| fleet.servers[i].offset += 0.5);
        let phase = fleet.run(&mut begin(plan()), 600);
        assert_eq!(phase, Phase::Done, "{:?}", fleet.messages);
    }
}

/// Rolls out a new program without effect. Processes are slower in the first five intervals after a start. A
/// plan without a warm-up must not complete, because the coordinator takes the slow start for a regression. A
/// plan with a warm-up must complete.
#[test]
fn servers_are_not_compared_during_the_warm_up() {
    for (warm_up, completes) in [(0, false), (8 * SECOND, true)] {
        let mut fleet = Fleet::new(12, Change::None, 71);
        fleet.restarts = true;
        let phase = fleet.run(&mut begin(Plan { warm_up, ..plan() }), 600);
        assert_eq!(phase == Phase::Done, completes, "{:?}", fleet.messages);
    }
}

/// Crashes the coordinator at several intervals and restarts it from its saved state. The outcome must be the
/// same as without a crash. [`Fleet::deliver`] checks that the coordinator saves its state before it sends an
/// order that depends on the state.
#[test]
fn a_restarted_coordinator_continues() {
    for (seed, crash_interval) in [5, 15, 30, 45, 60, 90, 120, 150].into_iter().enumerate() {
        for change in [Change::None, Change::ThrottlesPremium(0.2)] {
            let mut fleet = Fleet::new(12, change, 40 + seed as u64);
            let mut coordinator = begin(plan());
            fleet.run(&mut coordinator, crash_interval);
            let (stage, changed) = (coordinator.state().stage, coordinator.state().changed.clone());
            drop(coordinator);
            let mut restarted = Coordinator::new(plan(), fleet.saved.clone(), 2, fleet.now).unwrap();
            if fleet.saved.is_some() {
                assert_eq!((restarted.state().stage, &restarted.state().changed), (stage, &changed));
            }
            let phase = fleet.run(&mut restarted, 900);
            match change {
                Change::None => assert_eq!(phase, Phase::Done, "{:?}", fleet.messages),
                _ => {
                    assert!(matches!(phase, Phase::RolledBack { .. }), "{phase:?}");
                    fleet.assert_none_changed();
                }
            }
        }
    }
    // The coordinator must reject a saved state of another plan or candidate.
    let saved = begin(plan()).state().clone();
    let other = Plan { name: "another".into(), ..plan() };
    assert!(
        Coordinator::new(other, Some(saved.clone()), 2, 0)
            .is_err_and(|e| e.to_string().contains("belongs to plan"))
    );
    let other = Plan { candidate: 7, ..plan() };
    assert!(Coordinator::new(other, Some(saved), 2, 0).is_err_and(|e| e.to_string().contains("candidate")));
}

/// Starts a network partition in the second stage of a rollout, so that some servers are missing. Until the
/// partition has ended and the view has settled, the stage must not end and no further server may be changed.
#[test]
fn a_partition_suspends_the_stage() {
    let mut fleet = Fleet::new(10, Change::None, 60);
    let mut coordinator = begin(plan());
    while coordinator.state().stage < 1 || coordinator.state().phase != Phase::Baking {
        fleet.run_interval(&mut coordinator);
    }
    let changed = coordinator.state().changed.clone();
    (3..7).for_each(|i| fleet.servers[i].is_missing = true);
    fleet.settled = 0;
    fleet.run(&mut coordinator, 100);
    assert_eq!((&coordinator.state().changed, coordinator.state().stage), (&changed, 1));
    assert!(fleet.messages.iter().any(|message| message.contains("view moves")), "{:?}", fleet.messages);
    (3..7).for_each(|i| fleet.servers[i].is_missing = false);
    fleet.settled = 0;
    assert_eq!(fleet.run(&mut coordinator, 600), Phase::Done, "{:?}", fleet.messages);
}

/// Runs a plan without a settled view, then without the lease. In both cases, no server may ever be ordered
/// to apply the change.
#[test]
fn no_server_is_changed_without_a_settled_view_and_the_lease() {
    let mut fleet = Fleet::new(6, Change::None, 61);
    let mut coordinator = begin(plan());
    for _ in 0..60 {
        fleet.settled = 0;
        fleet.run_interval(&mut coordinator);
    }
    assert_eq!(coordinator.state().phase, Phase::Waiting);
    fleet.has_lease = false;
    fleet.run(&mut coordinator, 60);
    assert!(
        fleet.ever_changed.is_empty()
            && fleet.messages.iter().any(|message| message.contains("waits for the lease"))
    );
    fleet.has_lease = true;
    assert_eq!(fleet.run(&mut coordinator, 600), Phase::Done);
    // Another coordinator takes the lease during a plan. The coordinator without the lease must send no
    // orders and must not change its state.
    let mut fleet = Fleet::new(6, Change::None, 62);
    let mut coordinator = begin(plan());
    fleet.run(&mut coordinator, 40);
    let before = coordinator.state().clone();
    fleet.has_lease = false;
    let view = FleetView { alive: vec!["s0".into()], missing: Vec::new(), settled_for: 60 * SECOND };
    let actions = coordinator.handle_interval(fleet.now + SECOND, &view, false);
    assert!(actions.iter().all(|action| matches!(action, Action::Notify { .. })), "{actions:?}");
    assert_eq!(*coordinator.state(), before);
}

#[test]
fn a_server_that_never_reports_stops_the_plan_before_any_change() {
    let mut fleet = Fleet::new(6, Change::None, 63);
    fleet.servers[4].is_silent = true;
    let phase = fleet.run(&mut begin(plan()), 100);
    assert_eq!(phase, Phase::Stopped { reason: "s4 never reports".into() });
    assert!(fleet.ever_changed.is_empty());
}

#[test]
fn a_server_that_stops_reporting_causes_a_rollback() {
    let mut fleet = Fleet::new(6, Change::None, 64);
    let mut coordinator = begin(plan());
    while coordinator.state().phase != Phase::Baking {
        fleet.run_interval(&mut coordinator);
    }
    let changed: usize = coordinator.state().changed.first().unwrap()[1..].parse().unwrap();
    let other = (changed + 1) % 6;
    fleet.servers[other].is_silent = true;
    let phase = fleet.run(&mut coordinator, 200);
    let Phase::RolledBack { reason, unconfirmed } = phase else { panic!("{phase:?}") };
    assert!(reason.contains(&format!("s{other} does not report")), "{reason}");
    // The silent server never ran the change. The server is listed as unconfirmed because it sends no report
    // that confirms the rollback.
    assert_eq!(unconfirmed, vec![format!("s{other}")]);
    fleet.assert_none_changed();
}

/// Rolls out a change that crashes every server that runs it. Only changed servers are missing from the view,
/// so the coordinator must roll back and not wait for the end of a network partition.
#[test]
fn a_change_that_crashes_servers_is_rolled_back() {
    let mut fleet = Fleet::new(6, Change::None, 72);
    let mut coordinator = begin(plan());
    while fleet.ever_changed.is_empty() {
        fleet.run_interval(&mut coordinator);
    }
    let crashed = *fleet.ever_changed.first().unwrap();
    fleet.servers[crashed].is_missing = true;
    fleet.settled = 0;
    let interval_of_crash = fleet.interval;
    let phase = fleet.run(&mut coordinator, 200);
    let Phase::RolledBack { reason, unconfirmed } = phase else { panic!("{phase:?}: {:?}", fleet.messages) };
    assert_eq!(
        (reason, unconfirmed),
        (format!("s{crashed} gone since the change"), vec![format!("s{crashed}")])
    );
    assert!(fleet.interval - interval_of_crash <= 35, "{}", fleet.interval - interval_of_crash);
}

#[test]
fn a_refused_change_is_rolled_back_with_the_reason() {
    let mut fleet = Fleet::new(6, Change::None, 65);
    fleet.servers.iter_mut().for_each(|server| server.refuses = true);
    let phase = fleet.run(&mut begin(plan()), 100);
    let Phase::RolledBack { reason, unconfirmed } = phase else { panic!("{phase:?}") };
    assert!(
        reason.contains("refuses: line 3, <control>: reference: 7") && unconfirmed.is_empty(),
        "{reason}"
    );
}

#[test]
fn a_failed_rollback_names_the_server() {
    let mut fleet = Fleet::new(6, Change::ThrottlesPremium(0.2), 66);
    fleet.servers.iter_mut().for_each(|server| server.cannot_roll_back = true);
    let phase = fleet.run(&mut begin(plan()), 300);
    let Phase::RolledBack { unconfirmed, .. } = phase else { panic!("{phase:?}: {:?}", fleet.messages) };
    assert_eq!(unconfirmed.len(), 1);
    assert!(fleet.messages.last().unwrap().contains("NOT CONFIRMED by"), "{:?}", fleet.messages);
}

#[test]
fn an_abort_rolls_back_and_a_plan_may_stop_on_a_regression() {
    let mut fleet = Fleet::new(6, Change::None, 67);
    let mut coordinator = begin(plan());
    while coordinator.state().phase != Phase::Baking {
        fleet.run_interval(&mut coordinator);
    }
    let actions = coordinator.handle_abort(fleet.now);
    fleet.carry_out(actions);
    assert!(matches!(
        fleet.run(&mut coordinator, 50),
        Phase::RolledBack { unconfirmed, .. } if unconfirmed.is_empty()
    ));
    fleet.assert_none_changed();
    let mut fleet = Fleet::new(6, Change::ThrottlesPremium(0.2), 68);
    let mut coordinator = begin(Plan { on_regression: OnRegression::Stop, ..plan() });
    assert!(matches!(fleet.run(&mut coordinator, 300), Phase::Stopped { .. }));
    assert_eq!(fleet.servers.iter().filter(|server| server.adopted).count(), 1);
}

#[test_case(|p| p.stages[1].size = StageSize::Share(0.0), "stage 2: share: 0 is not above 0 and at most 1")]
#[test_case(|p| p.stages[2].size = StageSize::Share(1.5), "stage 3: share: 1.5 is not above 0 and at most 1")]
#[test_case(|p| p.stages[0].size = StageSize::Servers(0), "stage 1: servers: 0 changes nothing")]
#[test_case(|p| p.stages[3].bake_time = 0, "stage 4: bake-ms: at least 6 intervals, 6000")]
#[test_case(|p| p.stages[2].size = StageSize::Share(0.1), "stage 3: not larger than the stage before")]
#[test_case(|p| p.stages.clear(), "stage: 1 to 32 stages, not 0")]
#[test_case(|p| p.thresholds.alpha = 0.5, "alpha: 0.5 is not above 0 and at most 0.2")]
#[test_case(|p| p.thresholds.late = f64::NAN, "throttled, errored, late: above 0")]
fn an_invalid_plan_is_rejected_with_its_place(corrupt: fn(&mut Plan), place: &str) {
    let mut plan = plan();
    assert_eq!(plan.check(), Ok(()));
    corrupt(&mut plan);
    let error = Coordinator::new(plan, None, 1, 0).err().unwrap().to_string();
    assert!(error.starts_with(place) && !error.contains('\n'), "{error}");
}

/// Decodes a report of a later release, which has additional fields at the end. This release must ignore
/// these fields.
#[test]
fn fields_of_later_releases_are_ignored() {
    #[derive(serde::Serialize)]
    struct LaterReport(Report, String, Vec<u64>);
    let report = Report { order_sequence: 3, version: "0.3.0".into(), adopted: true, ..Report::default() };
    let later =
        wire::encode(&LaterReport(report.clone(), "a field of the next release".into(), vec![1, 2, 3]));
    assert_eq!(wire::decode::<Report>(&later), Some(report));
}

proptest! {
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = wire::decode::<Order>(&bytes);
        if let Some(report) = wire::decode::<Report>(&bytes) {
            let mut coordinator = begin(plan());
            let view = FleetView { alive: vec!["s0".into()], missing: Vec::new(), settled_for: 60 * SECOND };
            coordinator.handle_interval(SECOND, &view, true);
            coordinator.handle_report(SECOND, "s0", report);
            coordinator.handle_interval(2 * SECOND, &view, true);
        }
    }
}
