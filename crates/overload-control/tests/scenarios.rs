//! Plays the scenario files against the controller alone. The notation, a line a step:
//!
//! - first `site NAME VALUE` to change the deployment, `operation NAME=VALUE ...` (a patient one where none
//!   is given) and `tenant PER_SECOND` to add one; the server starts with what comes next.
//! - `busy X` and `wanting X` set gauges; `wait MS` lets time pass; `repeat N STEP`, `repeat N` ... `end`.
//! - `arrive NAME=VALUE ...` (ids count from 1), `finish ID|all|first [ok|error|cancelled]`,
//!   `needs ID`, `called ID ok|error|unknown|never_ran [MS]`, `leave MS`, `gone ID`.
//! - `expect WHAT [opN|ID] = | < | > NUMBER` counts results since the start or the last `forget`.
//!   WHAT is run, throttle, promise,
//!   give_up, answer, stop, call, remember, forget, reuse, unhealthy, advert (its
//!   last value in hundredths), away (longest advice in ms), last (throttled ones that are not to be tried
//!   elsewhere), patience (ms of the last call's time-out), idle (ms that idle connections may stay), most
//!   (runs open at once).

use meadowstream_overload_control::{
    Advertisement, Arrival, Deployment, Downstream, Effect, Gauges, Host, Nanos, Operation, Outcome,
    Preemption, Sender, controller::Controller,
};
use std::collections::BTreeMap;
use test_case::test_case;

const MS: Nanos = 1_000_000;

#[derive(Default)]
struct Recorder {
    now: Nanos,
    results: Vec<(&'static str, u64)>,
    wakes: Vec<(Nanos, u32)>,
    running: Vec<u64>,
    most: usize,
    away: Nanos,
    advert: f64,
    idle: Nanos,
    patience: Nanos,
    /// Calls that the fleet's budget has used up here, of how many, where there is one.
    out: usize,
    room: Option<usize>,
}

impl Recorder {
    fn note(&mut self, what: &'static str, inv: u64) {
        self.results.push((what, inv));
    }

    fn answered(&mut self, what: &'static str, inv: u64) {
        self.note(what, inv);
        self.note("answer", inv);
    }
}

macro_rules! noted {
    ($($method:ident $word:literal)*) => { $(fn $method(&mut self, inv: u64) { self.note($word, inv); })* };
}

impl Host for Recorder {
    noted! { stop_run "stop" skip_call "skip_call" forget_key "forget" replay_result "reuse" }
    fn start_run(&mut self, inv: u64) {
        assert!(!self.running.contains(&inv), "{inv} runs already");
        self.running.push(inv);
        self.most = self.most.max(self.running.len());
        self.note("run", inv);
    }
    fn reject(&mut self, inv: u64, no_retry: bool, retry_after: Nanos) {
        if no_retry {
            self.note("last", inv);
        }
        self.away = self.away.max(retry_after);
        self.answered("throttle", inv);
    }
    fn promise_admission(&mut self, inv: u64, _ticket: u64) {
        self.note("promise", inv);
    }
    fn fail(&mut self, inv: u64) {
        self.answered("give_up", inv);
    }
    fn may_start_call(&mut self, _inv: u64, _waiting: usize) -> bool {
        self.room.is_none_or(|room| self.out < room)
    }
    fn start_call(&mut self, inv: u64, timeout: Nanos) {
        self.out += 1;
        self.patience = timeout;
        self.note("call", inv);
    }
    fn remember_key(&mut self, inv: u64, _life: Nanos) {
        self.note("remember", inv);
    }
    fn set_health(&mut self, good: bool, _stored: bool) {
        self.note(if good { "healthy" } else { "unhealthy" }, 0);
    }
    fn advertise_load(&mut self, value: f64) {
        self.advert = value;
    }
    fn close_idle_connections(&mut self, after: Nanos) {
        self.idle = after;
    }
    fn set_timer(&mut self, after: Nanos, token: u32) {
        self.wakes.push((self.now + after, token));
    }
    fn log(&mut self, _line: &str) {}
}

struct Stage {
    site: Deployment,
    controller: Option<Controller>,
    seen: Recorder,
    busy: f64,
    wanting: f64,
    operations: BTreeMap<u64, usize>,
}

fn number(text: &str) -> f64 {
    text.parse().unwrap_or_else(|_| panic!("not a number: {text}"))
}

fn ending(text: &str) -> Outcome {
    match text {
        "ok" => Outcome::Succeeded,
        "error" => Outcome::Failed,
        "unknown" => Outcome::Unknown,
        "never_ran" => Outcome::NeverRan,
        "cancelled" => Outcome::Cancelled,
        other => panic!("unknown ending {other}"),
    }
}

/// What stands after `name=` among the words.
fn given<'a>(words: &[&'a str], name: &str) -> Option<&'a str> {
    words.iter().find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
}

