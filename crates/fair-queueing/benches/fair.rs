//! Benchmark of the cost of scheduling one arrival when there are many tenants. It compares the fair
//! scheduler, whose memory is bounded, with a hash map that holds one queue for every tenant.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use meadowstream_fair_queueing::{FairScheduler, ServiceOutcome, Settings, TenantKey};
use std::collections::{HashMap, VecDeque};
use std::hint::black_box;

/// Baseline for the comparison: deficit round robin over a map with one queue for each tenant name. A queue
/// holds the work of each waiting arrival, in nanoseconds, and a deficit counter.
#[derive(Default)]
struct DeficitRoundRobin {
    queues: HashMap<Vec<u8>, (VecDeque<u64>, f64)>,
    rotation: VecDeque<Vec<u8>>,
}

impl DeficitRoundRobin {
    fn enqueue(&mut self, name: &[u8], work: u64) {
        let queue = self.queues.entry(name.to_vec()).or_default();
        if queue.0.is_empty() {
            self.rotation.push_back(name.to_vec());
        }
        queue.0.push_back(work);
    }

    fn next(&mut self) -> Option<u64> {
        loop {
            let name = self.rotation.pop_front()?;
            let (queue, deficit) = self.queues.get_mut(&name)?;
            *deficit += 1e6;
            let next = queue.front().copied()?;
            if next as f64 <= *deficit {
                *deficit -= next as f64;
                queue.pop_front();
                if queue.is_empty() {
                    *deficit = 0.0;
                } else {
                    self.rotation.push_back(name);
                }
                return Some(next);
            }
            self.rotation.push_back(name);
        }
    }
}

fn arrivals(c: &mut Criterion) {
    let mut group = c.benchmark_group("tenants");
    for tenants in [100u64, 1_000, 10_000, 100_000, 1_000_000] {
        let name = |n: u64| (n.wrapping_mul(7919) % tenants).to_be_bytes();
        let settings =
            Settings { cells: 1 << 20, names_per_origin: 1e9, probation: 0, ..Settings::default() };
        let mut fair = FairScheduler::new(settings, 4.0, 1, 0);
        let mut n = 0;
        let mut arrive = move || {
            n += 1;
            let admission = fair.arrive(n * 1000, TenantKey { name: &name(n), origin: n % 64 }, 1e6, None);
            if n.is_multiple_of(100_000) {
                fair.update_fair_rate(n * 1000, 3.6, f64::INFINITY);
            }
            fair.end_service(
                n * 1000 + 500,
                &admission,
                if admission.surplus { ServiceOutcome::NeverRan } else { ServiceOutcome::Ran(900_000) },
            );
            admission.start_tag
        };
        (0..4 * tenants).for_each(|_| {
            arrive();
        });
        group.bench_function(BenchmarkId::new("fair", tenants), |b| b.iter(|| black_box(arrive())));
        let mut queues = DeficitRoundRobin::default();
        (0..tenants).for_each(|n| queues.enqueue(&name(n), 1_000_000));
        let mut n = tenants;
        group.bench_function(BenchmarkId::new("map of queues", tenants), |b| {
            b.iter(|| {
                n += 1;
                queues.enqueue(&name(n), 1_000_000);
                black_box(queues.next())
            })
        });
    }
    group.finish();
}

criterion_group!(benches, arrivals);
criterion_main!(benches);
