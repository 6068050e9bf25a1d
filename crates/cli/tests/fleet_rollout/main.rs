//! Tests of staged rollouts over six processes of the program and a coordinator, behind the fault relay and
//! under load. The servers' logs show the settings in force, the clients count the results of calls.

mod harness;
mod soak;
mod unfinished_changes;

use harness::{
    ALL, Coordinator, adoption_mark, changed_servers, ever_changed_servers, expect_all_answered,
    lock_exclusive, settings_hash, start_fleet, start_loads, write_candidate, write_next_program, write_plan,
};
use meadowstream_test_doubles::fleet::wait_for;
use meadowstream_test_doubles::open_loop::ReplyCounts;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

/// Rollout of a target utilization (`<control reference>`) far below the load. One changed server rejects
/// calls. The first stage detects the rejections and reverts this server. The other five never change.
#[test]
fn a_bad_change_is_rolled_back_in_its_first_stage() {
    let _exclusive = lock_exclusive();
    let fleet = start_fleet(41);
    write_candidate(&fleet, "<control reference=\"0.15\"/>");
    let plan = write_plan(&fleet, "too-low");
    let load = start_loads(&fleet, Duration::from_secs(22));
    std::thread::sleep(Duration::from_secs(2));
    let mut coordinator = Coordinator::start(&fleet, &plan, 6, 20);
    coordinator.wait_for_output("stage 1: all go by it", Duration::from_secs(20));
    assert_eq!(changed_servers(&fleet).len(), 1);
    let code = coordinator.wait_for_exit(Duration::from_secs(20));
    println!("{:#?}", coordinator.lines.lock().unwrap());
    assert_eq!(code, 1);
    assert!(coordinator.has_printed("rolled back: load: ") && !coordinator.has_printed("stage 2"));
    assert_eq!((ever_changed_servers(&fleet).len(), changed_servers(&fleet).len()), (1, 0));
    assert!(ALL.iter().all(|i| !adoption_mark(&fleet, *i).exists()));
    let replies = expect_all_answered(load);
    let throttled: Vec<u64> = replies.iter().map(|each| each.throttled).collect();
    assert!(ALL.iter().all(|i| fleet.repeated_runs(*i) == 0));
    println!("throttled by server: {throttled:?}, ever changed {:?}", ever_changed_servers(&fleet));
    // This plan was rolled back, so a coordinator that is started with it again exits with an error.
    let again = Coordinator::start(&fleet, &plan, 6, 5).wait_for_exit(Duration::from_secs(10));
    assert_eq!(again, 1);
}

/// A killed coordinator can be restarted and completes its rollout. The coordinator is killed during the bake
/// time of a stage, and the servers keep their settings. While this rollout runs, a second plan gets no
/// lease. A server that is killed after the rollout restarts with the changed settings.
#[test]
fn a_good_change_completes_although_the_coordinator_is_killed_and_another_plan_starts() {
    let _exclusive = lock_exclusive();
    let mut fleet = start_fleet(42);
    write_candidate(&fleet, "<control reference=\"0.88\"/>");
    let (good, other) = (write_plan(&fleet, "good"), write_plan(&fleet, "other"));
    let load = start_loads(&fleet, Duration::from_secs(45));
    std::thread::sleep(Duration::from_secs(2));
    let coordinator = Coordinator::start(&fleet, &good, 6, 20);
    coordinator.wait_for_output("stage 1: all go by it", Duration::from_secs(20));
    let mut second = Coordinator::start(&fleet, &other, 7, 4);
    assert_eq!(second.wait_for_exit(Duration::from_secs(12)), 1);
    assert!(second.has_printed("no lease on rollouts within 4s"), "{:?}", second.lines.lock().unwrap());
    coordinator.wait_for_output("stage 2 of 3", Duration::from_secs(20));
    coordinator.wait_for_output("stage 2: all go by it", Duration::from_secs(10));
    drop(coordinator);
    let before = changed_servers(&fleet);
    assert_eq!(before.len(), 3);
    // Checks that all servers agree on the settings hash of each server j: the hash that j itself logs.
    let agreed = || {
        let hash = |i: usize, j: usize| settings_hash(&fleet, i, &format!("s{j}"));
        let all = ALL.iter().all(|&i| ALL.iter().all(|&j| hash(i, j) == hash(j, j)));
        let hashes: std::collections::BTreeSet<String> = ALL.iter().map(|&j| hash(0, j)).collect();
        // The three changed servers share one hash and each unchanged server has its own: four hashes.
        (all && hashes.len() == 4 && !hashes.contains("")).then_some(())
    };
    assert!(wait_for(Duration::from_secs(8), agreed).is_some(), "{:?}", fleet.view_field(0, "runs"));
    std::thread::sleep(Duration::from_secs(1));
    let mut again = Coordinator::start(&fleet, &good, 6, 30);
    let code = again.wait_for_exit(Duration::from_secs(45));
    println!("{:#?}", again.lines.lock().unwrap());
    assert_eq!(code, 0);
    assert!(again.has_printed("goes on from its state") && !again.has_printed("stage 1"));
    assert_eq!(changed_servers(&fleet), ALL);
    let replies = expect_all_answered(load);
    println!("{replies:?}");
    // An adoption is recorded on disk, so a killed server restarts with the adopted settings. If the
    // candidate file was changed after the adoption, the server restarts with its own settings.
    assert!(ALL.iter().all(|i| adoption_mark(&fleet, *i).exists()));
    fleet.signal(4, "KILL").unwrap();
    fleet.start(4).unwrap();
    std::fs::write(fleet.folder().join("next.xml"), "another").unwrap();
    fleet.signal(5, "KILL").unwrap();
    fleet.start(5).unwrap();
    let own = wait_for(Duration::from_secs(5), || {
        let warned = |i| fleet.has_logged(i, "starts by its own settings, not by those of the change");
        (warned(5) && !warned(4)).then_some(())
    });
    assert!(own.is_some(), "s5 must not use a different candidate, and s4 must use the adopted one");
}

