//! Runs the scenario files against the program on the loopback interface. Test doubles replace the peers of
//! the program. The test doubles and the notation of scenario files are in scenario_harness/.

mod scenario_harness;

use scenario_harness::ScenarioHarness;
use std::time::{Duration, Instant};
use test_case::test_case;

#[test_case("answers_in_any_order")]
#[test_case("health_at_any_time")]
#[test_case("bad_calls")]
#[test_case("made_up_calls")]
#[test_case("malformed")]
#[test_case("split_at_every_byte")]
#[test_case("calls_out")]
#[test_case("call_broken_halfway")]
#[test_case("call_refused")]
#[test_case("call_given_up")]
#[test_case("call_held_up_by_a_stop")]
#[test_case("link_lost")]
#[test_case("link_lost_slow_replay")]
#[test_case("link_lost_at_a_call")]
#[test_case("link_sends_rubbish")]
#[test_case("command_not_done")]
#[test_case("late_result")]
#[test_case("half_closed")]
#[test_case("reset")]
#[test_case("slow_reader")]
#[test_case("descriptors_gone")]
#[test_case("connections_full")]
#[test_case("calls_wait_for_descriptors")]
#[test_case("idle_connection")]
#[test_case("idle_gives_way")]
#[test_case("silent")]
#[test_case("drain")]
#[test_case("drain_late")]
#[test_case("drain_while_callers_come")]
#[test_case("drain_takes_the_backlog")]
#[test_case("drain_before_the_banner")]
#[test_case("drain_then_the_first_link")]
#[test_case("log_unread")]
#[test_case("killed_and_started_again")]
#[test_case("catalog")]
#[test_case("gauges_late")]
#[test_case("adds_up")]
#[test_case("reload")]
#[test_case("reload_many_tenants")]
#[test_case("reload_before_the_link")]
#[test_case("cannot_be_served")]
#[test_case("tenants")]
#[test_case("tenants_faulty")]
#[test_case("tokens")]
#[test_case("tokens_full")]
#[test_case("tokens_killed")]
#[test_case("mixed_shapes")]
#[test_case("shared_shape")]
#[test_case("other_customers")]
#[test_case("token_clock_behind")]
#[test_case("token_of_what_never_ran")]
#[test_case("link_accepts_and_says_nothing")]
#[test_case("link_goes_silent")]
#[test_case("link_dialled_slowly")]
#[test_case("link_after_a_dial_given_up")]
#[test_case("interpreter_anew")]
#[test_case("call_dial_hangs")]
#[test_case("close_over_unread")]
#[test_case("descriptors_gone_discovery_down")]
#[test_case("signals_cross")]
#[test_case("call_as_idle_ends")]
#[test_case("link_lost_as_a_keyed_run_ends")]
#[test_case("link_lost_as_a_run_ends")]
#[test_case("link_lost_before_the_next_call")]
#[test_case("link_lost_with_a_run")]
#[test_case("link_lost_with_a_reply")]
#[test_case("link_lost_with_run_and_notice")]
#[test_case("link_lost_with_old_notices")]
#[test_case("token_outlives_its_run")]
fn scenario(name: &str) {
    let path = format!("{}/tests/scenarios/{name}.txt", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{path}: {e}"));
    scenario_harness::run(name, &text);
}

/// Ways in which the interpreter may react to the restart of a server. Each item is a list of scenario steps
/// that ends when the interpreter has sent a complete banner, its first message on a link.
const INTERPRETER_STEPS: [&[&str]; 5] = [
    // The interpreter replies immediately.
    &["link 0", "banner cold"],
    // The interpreter first accepts one or more links on which it sends no complete banner.
    &["link 0", "link 0", "banner cold"],
    &["link 0", "half-a-banner", "link 0", "link 0", "banner cold"],
    // The interpreter's accept queue is full at first, so the server's first connection attempts get no
    // answer.
    &["waits 3200", "vm takes", "link 0", "banner cold"],
    // The interpreter is slow to start. It accepts two links and sends its banner only on the second link.
    &["waits 3000", "link 0", "link 0", "banner cold"],
];

/// Kills twenty servers while a call is in flight and restarts each at its old address. Each entry of
/// [`INTERPRETER_STEPS`] is used for four servers.
#[test]
fn nine_in_ten_restarted_servers_are_ready_within_10_s() {
    let restart = |i: usize| {
        let interpreter_steps = INTERPRETER_STEPS[i % INTERPRETER_STEPS.len()];
        let mut harness = ScenarioHarness::new(&format!("restart_{i}"));
        let mut run = |steps: &[&str]| steps.iter().for_each(|step| harness.step(step));
        run(&["start", "link 0", "banner warm", "open A", "call A 1 load x", "told APPLY 1 x", "kill"]);
        if interpreter_steps.contains(&"vm takes") {
            run(&["vm full"]);
        }
        let began = Instant::now();
        run(&["start again"]);
        run(interpreter_steps);
        run(&["open B", "call B 2 load y", "told APPLY 2 y", "ok 1 2 z", "hears B 2 good z"]);
        began.elapsed()
    };
    let restarts: Vec<_> = (0..20).map(|i| std::thread::spawn(move || restart(i))).collect();
    let times = restarts.into_iter().map(|thread| thread.join().unwrap_or(Duration::MAX));
    let mut times: Vec<Duration> = times.collect();
    times.sort();
    println!("ready after {times:?}");
    assert!(times[17] <= Duration::from_secs(10), "ready after {times:?}");
}

/// A way in which a run is lost with its link, so that the interpreter never reports the run.
struct LostRun {
    /// Number of links that are lost, each with one run.
    links: usize,
    /// Steps before the start of the server.
    setup: &'static [&'static str],
    /// Steps that lose one run. `%` stands for the tag of its call.
    steps: &'static [&'static str],
    /// Counter of the runs that have ended in this way.
    ended: &'static str,
}

