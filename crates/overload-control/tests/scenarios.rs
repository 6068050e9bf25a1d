//! Runs the scenario files against a controller with a simulated host. Each line of a file is one step:
//!
//! - `site NAME VALUE` changes the deployment, `operation NAME=VALUE ...` adds an operation (by default
//!   there is one with long deadlines), and `tenant PER_SECOND` adds a tenant. The controller is created
//!   at the first `wait` or event.
//! - `busy X` sets the utilization gauge, `wanting X` the number of runnable threads, and `room N` the
//!   number of downstream calls that the fleet's budget permits at once.
//! - `wait MS` advances the time; `repeat N STEP` repeats one step, and `repeat N` ... `end` several.
//! - Events: `arrive NAME=VALUE ...` (ids are assigned from 1), `finish ID|all|first
//!   [ok|error|cancelled]`, `unconfirmed ID` (the command that started or resumed a run may have been
//!   lost), `unstopped ID` (the command to stop a run was received and no end of the run was reported),
//!   `predecessor` (an earlier process may have left runs on the cores; before all other events), `needs
//!   ID` (a run has reached its downstream call), `called ID ok|error|unknown|never_ran [MS]` (the call
//!   has ended), `leave MS` (drain notice) and `gone ID` (the caller cancelled).
//! - `expect WHAT [opN|ID] = | < | > NUMBER` compares the number of actions since the start or the last
//!   `forget` step, for one operation or invocation if given. WHAT is an action: run, throttle, promise,
//!   give_up, answer, stop, restart, abandon, call, remember, forget, reuse, healthy, unhealthy, or last
//!   (rejections that advise against a retry elsewhere). WHAT may also be a value: advert (last advertised
//!   load, hundredths), away (longest Retry-After, ms), patience (timeout of the last call, ms), idle
//!   (timeout of idle connections, ms) or most (maximum number of concurrent runs).

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
    actions: Vec<(&'static str, u64)>,
    timers: Vec<(Nanos, u32)>,
    running: Vec<u64>,
    running_max: usize,
    retry_after_max: Nanos,
    advertised_load: f64,
    idle_timeout: Nanos,
    call_timeout: Nanos,
    /// Number of downstream calls that the simulated host has in progress.
    open_calls: usize,
    /// Maximum number of concurrent calls that the fleet's budget permits; `None` without a budget.
    call_limit: Option<usize>,
}

impl Recorder {
    fn record(&mut self, action: &'static str, id: u64) {
        self.actions.push((action, id));
    }

    fn record_answer(&mut self, action: &'static str, id: u64) {
        self.record(action, id);
        self.record("answer", id);
    }
}

macro_rules! record_actions {
    ($($method:ident $word:literal)*) => { $(fn $method(&mut self, id: u64) { self.record($word, id); })* };
}

impl Host for Recorder {
    record_actions! { stop_run "stop" restart_run "restart" abandon_run "abandon" skip_call "skip_call" }
    record_actions! { forget_key "forget" replay_result "reuse" }
    fn start_run(&mut self, id: u64) {
        assert!(!self.running.contains(&id), "invocation {id} is already running");
        self.running.push(id);
        self.running_max = self.running_max.max(self.running.len());
        self.record("run", id);
    }
    fn reject(&mut self, id: u64, no_retry: bool, retry_after: Nanos) {
        if no_retry {
            self.record("last", id);
        }
        self.retry_after_max = self.retry_after_max.max(retry_after);
        self.record_answer("throttle", id);
    }
    fn promise_admission(&mut self, id: u64, _ticket: u64) {
        self.record("promise", id);
    }
    fn fail(&mut self, id: u64) {
        self.record_answer("give_up", id);
    }
    fn may_start_call(&mut self, _id: u64, _waiting: usize) -> bool {
        self.call_limit.is_none_or(|limit| self.open_calls < limit)
    }
    fn start_call(&mut self, id: u64, timeout: Nanos) {
        self.open_calls += 1;
        self.call_timeout = timeout;
        self.record("call", id);
    }
    fn remember_key(&mut self, id: u64, _lifetime: Nanos) {
        self.record("remember", id);
    }
    fn set_health(&mut self, healthy: bool, _cached: bool) {
        self.record(if healthy { "healthy" } else { "unhealthy" }, 0);
    }
    fn advertise_load(&mut self, value: f64) {
        self.advertised_load = value;
    }
    fn close_idle_connections(&mut self, after: Nanos) {
        self.idle_timeout = after;
    }
    fn set_timer(&mut self, after: Nanos, timer: u32) {
        self.timers.push((self.now + after, timer));
    }
    fn log(&mut self, _line: &str) {}
}

struct Scenario {
    deployment: Deployment,
    controller: Option<Controller>,
    host: Recorder,
    utilization: f64,
    runnable: f64,
    operations: BTreeMap<u64, usize>,
}

