//! Tests rollouts in which servers go away and the membership view forgets them. Which servers the plan has
//! changed, and which of them went back, must not depend on the view.

use crate::simulated_fleet::{Change, Fleet, SECOND, begin, plan};
use meadowstream_rollout::coordinator::{Coordinator, Phase};
use meadowstream_rollout::plan::{OnRegression, Plan};
use meadowstream_rollout::wire::Report;
use test_case::test_case;

/// Runs a rollout until its first stage is compared. Returns the index of the only changed server.
fn run_until_first_stage_bakes(fleet: &mut Fleet, coordinator: &mut Coordinator) -> usize {
    while coordinator.state().phase != Phase::Baking {
        fleet.run_interval(coordinator);
    }
    coordinator.state().changed.first().unwrap()[1..].parse().unwrap()
}

/// Takes a server out of the view, as if it had died and the membership protocol had forgotten it.
fn forget(fleet: &mut Fleet, server: usize) {
    fleet.servers[server].is_missing = false;
    fleet.servers[server].is_down = true;
    fleet.settled = 0;
}

/// Guards against a change that goes on to further servers after the view has forgotten the changed one.
#[test]
fn a_changed_server_that_the_view_forgets_stays_missing() {
    for on_regression in [OnRegression::RollBack, OnRegression::Stop] {
        let mut fleet = Fleet::new(4, Change::None, 80);
        let mut coordinator = begin(Plan { on_regression, ..plan() });
        let first = run_until_first_stage_bakes(&mut fleet, &mut coordinator);
        fleet.servers[first].is_missing = true;
        fleet.settled = 0;
        // The view forgets the server before the response timeout of 10 s has elapsed.
        fleet.run(&mut coordinator, 6);
        forget(&mut fleet, first);
        let phase = fleet.run(&mut coordinator, 100);
        let (Phase::RolledBack { reason, .. } | Phase::Stopped { reason }) = &phase else {
            panic!("{phase:?}: {:?}", fleet.messages)
        };
        assert_eq!(*reason, format!("s{first} gone since the change"));
        assert_eq!(fleet.ever_changed, [first].into());
    }
}

/// Guards against a missing time that begins anew whenever an unchanged server is missing for a moment.
#[test]
fn an_unchanged_server_that_comes_and_goes_does_not_hide_a_changed_server_that_is_gone() {
    let mut fleet = Fleet::new(6, Change::None, 81);
    let mut coordinator = begin(plan());
    let first = run_until_first_stage_bakes(&mut fleet, &mut coordinator);
    let other = (first + 1) % 6;
    forget(&mut fleet, first);
    for interval in 0..60 {
        fleet.servers[other].is_missing = interval % 4 == 0;
        fleet.settled = 0;
        fleet.run(&mut coordinator, 1);
    }
    let reason = format!("s{first} gone since the change");
    let rolls_back = fleet.messages.iter().any(|message| *message == format!("rolls back: {reason}"));
    assert!(rolls_back, "{:?}", fleet.messages);
    assert_eq!(fleet.ever_changed, [first].into());
}

/// Guards against a restarted coordinator that takes a changed server for one that never was there.
#[test]
fn a_restarted_coordinator_misses_a_changed_server_that_the_view_has_forgotten() {
    let mut fleet = Fleet::new(4, Change::None, 82);
    let mut coordinator = begin(plan());
    let first = run_until_first_stage_bakes(&mut fleet, &mut coordinator);
    forget(&mut fleet, first);
    drop(coordinator);
    fleet.now += 20 * SECOND;
    let mut restarted = Coordinator::new(plan(), fleet.saved.clone(), 2, fleet.now).unwrap();
    let phase = fleet.run(&mut restarted, 100);
    let Phase::RolledBack { reason, .. } = phase else { panic!("{phase:?}: {:?}", fleet.messages) };
    assert_eq!(reason, format!("s{first} gone since the change"));
}