const LOST_RUNS: [LostRun; 3] = [
    LostRun {
        links: 45,
        setup: &["config settings/grades/1/effect \"once\""],
        steps: &[
            "call A % store x",
            "told APPLY % x",
            "unlink",
            "link 0",
            "banner warm",
            "hears A % broken",
            "told BREAK %",
        ],
        ended: "runs_given_up",
    },
    LostRun {
        links: 45,
        setup: &[
            "options <tokens field=\"token\"/>",
            "config settings/grades/1/effect \"by_key\"",
            "config settings/grades/1/window 8000000",
        ],
        steps: &[
            "call A % store x other=1,ref=0000abc000000%,since=NOW,sender=4,room=2.5,token=t%",
            "any-told APPLY",
            "unlink",
            "link 0",
            "banner warm",
            "hears A % broken",
            "any-told BREAK",
        ],
        ended: "runs_given_up",
    },
    // An idempotent run is started again. This time, too, nothing is reported. The next gauge response shows
    // that the run is over.
    LostRun {
        links: 10,
        setup: &[],
        steps: &[
            "call A % store x",
            "told APPLY % x",
            "unlink",
            "link 0",
            "banner warm",
            "told APPLY % x",
            "hears A % refused",
            "told BREAK %",
            "waits 600",
        ],
        ended: "runs_ended",
    },
];

/// Runs that were lost with a hundred links must not be counted as running for ever. Otherwise fewer and
/// fewer invocations could run.
#[test]
fn runs_lost_with_a_hundred_links_leave_nothing_behind() {
    let lose_runs = |(i, lost): (usize, LostRun)| {
        let mut harness = ScenarioHarness::new(&format!("lost_runs_{i}"));
        let mut run = |steps: &[&str]| steps.iter().for_each(|step| harness.step(step));
        run(&["config settings/grades/1/target 150000", "config settings/grades/1/give-up 200000"]);
        run(&["config settings/family-info/cores 8"]);
        run(lost.setup);
        run(&["start", "link 0", "banner warm", "open A"]);
        for tag in 101..101 + lost.links {
            lost.steps.iter().for_each(|step| run(&[&step.replace('%', &tag.to_string())]));
        }
        run(&[&format!("counts {} {}", lost.ended, lost.links)]);
        // All cores are free for other runs.
        for tag in 1..=8 {
            run(&[&format!("call A {tag} load x"), &format!("told APPLY {tag} x")]);
        }
        for tag in 1..=8 {
            run(&[&format!("ok {tag} {tag} y"), &format!("hears A {tag} good y")]);
        }
        assert_eq!(harness.counter("runs_sent") as usize, lost.links + 8);
        assert_eq!(
            harness.counter("runs_ended") + harness.counter("runs_given_up"),
            harness.counter("runs_sent")
        );
    };
    let losses: Vec<_> =
        LOST_RUNS.into_iter().enumerate().map(|case| std::thread::spawn(move || lose_runs(case))).collect();
    losses.into_iter().for_each(|thread| thread.join().expect("nothing is left behind"));
}