fn number(text: &str) -> f64 {
    text.parse().unwrap_or_else(|_| panic!("not a number: {text}"))
}

fn outcome(text: &str) -> Outcome {
    match text {
        "ok" => Outcome::Succeeded,
        "error" => Outcome::Failed,
        "unknown" => Outcome::Unknown,
        "never_ran" => Outcome::NeverRan,
        "cancelled" => Outcome::Cancelled,
        other => panic!("unknown outcome {other}"),
    }
}

/// Returns `value` of the word `name=value` in a step.
fn value_of<'a>(words: &[&'a str], name: &str) -> Option<&'a str> {
    words.iter().find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
}

impl Scenario {
    fn new() -> Self {
        let deployment = Deployment {
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
            deployment,
            controller: None,
            host: Recorder::default(),
            utilization: 0.5,
            runnable: 0.0,
            operations: BTreeMap::new(),
        }
    }

    fn configure(&mut self, name: &str, value: &str) {
        let deployment = &mut self.deployment;
        match name {
            "peers" => deployment.peers = number(value),
            "cores" => deployment.cores = number(value),
            "entry_kb" => deployment.idempotency_entry_kb = number(value),
            "memory_kb" => deployment.memory_kb = number(value),
            "crowd" => deployment.survivable_concurrency_ratio = number(value),
            "cold" => deployment.starts_cold = value == "yes",
            "called" => deployment.is_downstream_tier = value == "yes",
            "marks" => deployment.retries_marked = value == "yes",
            "pauses" => deployment.preemption = Preemption::Pauses,
            "unstoppable" => deployment.preemption = Preemption::Unsupported,
            "callers" => deployment.callers = number(value),
            "fair" => deployment.fair_queueing = Some(meadowstream_fair_queueing::Settings::default()),
            "weight" => deployment.advertisement = Advertisement::Weight,
            "dependency" => {
                deployment.downstream =
                    Downstream::Shared { quota: number(value), linger: 200 * MS, window: 5000 * MS }
            }
            other => panic!("unknown deployment value {other}"),
        }
    }