/// Guards against a partition that is taken for the change's doing because the changed server is cut off,
/// too.
#[test]
fn a_partition_that_ends_in_time_does_not_count_against_the_changed_server() {
    let mut fleet = Fleet::new(6, Change::None, 83);
    let mut coordinator = begin(plan());
    let first = run_until_first_stage_bakes(&mut fleet, &mut coordinator);
    let other = (first + 1) % 6;
    for server in [first, other] {
        fleet.servers[server].is_missing = true;
    }
    fleet.settled = 0;
    fleet.run(&mut coordinator, 60);
    for server in [first, other] {
        fleet.servers[server].is_missing = false;
    }
    fleet.settled = 0;
    assert_eq!(fleet.run(&mut coordinator, 600), Phase::Done, "{:?}", fleet.messages);
}

/// Runs a rollback to its end, with a changed server that the view has forgotten. Asserts that the end names
/// this server, in the phase and in the message to the operator.
fn expect_named_at_the_end(fleet: &mut Fleet, coordinator: &mut Coordinator, first: usize) {
    let phase = fleet.run(coordinator, 100);
    let Phase::RolledBack { unconfirmed, .. } = phase else { panic!("{phase:?}: {:?}", fleet.messages) };
    assert_eq!(unconfirmed, vec![format!("s{first}")]);
    let last = fleet.messages.last().unwrap();
    assert!(last.ends_with(&format!("NOT CONFIRMED by s{first}")), "{last}");
}

/// Guards against a rollback that ends without naming a changed server because the view has forgotten it.
#[test]
fn a_rollback_names_a_changed_server_that_the_view_has_forgotten() {
    let mut fleet = Fleet::new(4, Change::None, 84);
    let mut coordinator = begin(plan());
    let first = run_until_first_stage_bakes(&mut fleet, &mut coordinator);
    forget(&mut fleet, first);
    expect_named_at_the_end(&mut fleet, &mut coordinator, first);
}

/// Guards against an aborted rollout that ends at once although a changed server has not gone back.
#[test]
fn an_abort_names_a_changed_server_that_the_view_has_forgotten() {
    let mut fleet = Fleet::new(4, Change::None, 85);
    let mut coordinator = begin(plan());
    let first = run_until_first_stage_bakes(&mut fleet, &mut coordinator);
    forget(&mut fleet, first);
    fleet.run(&mut coordinator, 2);
    let actions = coordinator.handle_abort(fleet.now);
    fleet.carry_out(actions);
    expect_named_at_the_end(&mut fleet, &mut coordinator, first);
}

/// Guards against a coordinator that forgets over a restart who has to go back.
#[test]
fn a_coordinator_restarted_in_a_rollback_names_a_changed_server_that_the_view_has_forgotten() {
    let mut fleet = Fleet::new(4, Change::None, 86);
    let mut coordinator = begin(plan());
    let first = run_until_first_stage_bakes(&mut fleet, &mut coordinator);
    forget(&mut fleet, first);
    let actions = coordinator.handle_abort(fleet.now);
    fleet.carry_out(actions);
    fleet.run(&mut coordinator, 5);
    drop(coordinator);
    let mut restarted = Coordinator::new(plan(), fleet.saved.clone(), 2, fleet.now).unwrap();
    expect_named_at_the_end(&mut fleet, &mut restarted, first);
}

/// Guards against a rollback that does not reach a server which returns before its end.
#[test]
fn a_forgotten_server_that_returns_during_the_rollback_goes_back() {
    let mut fleet = Fleet::new(4, Change::None, 87);
    let mut coordinator = begin(plan());
    let first = run_until_first_stage_bakes(&mut fleet, &mut coordinator);
    forget(&mut fleet, first);
    let actions = coordinator.handle_abort(fleet.now);
    fleet.carry_out(actions);
    fleet.run(&mut coordinator, 5);
    assert!(!coordinator.state().phase.has_ended(), "{:?}", fleet.messages);
    fleet.servers[first].is_down = false;
    let phase = fleet.run(&mut coordinator, 30);
    assert!(matches!(&phase, Phase::RolledBack { unconfirmed, .. } if unconfirmed.is_empty()), "{phase:?}");
    fleet.assert_none_changed();
}

