//! Many operations: what one decision costs does not grow with them, and what is kept of all of them at once
//! follows what each is learned to take.

use meadowstream_overload_control::controller::{CONTROL_TIMER, Controller};
use meadowstream_overload_control::{
    Advertisement, Arrival, Deployment, Downstream, Effect, Gauges, Host, Nanos, Operation, Outcome,
    Preemption,
};
use std::time::{Duration, Instant};

const START: Nanos = 1_790_000_000_000_000_000;
const MILLISECOND: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MILLISECOND;
const HOUR: Nanos = 3_600 * SECOND;
const OBJECTIVE: Nanos = 2 * SECOND;

/// Remembers whether the server was last said to be healthy.
struct Health(bool);

impl Host for Health {
    fn start_run(&mut self, _inv: u64) {}
    fn stop_run(&mut self, _inv: u64) {}
    fn reject(&mut self, _inv: u64, _no_retry: bool, _retry_after: Nanos) {}
    fn fail(&mut self, _inv: u64) {}
    fn start_call(&mut self, _inv: u64, _timeout: Nanos) {}
    fn skip_call(&mut self, _inv: u64) {}
    fn remember_key(&mut self, _inv: u64, _life: Nanos) {}
    fn forget_key(&mut self, _inv: u64) {}
    fn replay_result(&mut self, _inv: u64) {}
    fn set_health(&mut self, good: bool, _stored: bool) {
        self.0 = good;
    }
    fn advertise_load(&mut self, _value: f64) {}
    fn close_idle_connections(&mut self, _after: Nanos) {}
    fn set_timer(&mut self, _after: Nanos, _token: u32) {}
    fn log(&mut self, _line: &str) {}
}

fn controller(operations: usize) -> Controller {
    let operation = Operation {
        effect: Effect::Idempotent,
        latency_objective: OBJECTIVE,
        client_timeout: 2 * OBJECTIVE,
        idempotency_window: HOUR,
        priority_weight: 1.0,
        late_value: 0.0,
        degraded_value_ratio: 0.0,
        makes_calls: true,
    };
    let site = Deployment {
        operations: vec![operation; operations],
        tenant_allowance: Vec::new(),
        over_quota_value_ratio: 1.0,
        fair_queueing: None,
        peers: 1.0,
        callers: 1.0,
        is_downstream_tier: false,
        cores: 4.0,
        memory_kb: 1e9,
        run_memory_factor: 1.0,
        idempotency_entry_kb: 1.0,
        preemption: Preemption::Discards,
        downstream: Downstream::None,
        advertisement: Advertisement::Weight,
        retry_after_max: SECOND,
        idle_timeout_max: HOUR,
        retries_marked: false,
        drain_grace: SECOND,
        answer_grace: 50 * MILLISECOND,
        survivable_concurrency_ratio: 4.0,
        starts_cold: false,
        cold_speed_ratio: 1.0,
        target_utilization: 0.9,
        warm_up: 1,
    };
    Controller::new(site, 1, START, &mut Health(true))
}

fn run_one(controller: &mut Controller, at: Nanos, id: u64, operation: usize, took: Nanos) {
    let arrival = Arrival { id, operation, held_kb: 1.0, ..Arrival::default() };
    controller.on_arrival(at, arrival, &mut Health(true));
    controller.on_run_finished(at + took, id, Outcome::Succeeded, &mut Health(true));
}

/// The quickest of a few rounds: what else the machine does only makes some of them slower.
fn quickest_round(operations: usize) -> Duration {
    const ROUNDS: u64 = 7;
    const RUNS: u64 = 200;
    let mut controller = controller(operations);
    let mut round = |round: u64| {
        let began = Instant::now();
        for run in 0..RUNS {
            let id = round * RUNS + run + 1;
            run_one(
                &mut controller,
                START + id * 10 * MILLISECOND,
                id,
                id as usize % operations,
                MILLISECOND,
            );
        }
        began.elapsed()
    };
    (0..ROUNDS).map(&mut round).min().expect("rounds")
}

#[test]
fn a_decision_costs_the_same_with_thousands_of_operations() {
    let (few, many) = (quickest_round(60), quickest_round(6_200));
    eprintln!("200 runs: {few:?} with 60 operations, {many:?} with 6,200");
    assert!(many < few * 8, "200 runs: {few:?} with 60 operations, {many:?} with 6,200");
}

/// Runs are taken to stand still after six times the longest usual one; that follows an operation that was
/// the longest and is no more.
#[test]
fn the_stall_time_falls_with_the_longest_usual_run() {
    let mut controller = controller(2);
    let (mut at, mut id) = (START, 0);
    let mut runs = |controller: &mut Controller, operation: usize, took: Nanos| {
        for _ in 0..300 {
            id += 1;
            run_one(controller, at, id, operation, took);
            at += SECOND;
        }
        at
    };
    runs(&mut controller, 0, MILLISECOND);
    runs(&mut controller, 1, 400 * MILLISECOND);
    let now = runs(&mut controller, 1, 2 * MILLISECOND);
    let stuck = Arrival { id: 1_000_000, operation: 0, held_kb: 1.0, ..Arrival::default() };
    let mut host = Health(true);
    controller.on_arrival(now, stuck, &mut host);
    controller.on_timer(now + 10 * MILLISECOND, CONTROL_TIMER, Gauges::default(), &mut host);
    assert!(host.0, "ten milliseconds are under six times two");
    controller.on_timer(now + 60 * MILLISECOND, CONTROL_TIMER, Gauges::default(), &mut host);
    assert!(!host.0, "sixty milliseconds are thirty usual runs: nothing moves");
}