impl Stage {
    fn new() -> Self {
        let site = Deployment {
            operations: Vec::new(),
            tenant_allowance: Vec::new(),
            over_quota_value_ratio: 0.1,
            fair_queueing: None,
            peers: 1.0,
            callers: 1.0,
            is_downstream_tier: false,
            cores: 4.0,
            memory_kb: 1e6,
            run_memory_factor: 10.0,
            idempotency_entry_kb: 50.0,
            preemption: Preemption::Discards,
            downstream: Downstream::Tier,
            advertisement: Advertisement::None,
            retry_after_max: 1000 * MS,
            idle_timeout_max: 15_000 * MS,
            retries_marked: false,
            drain_grace: 1000 * MS,
            answer_grace: 50 * MS,
            survivable_concurrency_ratio: 5.0,
            starts_cold: false,
            cold_speed_ratio: 0.2,
            target_utilization: 0.9,
            warm_up: 10_000 * MS,
        };
        Self {
            site,
            controller: None,
            seen: Recorder::default(),
            busy: 0.5,
            wanting: 0.0,
            operations: BTreeMap::new(),
        }
    }

    fn tune(&mut self, name: &str, value: &str) {
        let site = &mut self.site;
        match name {
            "peers" => site.peers = number(value),
            "cores" => site.cores = number(value),
            "entry_kb" => site.idempotency_entry_kb = number(value),
            "memory_kb" => site.memory_kb = number(value),
            "crowd" => site.survivable_concurrency_ratio = number(value),
            "cold" => site.starts_cold = value == "yes",
            "called" => site.is_downstream_tier = value == "yes",
            "marks" => site.retries_marked = value == "yes",
            "pauses" => site.preemption = Preemption::Pauses,
            "callers" => site.callers = number(value),
            "fair" => site.fair_queueing = Some(meadowstream_fair_queueing::Settings::default()),
            "weight" => site.advertisement = Advertisement::Weight,
            "dependency" => {
                site.downstream =
                    Downstream::Shared { quota: number(value), linger: 200 * MS, window: 5000 * MS }
            }
            other => panic!("unknown site value {other}"),
        }
    }

    fn add_operation(&mut self, words: &[&str]) {
        let get = |name: &str, absent: f64| given(words, name).map_or(absent, number);
        self.site.operations.push(Operation {
            effect: match given(words, "effect").unwrap_or("idempotent") {
                "idempotent" => Effect::Idempotent,
                "tokened" => Effect::IdempotentWithKey,
                "non-idempotent" => Effect::NonIdempotent,
                other => panic!("unknown effect {other}"),
            },
            latency_objective: get("objective", 1000.0) as Nanos * MS,
            client_timeout: get("timeout", 3000.0) as Nanos * MS,
            idempotency_window: 5000 * MS,
            priority_weight: get("value", 1.0),
            late_value: get("late", 0.0),
            degraded_value_ratio: get("without", 0.0),
            makes_calls: given(words, "calls") != Some("no"),
        });
    }

    fn wait(&mut self, span: Nanos) {
        let end = self.seen.now + span;
        while let Some(next) = self.seen.wakes.iter().copied().filter(|(at, _)| *at <= end).min() {
            self.seen.wakes.retain(|wake| *wake != next);
            self.seen.now = next.0;
            let controller = self.controller.as_mut().expect("started");
            let gauges = Gauges { utilization: Some(self.busy), runnable: Some(self.wanting) };
            controller.on_timer(next.0, next.1, gauges, &mut self.seen);
        }
        self.seen.now = end;
    }

