//! What an arrival costs the whole module while many are held: it comes, is judged, and its caller goes.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use meadowstream_overload_control::controller::Controller;
use meadowstream_overload_control::{
    Advert, Arrival, Below, Deployment, Effect, Ending, Halting, Host, Nanos, Operation,
};

const START: Nanos = 1_790_000_000_000_000_000;
const HOUR: Nanos = 3_600_000_000_000;
const MS: Nanos = 1_000_000;

struct Nobody;

impl Host for Nobody {
    fn run(&mut self, _inv: u64) {}
    fn stop(&mut self, _inv: u64) {}
    fn throttle(&mut self, _inv: u64, _no_retry: bool, _stay_away: Nanos) {
        panic!("all have room and time")
    }
    fn give_up(&mut self, _inv: u64) {}
    fn call(&mut self, _inv: u64, _timeout: Nanos) {}
    fn skip_call(&mut self, _inv: u64) {}
    fn remember(&mut self, _inv: u64, _life: Nanos) {}
    fn forget(&mut self, _inv: u64) {}
    fn reuse(&mut self, _inv: u64) {}
    fn health(&mut self, _good: bool, _stored: bool) {}
    fn advertise(&mut self, _value: f64) {}
    fn close_idle(&mut self, _after: Nanos) {}
    fn wake(&mut self, _after: Nanos, _token: u32) {}
    fn log(&mut self, _line: &str) {}
}

fn site() -> Deployment {
    let operation = |billed_value| Operation {
        effect: Effect::Idempotent,
        latency_objective: HOUR,
        client_timeout: 2 * HOUR,
        token_window: HOUR,
        billed_value,
        late_value: 0.0,
        without_call_value: 0.0,
        calls: true,
    };
    Deployment {
        operations: vec![operation(1.0), operation(2.0)],
        tenant_allowance: Vec::new(),
        over_share_value: 1.0,
        fair: None,
        peers: 1.0,
        callers: 1.0,
        called_by_own: false,
        cores: 1.0,
        memory_kb: 1e9,
        run_memory: 1.0,
        entry_kb: 1.0,
        halting: Halting::Discards,
        below: Below::Nothing,
        advert: Advert::Nothing,
        stay_away_max: 1000 * MS,
        idle_max: HOUR,
        retries_marked: false,
        drain_grace: 1000 * MS,
        answer_grace: 50 * MS,
        survivable_crowd: 1.0,
        cold: false,
        cold_speed: 1.0,
        reference: 0.9,
        cold_for: 1,
    }
}

fn arrivals(c: &mut Criterion) {
    let mut group = c.benchmark_group("module");
    for held in [100u64, 1_000, 10_000, 100_000] {
        let mut controller = Controller::new(site(), 1, START, &mut Nobody);
        let arrival = |id| Arrival { id, operation: (id % 2) as usize, held_kb: 1.0, ..Arrival::default() };
        // An hour of runs of 1 ms, so that what is learned lets all that are held be done in time.
        for id in 1..=1000 {
            let now = START + id * HOUR / 1000;
            controller.arrived(now, arrival(id), &mut Nobody);
            controller.finished(now + MS, id, Ending::Succeeded, &mut Nobody);
        }
        let start = START + 2 * HOUR;
        (0..held).for_each(|id| controller.arrived(start + id, arrival(10_000 + id), &mut Nobody));
        let mut id = 10_000 + held;
        group.sample_size(20);
        group.bench_function(BenchmarkId::from_parameter(held), |b| {
            b.iter(|| {
                id += 1;
                controller.arrived(start + id, arrival(id), &mut Nobody);
                controller.caller_gone(start + id, id, &mut Nobody);
            })
        });
    }
    group.finish();
}

criterion_group!(benches, arrivals);
criterion_main!(benches);