/// A partition during the bake time of a stage pauses the rollout: no server changes until the membership
/// view is stable again. Afterwards an abort by the operator rolls the change back.
#[test]
fn a_partition_delays_a_stage_and_an_abort_rolls_back() {
    let _exclusive = lock_exclusive();
    let fleet = start_fleet(43);
    write_candidate(&fleet, "<control reference=\"0.88\"/>");
    let plan = write_plan(&fleet, "cut");
    let load = start_loads(&fleet, Duration::from_secs(35));
    std::thread::sleep(Duration::from_secs(2));
    let mut coordinator = Coordinator::start(&fleet, &plan, 6, 20);
    coordinator.wait_for_output("stage 1: all go by it", Duration::from_secs(20));
    let first = changed_servers(&fleet);
    fleet.relay.change_faults(|f| {
        f.groups.extend([(4, 1), (5, 1)]);
        f.partition(0, 1);
    });
    coordinator.wait_for_output("view moves, nothing counts", Duration::from_secs(10));
    std::thread::sleep(Duration::from_secs(8));
    assert_eq!(changed_servers(&fleet), first, "{:?}", coordinator.lines.lock().unwrap());
    assert!(!coordinator.has_printed("stage 2"));
    fleet.relay.change_faults(|faults| faults.heal());
    coordinator.wait_for_output("stage 2 of 3", Duration::from_secs(20));
    let out = |word: &str| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_meadowstream"));
        let out = command.args(["rollout", word]).arg(&plan).output().unwrap();
        (out.status.code(), String::from_utf8_lossy(&out.stdout).to_string())
    };
    let (code, status) = out("status");
    assert_eq!(code, Some(0));
    assert!(status.contains("plan \"cut\"") && status.contains("stage 2") && status.contains("3 servers"));
    assert_eq!(out("abort").0, Some(0));
    assert_eq!(coordinator.wait_for_exit(Duration::from_secs(15)), 1);
    assert!(coordinator.has_printed("rolled back: aborted by the operator"));
    assert!(changed_servers(&fleet).is_empty());
    expect_all_answered(load);
}