    fn step(&mut self, words: &[&str]) {
        match words[0] {
            "site" => self.tune(words[1], words[2]),
            "operation" => self.add_operation(&words[1..]),
            "tenant" => self.site.tenant_allowance.push(number(words[1])),
            "busy" => self.busy = number(words[1]),
            "wanting" => self.wanting = number(words[1]),
            "room" => self.seen.room = Some(number(words[1]) as usize),
            "forget" => self.seen.results.clear(),
            "expect" => self.expect(&words[1..]),
            _ => {
                if self.site.operations.is_empty() {
                    self.add_operation(&["objective=9000", "timeout=20000"]);
                }
                if self.controller.is_none() {
                    self.controller = Some(Controller::new(self.site.clone(), 7, 0, &mut self.seen));
                }
                self.happens(words);
            }
        }
    }

    fn happens(&mut self, words: &[&str]) {
        if words[0] == "wait" {
            return self.wait(number(words[1]) as Nanos * MS);
        }
        let now = self.seen.now;
        let id = || number(words[1]) as u64;
        let controller = self.controller.as_mut().expect("started");
        match words[0] {
            "arrive" => {
                let get = |name: &str, absent: f64| given(words, name).map_or(absent, number);
                let arrival = Arrival {
                    id: self.operations.len() as u64 + 1,
                    operation: get("op", 0.0) as usize,
                    tenant: get("tenant", 0.0) as usize,
                    sender: given(words, "name")
                        .map(|name| Sender { tenant: name.into(), ..Sender::default() }),
                    age: get("age", 0.0) as Nanos * MS,
                    remaining_deadline: given(words, "patience").map(|text| number(text) as Nanos * MS),
                    repeats: given(words, "repeats").map(|text| number(text) as u64),
                    key_not_stored: given(words, "unkept").is_some(),
                    is_marked_retry: given(words, "retry").is_some(),
                    held_kb: get("kb", 10.0),
                    cost_hint: given(words, "hint").map(|text| number(text) as Nanos * MS),
                };
                self.operations.insert(arrival.id, arrival.operation);
                controller.on_arrival(now, arrival, &mut self.seen);
            }
            "finish" => {
                let ending = ending(words.get(2).unwrap_or(&"ok"));
                let which: Vec<u64> = match words[1] {
                    "all" => self.seen.running.clone(),
                    "first" => self.seen.running.first().copied().into_iter().collect(),
                    _ => vec![id()],
                };
                for id in which {
                    self.seen.running.retain(|other| *other != id);
                    if ending != Outcome::Cancelled && !self.seen.results.contains(&("answer", id)) {
                        self.seen.note("answer", id);
                    }
                    controller.on_run_finished(now, id, ending, &mut self.seen);
                }
            }
            "needs" => controller.on_call_needed(now, id(), &mut self.seen),
            "called" => {
                self.seen.out -= 1;
                let took = words.get(3).map_or(MS, |ms| number(ms) as Nanos * MS);
                controller.on_call_finished(now, id(), ending(words[2]), took, &mut self.seen);
            }
            "leave" => controller.on_drain_notice(now, now, number(words[1]) as Nanos * MS, &mut self.seen),
            "gone" => controller.on_caller_gone(now, id(), &mut self.seen),
            other => panic!("unknown step {other}"),
        }
    }