    fn add_operation(&mut self, words: &[&str]) {
        let get = |name: &str, absent: f64| value_of(words, name).map_or(absent, number);
        self.deployment.operations.push(Operation {
            effect: match value_of(words, "effect").unwrap_or("idempotent") {
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
            makes_calls: value_of(words, "calls") != Some("no"),
        });
    }

    fn wait(&mut self, duration: Nanos) {
        let end = self.host.now + duration;
        while let Some(next) = self.host.timers.iter().copied().filter(|(at, _)| *at <= end).min() {
            self.host.timers.retain(|timer| *timer != next);
            self.host.now = next.0;
            let controller = self.controller.as_mut().expect("controller exists");
            let gauges = Gauges { utilization: Some(self.utilization), runnable: Some(self.runnable) };
            controller.on_timer(next.0, next.1, gauges, &mut self.host);
        }
        self.host.now = end;
    }

    fn step(&mut self, words: &[&str]) {
        match words[0] {
            "site" => self.configure(words[1], words[2]),
            "operation" => self.add_operation(&words[1..]),
            "tenant" => self.deployment.tenant_allowance.push(number(words[1])),
            "busy" => self.utilization = number(words[1]),
            "wanting" => self.runnable = number(words[1]),
            "room" => self.host.call_limit = Some(number(words[1]) as usize),
            "forget" => self.host.actions.clear(),
            "expect" => self.expect(&words[1..]),
            _ => {
                if self.deployment.operations.is_empty() {
                    self.add_operation(&["objective=9000", "timeout=20000"]);
                }
                if self.controller.is_none() {
                    self.controller = Some(Controller::new(self.deployment.clone(), 7, 0, &mut self.host));
                }
                self.apply_event(words);
            }
        }
    }

    fn apply_event(&mut self, words: &[&str]) {
        if words[0] == "wait" {
            return self.wait(number(words[1]) as Nanos * MS);
        }
        let now = self.host.now;
        let id = || number(words[1]) as u64;
        let controller = self.controller.as_mut().expect("controller exists");
        match words[0] {
            "arrive" => {
                let get = |name: &str, absent: f64| value_of(words, name).map_or(absent, number);
                let arrival = Arrival {
                    id: self.operations.len() as u64 + 1,
                    operation: get("op", 0.0) as usize,
                    tenant: get("tenant", 0.0) as usize,
                    sender: value_of(words, "name")
                        .map(|name| Sender { tenant: name.into(), ..Sender::default() }),
                    age: get("age", 0.0) as Nanos * MS,
                    remaining_deadline: value_of(words, "patience").map(|text| number(text) as Nanos * MS),
                    repeats: value_of(words, "repeats").map(|text| number(text) as u64),
                    key_not_stored: value_of(words, "unkept").is_some(),
                    is_marked_retry: value_of(words, "retry").is_some(),
                    held_kb: get("kb", 10.0),
                    cost_hint: value_of(words, "hint").map(|text| number(text) as Nanos * MS),
                };
                self.operations.insert(arrival.id, arrival.operation);
                controller.on_arrival(now, arrival, &mut self.host);
            }
            "finish" => {
                let outcome = outcome(words.get(2).unwrap_or(&"ok"));
                let which: Vec<u64> = match words[1] {
                    "all" => self.host.running.clone(),
                    "first" => self.host.running.first().copied().into_iter().collect(),
                    _ => vec![id()],
                };
                for id in which {
                    self.host.running.retain(|other| *other != id);
                    if outcome != Outcome::Cancelled && !self.host.actions.contains(&("answer", id)) {
                        self.host.record("answer", id);
                    }
                    controller.on_run_finished(now, id, outcome, &mut self.host);
                }
            }
            "unconfirmed" => controller.on_run_unconfirmed(now, id(), &mut self.host),
            "unstopped" => controller.on_stop_unconfirmed(now, id(), &mut self.host),
            "predecessor" => controller.expect_predecessor(now),
            "needs" => controller.on_call_needed(now, id(), &mut self.host),
            "called" => {
                self.host.open_calls -= 1;
                let duration = words.get(3).map_or(MS, |ms| number(ms) as Nanos * MS);
                controller.on_call_finished(now, id(), outcome(words[2]), duration, &mut self.host);
            }
            "leave" => controller.on_drain_notice(now, now, number(words[1]) as Nanos * MS, &mut self.host),
            "gone" => controller.on_caller_gone(now, id(), &mut self.host),
            other => panic!("unknown step {other}"),
        }
    }

    fn expect(&self, words: &[&str]) {
        let (quantity, subject, compare, expected) = match words {
            [quantity, compare, expected] => (*quantity, "", *compare, number(expected)),
            [quantity, subject, compare, expected] => (*quantity, *subject, *compare, number(expected)),
            _ => panic!("expect {words:?}"),
        };
        let is_subject = |id: u64| match subject.strip_prefix("op") {
            Some(operation) => self.operations.get(&id) == Some(&(number(operation) as usize)),
            None => subject.is_empty() || number(subject) as u64 == id,
        };
        let found = match quantity {
            "advert" => (self.host.advertised_load * 100.0).round(),
            "away" => (self.host.retry_after_max / MS) as f64,
            "patience" => (self.host.call_timeout / MS) as f64,
            "idle" => (self.host.idle_timeout / MS) as f64,
            "most" => self.host.running_max as f64,
            _ => self.host.actions.iter().filter(|(name, id)| *name == quantity && is_subject(*id)).count()
                as f64,
        };
        let holds = match compare {
            "=" => found == expected,
            "<" => found < expected,
            ">" => found > expected,
            other => panic!("unknown comparison {other}"),
        };
        assert!(holds, "expected {words:?}, found {found}");
    }

    fn run(&mut self, lines: &[Vec<&str>]) {
        let mut i = 0;
        while i < lines.len() {
            if lines[i][0] == "repeat" && lines[i].len() > 2 {
                (0..number(lines[i][1]) as usize).for_each(|_| self.step(&lines[i][2..]));
            } else if lines[i][0] == "repeat" {
                let end = i + lines[i..].iter().position(|line| line[0] == "end").expect("end of repeat");
                for _ in 0..number(lines[i][1]) as usize {
                    self.run(&lines[i + 1..end]);
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
#[test_case("unconfirmed_run_frees_its_core")]
#[test_case("unconfirmed_run_is_stopped_and_runs_again")]
#[test_case("stopped_runs_stay_on_standing_cores")]
#[test_case("stops_without_effect_between_progress_exclude_a_run")]
#[test_case("runnable_threads_exclude_lingering_runs")]
#[test_case("successive_runs_exclude_one_that_cannot_be_stopped")]
#[test_case("run_started_again_keeps_its_place")]
#[test_case("standstill_lowers_the_concurrency_limit")]
#[test_case("runs_of_a_predecessor_count_until_they_are_excluded")]
#[test_case("call_budget_of_a_predecessor_is_spent")]
fn scenario(name: &str) {
    let path = format!("{}/tests/scenarios/{name}.txt", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{path}: {e}"));
    let words = |line: &'static str| line.split_whitespace().collect::<Vec<_>>();
    let text: &'static str = text.leak();
    let lines: Vec<_> =
        text.lines().filter(|line| !line.is_empty() && !line.starts_with('#')).map(words).collect();
    Scenario::new().run(&lines);
}