/// Guards against a confirmed server that is asked for again after a restart of the coordinator, and is named
/// although it went back before it left the fleet.
#[test]
fn a_confirmation_outlasts_a_restart_of_the_coordinator() {
    let mut fleet = Fleet::new(6, Change::None, 88);
    let mut coordinator = begin(plan());
    while coordinator.state().stage < 2 || coordinator.state().phase != Phase::Baking {
        fleet.run_interval(&mut coordinator);
    }
    let mut changed = coordinator.state().changed.iter().map(|name| name[1..].parse().unwrap());
    let (gone, returned): (usize, usize) = (changed.next().unwrap(), changed.next().unwrap());
    forget(&mut fleet, gone);
    let actions = coordinator.handle_abort(fleet.now);
    fleet.carry_out(actions);
    fleet.run(&mut coordinator, 5);
    forget(&mut fleet, returned);
    drop(coordinator);
    let mut restarted = Coordinator::new(plan(), fleet.saved.clone(), 2, fleet.now).unwrap();
    expect_named_at_the_end(&mut fleet, &mut restarted, gone);
}

/// Guards against a report on an order to change that is taken for the confirmation of the rollback, because
/// it was written before the server had changed and arrived after the rollback began.
#[test]
fn a_report_on_an_order_from_before_the_rollback_does_not_confirm_it() {
    let mut fleet = Fleet::new(4, Change::None, 92);
    let mut coordinator = begin(plan());
    while coordinator.state().phase != Phase::Applying {
        fleet.run_interval(&mut coordinator);
    }
    let first = coordinator.state().changed.first().unwrap().clone();
    fleet.servers[first[1..].parse::<usize>().unwrap()].is_silent = true;
    fleet.reports.clear();
    let actions = coordinator.handle_abort(fleet.now);
    fleet.carry_out(actions);
    // The coordinator has sent one order to each server in each interval. The orders are numbered from its
    // incarnation, which is 1.
    let report = Report { order_sequence: 1 + fleet.interval, ..Report::default() };
    coordinator.handle_report(fleet.now + 1, &first, report);
    let phase = fleet.run(&mut coordinator, 100);
    let Phase::RolledBack { unconfirmed, .. } = phase else { panic!("{phase:?}: {:?}", fleet.messages) };
    assert_eq!(unconfirmed, [first]);
}

/// Guards against a report to the coordinator from before its restart that is taken for the confirmation of a
/// rollback, because both coordinators numbered their orders alike.
#[test]
fn a_report_on_an_order_from_before_a_restart_of_the_coordinator_does_not_confirm_a_rollback() {
    let mut fleet = Fleet::new(4, Change::None, 93);
    fleet.loss = 0.0;
    let mut coordinator = Coordinator::new(plan(), None, SECOND, 0).unwrap();
    fleet.run(&mut coordinator, 3);
    let delayed_reports = fleet.reports.clone();
    let first = run_until_first_stage_bakes(&mut fleet, &mut coordinator);
    fleet.servers[first].is_silent = true;
    fleet.reports.clear();
    let actions = coordinator.handle_abort(fleet.now);
    fleet.carry_out(actions);
    let mut restarted = Coordinator::new(plan(), fleet.saved.clone(), fleet.now, fleet.now).unwrap();
    fleet.run(&mut restarted, 5);
    for (_, server, report) in delayed_reports {
        restarted.handle_report(fleet.now + 1, &server, report);
    }
    expect_named_at_the_end(&mut fleet, &mut restarted, first);
}

/// Guards against a rollback that is given up because of time in which the coordinator could order nobody.
#[test]
fn time_without_the_lease_does_not_count_towards_the_end_of_a_rollback() {
    let mut fleet = Fleet::new(4, Change::None, 91);
    let mut coordinator = begin(plan());
    run_until_first_stage_bakes(&mut fleet, &mut coordinator);
    let actions = coordinator.handle_abort(fleet.now);
    fleet.carry_out(actions);
    fleet.has_lease = false;
    fleet.run(&mut coordinator, 60);
    fleet.has_lease = true;
    let phase = fleet.run(&mut coordinator, 30);
    assert!(matches!(&phase, Phase::RolledBack { unconfirmed, .. } if unconfirmed.is_empty()), "{phase:?}");
    fleet.assert_none_changed();
}