/// A rollout fails if the candidate or the plan is invalid, or if the servers reject the change. Each error
/// message names the position in the file or the reason.
#[test]
fn invalid_candidates_and_plans_are_rejected_with_their_place() {
    let _exclusive = lock_exclusive();
    let fleet = start_fleet(44);
    // This candidate is invalid: the target utilization 7 is above the maximum of 1.
    write_candidate(&fleet, "<control reference=\"7\"/>");
    let run = |plan: &Path| {
        let mut coordinator = Coordinator::start(&fleet, plan, 6, 5);
        let code = coordinator.wait_for_exit(Duration::from_secs(40));
        (code, coordinator.lines.lock().unwrap().join("\n"))
    };
    let path = write_plan(&fleet, "bad");
    let (code, output) = run(&path);
    assert_eq!(code, 1);
    assert!(output.contains("line 2, <control>: reference: 7 is not within 0.05 and 1"), "{output}");
    write_candidate(&fleet, "<rollout candidate=\"x\" servers=\"3\"/><membership/>");
    assert!(run(&path).1.contains("line 2, <membership>: fleet is missing"));
    write_candidate(&fleet, "<control reference=\"0.88\"/>");
    let good = std::fs::read_to_string(&path).unwrap();
    std::fs::write(&path, good.replacen("bake-ms=\"4000\"", "bake-ms=\"0\"", 1)).unwrap();
    let (code, output) = run(&path);
    assert_eq!(code, 1);
    assert!(output.contains("line 1, <plan>: stage 1: bake-ms: at least 6 intervals"), "{output}");
    // Turning on `<tenants>` requires a restart: a server rejects the change, and no server applies it.
    std::fs::write(&path, good).unwrap();
    write_candidate(&fleet, "<tenants by=\"peer\"/>");
    let load = start_loads(&fleet, Duration::from_secs(20));
    let (code, output) = run(&path);
    println!("{output}");
    assert_eq!(code, 1);
    assert!(output.contains("refuses: tenants: telling them apart or not takes a restart"), "{output}");
    assert!(ever_changed_servers(&fleet).is_empty());
    expect_all_answered(load);
}

/// Rollout of a new program. Each server of a stage answers all calls and exits. A test double of the
/// supervisor then starts the program that the server's mark file names. If a server does not return, the
/// coordinator rolls the change back.
#[test]
fn a_program_is_rolled_out_by_restarts_and_rolled_back_if_a_server_fails() {
    let _exclusive = lock_exclusive();
    for (broken, seed) in [(false, 45), (true, 46)] {
        let mut fleet = start_fleet(seed);
        write_next_program(&fleet);
        let path = write_plan(&fleet, "program");
        let text = std::fs::read_to_string(&path)
            .unwrap()
            .replace("candidate=\"next.xml\"", "program=\"next\" warm-up-ms=\"4000\"");
        std::fs::write(&path, text).unwrap();
        let load = start_loads(&fleet, Duration::from_secs(if broken { 25 } else { 40 }));
        let mut coordinator = Coordinator::start(&fleet, &path, 6, 20);
        let (began, mut restarts) = (Instant::now(), Vec::new());
        let code = loop {
            let started =
                if broken && !restarts.is_empty() { Vec::new() } else { fleet.supervise().unwrap() };
            restarts.extend(started);
            if let Some(ended) = coordinator.child.try_wait().unwrap() {
                break ended.code();
            }
            assert!(began.elapsed() < Duration::from_secs(70), "{:#?}", coordinator.lines.lock().unwrap());
            if broken && restarts.len() == 1 {
                // Stops the first restarted server permanently (SIGSTOP), so that it reports nothing.
                fleet.signal_and_keep(restarts[0], "STOP").unwrap();
                restarts.push(restarts[0]);
            }
            std::thread::sleep(Duration::from_millis(50));
        };
        std::thread::sleep(Duration::from_millis(100));
        println!("broken {broken}: {restarts:?} {:#?}", coordinator.lines.lock().unwrap());
        let replies: Vec<ReplyCounts> = load.into_iter().map(|load| load.join().unwrap()).collect();
        println!("{replies:?}");
        // During a restart, calls fail until the new process listens and is connected to the interpreter. At
        // most one fiftieth of each server's calls may fail.
        for (i, load) in replies.iter().enumerate() {
            let stopped = broken && restarts.contains(&i);
            assert!(stopped || (load.errored + load.unanswered) * 50 <= load.sent, "s{i}: {replies:?}");
            assert_eq!(fleet.repeated_runs(i), 0);
        }
        if broken {
            assert_eq!(code, Some(1));
            assert!(!coordinator.has_printed("stage 2"));
            assert!(coordinator.has_printed("rolled back: s2 gone since the change; NOT CONFIRMED by s2"));
        } else {
            assert_eq!(code, Some(0));
            restarts.sort();
            assert_eq!(restarts, ALL);
        }
    }
}
