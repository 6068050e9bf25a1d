//! Runs the program with an interpreter whose cores stand still for some time. The interpreter goes on
//! accepting commands and reporting gauges, and carries out no command to stop a run.

use meadowstream_test_doubles::fleet::{FleetHarness, HarnessOptions, wait_for};
use meadowstream_test_doubles::interpreter::{InterpreterFaults, RunCounts, Survivable};
use meadowstream_test_doubles::open_loop::{self, LoadSettings, ReplyCounts};
use serde_json::{Value, json};
use std::path::Path;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};
use test_case::test_case;

const CORES: f64 = 6.0;
/// Calls per second. Each uses 0.05 to 0.3 s of core time, so that the cores are overloaded at full speed,
/// too.
const RATE: f64 = 80.0;
const START_MAX: Duration = Duration::from_secs(20);
/// Tolerance for the time in which a call is answered, as the protocol grants it.
const SLACK_MS: u64 = 100;

/// What the gauges say while the cores stand still.
#[derive(Clone, Copy, PartialEq)]
enum GaugesInTrouble {
    CountRuns,
    HideRuns,
    Unanswered,
}

/// One play: the operation, the machine, and the trouble at the interpreter.
#[derive(Clone, Copy)]
struct Case {
    effect: &'static str,
    give_up: Duration,
    preemption: &'static str,
    survivable: Survivable,
    gauges: GaugesInTrouble,
    /// Speed of the cores while they are in trouble, as a ratio of full speed.
    speed: f64,
    /// Time for which the cores are in trouble, and then for which they have full speed. The two times follow
    /// each other until the end of the play.
    troubled: Duration,
    healthy: Duration,
    /// Period at which the link is reset; `None` if the link is kept.
    resets_link: Option<Duration>,
    /// Time before each reset for which commands are read from the link and lost.
    loses_commands: Duration,
}

const WARM: Survivable =
    Survivable { ratio: 8.0, window: Duration::from_millis(1_500), cold_speed: 1.0, warm_up: Duration::ZERO };
const STANDING: Case = Case {
    effect: "repeatable",
    give_up: Duration::from_millis(600),
    preemption: "discard",
    survivable: WARM,
    gauges: GaugesInTrouble::CountRuns,
    speed: 0.0,
    troubled: Duration::from_secs(8),
    healthy: Duration::from_secs(3),
    resets_link: None,
    loses_commands: Duration::ZERO,
};
const STANDING_AND_RESET: Case = Case {
    resets_link: Some(Duration::from_millis(600)),
    loses_commands: Duration::from_millis(30),
    ..STANDING
};

const STANDING_BRIEFLY: Case =
    Case { troubled: Duration::from_millis(400), healthy: Duration::from_millis(400), ..STANDING };

struct Play {
    replies: ReplyCounts,
    most_mean: f64,
    most_load: f64,
    repeated: u64,
    begun_again: u64,
    counters: Vec<String>,
}

fn operations(effect: &str, give_up: Duration) -> Value {
    let micros = give_up.as_micros() as u64;
    json!([{"name": "load", "effect": effect, "target": micros * 4 / 5, "give-up": micros, "worth": 1.0,
        "window": micros}])
}