/// Guards against a rollout that is called done while a changed server has gone back to its own settings, as
/// after a restart without the file of the change.
#[test]
fn a_rollout_is_not_done_while_a_changed_server_runs_its_own_settings() {
    let mut fleet = Fleet::new(4, Change::None, 89);
    let mut coordinator = begin(plan());
    while coordinator.state().stage < 3 || coordinator.state().phase != Phase::Baking {
        fleet.run_interval(&mut coordinator);
    }
    // The last stage bakes for 20 s; the response timeout is 10 s.
    fleet.run(&mut coordinator, 14);
    fleet.servers[2].refuses = true;
    fleet.servers[2].adopted = false;
    let phase = fleet.run(&mut coordinator, 100);
    let Phase::RolledBack { reason, .. } = phase else { panic!("{phase:?}: {:?}", fleet.messages) };
    assert!(reason.starts_with("s2 refuses: "), "{reason}");
}

/// Guards against a rollout that is called done although a changed server has died, and the view has not
/// noticed it yet.
#[test]
fn a_rollout_is_not_done_while_a_changed_server_leaves_orders_unanswered() {
    let mut fleet = Fleet::new(4, Change::None, 93);
    let mut coordinator = begin(plan());
    while coordinator.state().stage < 3 || coordinator.state().phase != Phase::Baking {
        fleet.run_interval(&mut coordinator);
    }
    // The last stage bakes for 20 s.
    fleet.run(&mut coordinator, 14);
    fleet.servers[2].is_silent = true;
    let phase = fleet.run(&mut coordinator, 100);
    let Phase::RolledBack { reason, .. } = phase else { panic!("{phase:?}: {:?}", fleet.messages) };
    assert_eq!(reason, "s2 does not report that it runs what it was ordered to");
}

/// Guards against a rollout over the whole fleet that is called done without a word of a server which was
/// away when the last stage began.
#[test_case(true; "and it is back at the end")]
#[test_case(false; "and it stays away")]
fn the_end_names_a_server_that_was_away_when_the_last_stage_began(returns: bool) {
    let mut fleet = Fleet::new(4, Change::None, 90);
    let mut coordinator = begin(plan());
    while coordinator.state().stage < 2 || coordinator.state().phase != Phase::Baking {
        fleet.run_interval(&mut coordinator);
    }
    let changed = &coordinator.state().changed;
    let away = (0..4).find(|server| !changed.contains(&format!("s{server}"))).unwrap();
    forget(&mut fleet, away);
    while coordinator.state().stage < 3 || coordinator.state().phase != Phase::Baking {
        fleet.run_interval(&mut coordinator);
    }
    fleet.servers[away].is_down = !returns;
    fleet.settled = 0;
    assert_eq!(fleet.run(&mut coordinator, 100), Phase::Done, "{:?}", fleet.messages);
    assert_eq!(coordinator.state().left_out, [format!("s{away}")].into());
    let last = fleet.messages.last().unwrap();
    assert_eq!(*last, format!("done: all stages went through; NOT CHANGED: s{away}"));
}

/// Guards against a server that runs the change, cannot keep it over a restart and says so, and is taken for
/// one that complies.
#[test]
fn a_changed_server_that_refuses_does_not_comply() {
    let mut fleet = Fleet::new(4, Change::None, 94);
    let mut coordinator = begin(plan());
    let first = run_until_first_stage_bakes(&mut fleet, &mut coordinator);
    fleet.servers[first].refuses = true;
    assert!(fleet.servers[first].adopted);
    let phase = fleet.run(&mut coordinator, 300);
    let Phase::RolledBack { reason, .. } = phase else { panic!("{phase:?}: {:?}", fleet.messages) };
    assert!(reason.starts_with(&format!("s{first} refuses: ")), "{reason}");
}
