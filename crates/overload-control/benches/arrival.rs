//! Benchmark of one arrival at a controller that has many pending invocations. The invocation arrives,
//! admission accepts or rejects it, and its caller cancels it.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use meadowstream_overload_control::controller::Controller;
use meadowstream_overload_control::{
    Advertisement, Arrival, Deployment, Downstream, Effect, Host, Nanos, Operation, Outcome, Preemption,
};

const START: Nanos = 1_790_000_000_000_000_000;
const HOUR: Nanos = 3_600_000_000_000;
const MS: Nanos = 1_000_000;

struct DiscardingHost;

impl Host for DiscardingHost {
    fn start_run(&mut self, _id: u64) {}
    fn stop_run(&mut self, _id: u64) {}
    fn reject(&mut self, _id: u64, _no_retry: bool, _retry_after: Nanos) {
        panic!("every invocation fits the memory and its deadline")
    }
    fn fail(&mut self, _id: u64) {}
    fn start_call(&mut self, _id: u64, _timeout: Nanos) {}
    fn skip_call(&mut self, _id: u64) {}
    fn remember_key(&mut self, _id: u64, _lifetime: Nanos) {}
    fn forget_key(&mut self, _id: u64) {}
    fn replay_result(&mut self, _id: u64) {}
    fn set_health(&mut self, _healthy: bool, _cached: bool) {}
    fn advertise_load(&mut self, _value: f64) {}
    fn close_idle_connections(&mut self, _after: Nanos) {}
    fn set_timer(&mut self, _after: Nanos, _timer: u32) {}
    fn log(&mut self, _line: &str) {}
}

fn deployment() -> Deployment {
    let operation = |priority_weight| Operation {
        effect: Effect::Idempotent,
        latency_objective: HOUR,
        client_timeout: 2 * HOUR,
        idempotency_window: HOUR,
        priority_weight,
        late_value: 0.0,
        degraded_value_ratio: 0.0,
        makes_calls: true,
    };
    Deployment {
        operations: vec![operation(1.0), operation(2.0)],
        tenant_allowance: Vec::new(),
        over_quota_value_ratio: 1.0,
        fair_queueing: None,
        peers: 1.0,
        callers: 1.0,
        is_downstream_tier: false,
        cores: 1.0,
        memory_kb: 1e9,
        run_memory_factor: 1.0,
        idempotency_entry_kb: 1.0,
        preemption: Preemption::Discards,
        downstream: Downstream::None,
        advertisement: Advertisement::None,
        retry_after_max: 1000 * MS,
        idle_timeout_max: HOUR,
        retries_marked: false,
        drain_grace: 1000 * MS,
        answer_grace: 50 * MS,
        survivable_concurrency_ratio: 1.0,
        starts_cold: false,
        cold_speed_ratio: 1.0,
        target_utilization: 0.9,
        warm_up: 1,
    }
}

fn arrivals(c: &mut Criterion) {
    let mut group = c.benchmark_group("module");
    for pending in [100u64, 1_000, 10_000, 100_000] {
        let mut controller = Controller::new(deployment(), 1, START, &mut DiscardingHost);
        let arrival = |id| Arrival { id, operation: (id % 2) as usize, held_kb: 1.0, ..Arrival::default() };
        // The controller learns the run times from 1,000 runs of 1 ms within an hour. The learned run times
        // are so short that all pending invocations can meet their deadlines.
        for id in 1..=1000 {
            let now = START + id * HOUR / 1000;
            controller.on_arrival(now, arrival(id), &mut DiscardingHost);
            controller.on_run_finished(now + MS, id, Outcome::Succeeded, &mut DiscardingHost);
        }
        let start = START + 2 * HOUR;
        (0..pending)
            .for_each(|id| controller.on_arrival(start + id, arrival(10_000 + id), &mut DiscardingHost));
        let mut id = 10_000 + pending;
        group.sample_size(20);
        group.bench_function(BenchmarkId::from_parameter(pending), |b| {
            b.iter(|| {
                id += 1;
                controller.on_arrival(start + id, arrival(id), &mut DiscardingHost);
                controller.on_caller_gone(start + id, id, &mut DiscardingHost);
            })
        });
    }
    group.finish();
}

criterion_group!(benches, arrivals);
criterion_main!(benches);
