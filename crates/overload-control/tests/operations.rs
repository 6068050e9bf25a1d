//! Tests with many operations. The cost of a decision must not grow with the number of operations. Values
//! computed over all operations must follow the learned times of each operation.

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

/// Host that stores only the last health that the controller reported.
struct HealthRecorder(bool);

impl Host for HealthRecorder {
    fn start_run(&mut self, _id: u64) {}
    fn stop_run(&mut self, _id: u64) {}
    fn reject(&mut self, _id: u64, _no_retry: bool, _retry_after: Nanos) {}
    fn fail(&mut self, _id: u64) {}
    fn start_call(&mut self, _id: u64, _timeout: Nanos) {}
    fn skip_call(&mut self, _id: u64) {}
    fn remember_key(&mut self, _id: u64, _lifetime: Nanos) {}
    fn forget_key(&mut self, _id: u64) {}
    fn replay_result(&mut self, _id: u64) {}
    fn set_health(&mut self, healthy: bool, _cached: bool) {
        self.0 = healthy;
    }
    fn advertise_load(&mut self, _value: f64) {}
    fn close_idle_connections(&mut self, _after: Nanos) {}
    fn set_timer(&mut self, _after: Nanos, _timer: u32) {}
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
    let deployment = Deployment {
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
    Controller::new(deployment, 1, START, &mut HealthRecorder(true))
}

fn run_invocation(controller: &mut Controller, at: Nanos, id: u64, operation: usize, duration: Nanos) {
    let arrival = Arrival { id, operation, held_kb: 1.0, ..Arrival::default() };
    controller.on_arrival(at, arrival, &mut HealthRecorder(true));
    controller.on_run_finished(at + duration, id, Outcome::Succeeded, &mut HealthRecorder(true));
}

/// Runs several rounds of 200 invocations each and returns the duration of the fastest round. Other load on
/// the machine can only make a round slower.
fn fastest_round(operations: usize) -> Duration {
    const ROUNDS: u64 = 7;
    const RUNS: u64 = 200;
    let mut controller = controller(operations);
    let mut round = |round: u64| {
        let started = Instant::now();
        for run in 0..RUNS {
            let id = round * RUNS + run + 1;
            run_invocation(
                &mut controller,
                START + id * 10 * MILLISECOND,
                id,
                id as usize % operations,
                MILLISECOND,
            );
        }
        started.elapsed()
    };
    (0..ROUNDS).map(&mut round).min().expect("at least one round")
}

#[test]
fn decision_cost_does_not_grow_with_operations() {
    let (few, many) = (fastest_round(60), fastest_round(6_200));
    eprintln!("200 runs: {few:?} with 60 operations, {many:?} with 6,200");
    assert!(many < few * 8, "200 runs: {few:?} with 60 operations, {many:?} with 6,200");
}

/// The time limit after which a server is stalled must decrease again after the operation with the longest
/// runs has become faster. A server is stalled if no run leaves its cores for six times the longest usual
/// core time of its operations. A server without runs on its cores is not stalled.
#[test]
fn stall_time_follows_the_longest_usual_run() {
    let mut controller = controller(2);
    let (mut at, mut id) = (START, 0);
    let mut runs = |controller: &mut Controller, operation: usize, duration: Nanos| {
        for _ in 0..300 {
            id += 1;
            run_invocation(controller, at, id, operation, duration);
            at += SECOND;
        }
        at
    };
    runs(&mut controller, 0, MILLISECOND);
    runs(&mut controller, 1, 400 * MILLISECOND);
    let now = runs(&mut controller, 1, 2 * MILLISECOND);
    let stalled = Arrival { id: 1_000_000, operation: 0, held_kb: 1.0, ..Arrival::default() };
    let mut host = HealthRecorder(true);
    controller.on_arrival(now, stalled, &mut host);
    controller.on_timer(now + 10 * MILLISECOND, CONTROL_TIMER, Gauges::default(), &mut host);
    assert!(host.0, "10 ms without progress are less than six usual runs of 2 ms");
    controller.on_timer(now + 60 * MILLISECOND, CONTROL_TIMER, Gauges::default(), &mut host);
    assert!(!host.0, "60 ms without progress are 30 usual runs of 2 ms: the server has stalled");
}