fn apply(case: &Case, faults: &InterpreterFaults, span: Duration) {
    match case.gauges {
        GaugesInTrouble::CountRuns => {}
        GaugesInTrouble::HideRuns => faults.hide_standing_runs(),
        GaugesInTrouble::Unanswered => faults.ignore_gauge_requests(),
    }
    let began = Instant::now();
    let mut next_reset = case.resets_link;
    while began.elapsed() < span {
        let in_cycle = began.elapsed().as_micros() % (case.troubled + case.healthy).as_micros();
        let is_troubled = in_cycle >= case.healthy.as_micros();
        faults.set_speed(if is_troubled { case.speed } else { 1.0 });
        if let (Some(at), Some(period)) = (next_reset, case.resets_link) {
            if began.elapsed() + case.loses_commands >= at {
                faults.ignore_commands();
            }
            if began.elapsed() >= at {
                faults.reset_link();
                next_reset = Some(at + period);
            }
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    faults.set_speed(1.0);
}

fn play(seed: u64, case: &Case, span: Duration) -> Play {
    let Case { effect, give_up, preemption, survivable, .. } = *case;
    let options = if effect == "by_key" { r#"<tokens field="token"/>"# } else { "" };
    let options = HarnessOptions {
        cores: CORES,
        survivable,
        options: options.to_string(),
        settings: vec![
            ("grades", operations(effect, give_up)),
            ("family-info/preemption", json!(preemption)),
        ],
        ..HarnessOptions::default()
    };
    let program = Path::new(env!("CARGO_BIN_EXE_meadowstream"));
    let mut fleet = FleetHarness::with_options(program, 1, 1, seed, options).unwrap();
    let to = wait_for(START_MAX, || fleet.listen_address(0)).expect("a started server");
    wait_for(START_MAX, || fleet.has_logged(0, "linked to the interpreter").then_some(())).expect("a link");
    let load = LoadSettings {
        rate: RATE,
        work: Duration::from_millis(50)..=Duration::from_millis(300),
        makes_calls: false,
        operations: vec!["load"],
        key_field: (effect == "by_key").then_some("token"),
        keeps_draining_connections: false,
        span,
        seed,
    };
    let load = open_loop::start_with(to, load);
    let faults = fleet.interpreter_faults(0).unwrap();
    apply(case, &faults, span);
    let replies = load.join().unwrap();
    fleet.signal_and_keep(0, "TERM").unwrap();
    let status = wait_for(START_MAX, || fleet.exit_status(0)).expect("an ended server");
    assert!(status.success(), "{status}");
    let counters = fleet.timestamped_log_lines(0).into_iter();
    let counters = counters.filter_map(|(_, fields)| fields["message"].as_str().map(str::to_string));
    let counters = counters.filter(|line| line.contains("counters:")).collect();
    let runs = fleet.run_counts(0).unwrap();
    let thousandths = |count: fn(&RunCounts) -> u64| count(&runs) as f64 / 1e3;
    Play {
        replies,
        most_mean: thousandths(|runs| runs.most_mean_thousandths.load(Relaxed)),
        most_load: thousandths(|runs| runs.most_load_thousandths.load(Relaxed)),
        repeated: runs.repeated.load(Relaxed),
        begun_again: runs.begun_again.load(Relaxed),
        counters,
    }
}

impl Play {
    fn assert_rules(&self, case: &Case) {
        let Case { effect, give_up, .. } = *case;
        let Self { replies, most_mean, most_load, repeated, begun_again, counters } = self;
        println!(
            "{effect}: at most {most_mean:.1} runs on average, {most_load:.2} of what is survived; \
             {replies:?}; {counters:?}"
        );
        assert!(*most_load <= 1.0, "{most_mean:.1} runs on the cores, {most_load:.2} of what is survived");
        assert_eq!((replies.unanswered, replies.unexpected), (0, 0), "{replies:?}");
        assert!(replies.slowest_ms <= give_up.as_millis() as u64 + SLACK_MS, "{replies:?}");
        assert!(replies.succeeded > 0, "{replies:?}");
        if effect != "repeatable" {
            assert_eq!((*repeated, *begun_again), (0, 0), "runs that began twice");
        }
    }
}

/// The mean number of runs on the cores must stay within what the machine survives, although runs that were
/// answered and told to stop are still there.
#[test_case(1, STANDING; "repeatable")]
#[test_case(2, STANDING_AND_RESET; "repeatable with resets")]
#[test_case(3, Case { effect: "by_key", ..STANDING }; "with keys")]
#[test_case(4, Case { effect: "by_key", ..STANDING_AND_RESET }; "with keys and resets")]
#[test_case(5, Case { effect: "once", ..STANDING }; "once")]
#[test_case(6, Case { effect: "once", ..STANDING_AND_RESET }; "once with resets")]
#[test_case(8, Case { effect: "once", preemption: "off", ..STANDING_AND_RESET }; "unstoppable with resets")]
#[test_case(9, Case { preemption: "freeze", ..STANDING_AND_RESET }; "paused with resets")]
#[test_case(10, Case { gauges: GaugesInTrouble::HideRuns, ..STANDING }; "hidden from the gauges")]
#[test_case(11, Case { gauges: GaugesInTrouble::Unanswered, ..STANDING_AND_RESET }; "gauges unanswered")]
#[test_case(12, Case { give_up: Duration::from_millis(300), ..STANDING }; "short deadlines")]
#[test_case(13, Case { give_up: Duration::from_millis(2_000), ..STANDING_AND_RESET }; "long deadlines")]
#[test_case(14, STANDING_BRIEFLY; "short standstills")]
#[test_case(15, Case { effect: "once", speed: 0.03, ..STANDING_AND_RESET }; "slow with resets")]
#[test_case(16, Case { survivable: Survivable { cold_speed: 0.2, warm_up: Duration::from_secs(12), ..WARM },
    ..STANDING }; "cold")]
fn standing_cores_are_not_overloaded(seed: u64, case: Case) {
    play(seed, &case, Duration::from_secs(22)).assert_rules(&case);
}

/// Runs that a killed server left on standing cores must count against what its successors start.
#[test]
fn restarted_servers_count_the_runs_of_their_predecessors() {
    const LIVES: usize = 7;
    const LIFE: Duration = Duration::from_millis(1_600);
    let options = HarnessOptions {
        cores: CORES,
        settings: vec![("grades", operations("once", Duration::from_millis(600)))],
        ..HarnessOptions::default()
    };
    let program = Path::new(env!("CARGO_BIN_EXE_meadowstream"));
    let mut fleet = FleetHarness::with_options(program, 1, 1, 7, options).unwrap();
    let mut unanswered_before_kill = 0;
    for life in 0..LIVES {
        let started = || fleet.log_lines(0, "started").get(life)?["listen"].as_str()?.parse().ok();
        let to = wait_for(START_MAX, started).expect("a started server");
        let links = || (fleet.log_lines(0, "linked to the interpreter").len() > life).then_some(());
        wait_for(START_MAX, links).expect("a link");
        let load = open_loop::start_with(
            to,
            LoadSettings {
                rate: RATE,
                work: Duration::from_millis(50)..=Duration::from_millis(300),
                makes_calls: false,
                operations: vec!["load"],
                key_field: None,
                keeps_draining_connections: false,
                span: LIFE - Duration::from_millis(100),
                seed: 70 + life as u64,
            },
        );
        std::thread::sleep(LIFE);
        fleet.interpreter_faults(0).unwrap().set_speed(0.0);
        let replies = load.join().unwrap();
        unanswered_before_kill += replies.unanswered;
        fleet.signal_and_keep(0, "KILL").unwrap();
        wait_for(START_MAX, || fleet.exit_status(0)).expect("a killed server");
        fleet.supervise().unwrap();
    }
    let runs = fleet.run_counts(0).unwrap();
    let [mean, load] = [&runs.most_mean_thousandths, &runs.most_load_thousandths]
        .map(|thousandths| thousandths.load(Relaxed) as f64 / 1e3);
    println!("{mean:.1} runs on average, {load:.2} of what is survived, {unanswered_before_kill} unanswered");
    assert_eq!(unanswered_before_kill, 0);
    assert!(load <= 1.0, "{mean:.1} runs on the cores, {load:.2} of what is survived");
}