    fn expect(&self, words: &[&str]) {
        let (what, of, compare, wanted) = match words {
            [what, compare, wanted] => (*what, "", *compare, number(wanted)),
            [what, of, compare, wanted] => (*what, *of, *compare, number(wanted)),
            _ => panic!("expect {words:?}"),
        };
        let meant = |inv: u64| match of.strip_prefix("op") {
            Some(operation) => self.operations.get(&inv) == Some(&(number(operation) as usize)),
            None => of.is_empty() || number(of) as u64 == inv,
        };
        let found = match what {
            "advert" => (self.seen.advert * 100.0).round(),
            "away" => (self.seen.away / MS) as f64,
            "patience" => (self.seen.patience / MS) as f64,
            "idle" => (self.seen.idle / MS) as f64,
            "most" => self.seen.most as f64,
            _ => self.seen.results.iter().filter(|(is, inv)| *is == what && meant(*inv)).count() as f64,
        };
        let holds = match compare {
            "=" => found == wanted,
            "<" => found < wanted,
            ">" => found > wanted,
            other => panic!("unknown comparison {other}"),
        };
        assert!(holds, "expected {words:?}, found {found}");
    }

    fn play(&mut self, lines: &[Vec<&str>]) {
        let mut i = 0;
        while i < lines.len() {
            if lines[i][0] == "repeat" && lines[i].len() > 2 {
                (0..number(lines[i][1]) as usize).for_each(|_| self.step(&lines[i][2..]));
            } else if lines[i][0] == "repeat" {
                let end = i + lines[i..].iter().position(|line| line[0] == "end").expect("repeat has an end");
                for _ in 0..number(lines[i][1]) as usize {
                    self.play(&lines[i + 1..end]);
                }
                i = end;
            } else {
                self.step(&lines[i]);
            }
            i += 1;
        }
    }
}

#[test_case("answers_by_the_objective")]
#[test_case("regulator_steps_and_recovers")]
#[test_case("ranks_are_rejected_in_order")]
#[test_case("drain")]
#[test_case("draining_server_promises_nothing")]
#[test_case("idempotency_key_runs_once")]
#[test_case("non_idempotent_calls_are_not_repeated")]
#[test_case("memory_limit")]
#[test_case("concurrency_while_warming_up")]
#[test_case("failing_runs_keep_arrivals_away")]
#[test_case("stalled_server_rejects")]
#[test_case("backlog_raises_the_refusal_ratio")]
#[test_case("flooded_by_reading")]
#[test_case("retries_elsewhere_end")]
#[test_case("call_without_answer_times_out_and_is_retried")]
#[test_case("downstream_tier_rejects_last")]
#[test_case("tenant_over_its_quota_is_rejected_first")]
#[test_case("advertised_weight_while_warming_up")]
#[test_case("reading_takes_part_of_the_concurrency_limit")]
#[test_case("shared_dependency_budget")]
#[test_case("failed_call_is_skipped")]
#[test_case("saturated_calls_spare_operations_without_calls")]
#[test_case("withheld_calls_wait")]
#[test_case("withheld_call_is_skipped")]
#[test_case("budget_is_kept_for_the_top_rank")]
#[test_case("call_without_budget_is_skipped")]
#[test_case("idempotency_key_cancelled_run_goes_on")]
#[test_case("idempotency_key_of_a_cancelled_pending_one_is_forgotten")]
#[test_case("drain_with_idempotency_keys")]
#[test_case("shared_dependency_mean_over_windows")]
#[test_case("run_that_ends_during_its_call_returns_budget")]
#[test_case("idempotency_key_repeat_waits_in_each_state")]
#[test_case("cancellation_in_each_state")]
#[test_case("idempotency_keys_fill_memory")]
#[test_case("idempotency_key_not_stored_is_rejected")]
#[test_case("new_server_of_a_growing_fleet")]
#[test_case("idempotency_key_repeats_never_run")]
#[test_case("idle_connections_of_few_callers_stay")]
#[test_case("idle_connections_of_many_callers_close")]
#[test_case("cost_hint_lengthens_the_call_timeout")]
#[test_case("draining_server_of_many_wants_no_arrivals")]
fn scenario(name: &str) {
    let path = format!("{}/tests/scenarios/{name}.txt", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{path}: {e}"));
    let words = |line: &'static str| line.split_whitespace().collect::<Vec<_>>();
    let text: &'static str = text.leak();
    let lines: Vec<_> =
        text.lines().filter(|line| !line.is_empty() && !line.starts_with('#')).map(words).collect();
    Stage::new().play(&lines);
}
