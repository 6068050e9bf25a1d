//! Benchmark of an arrival at a full pending queue, and of the queries that the controller makes after an
//! arrival. The queue is compared with a plain vector that is sorted and walked for each query.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use meadowstream_pending_queue::{Capacity, Entry, PendingQueue, UsualTimes};
use std::cmp::Reverse;
use std::hint::black_box;

const START: u64 = 1_790_000_000_000_000_000;

/// A simulated server: the usual times of its operations and its concurrency limit.
struct Server {
    usual: Vec<UsualTimes>,
    limit: f64,
    free: usize,
}

impl Server {
    fn capacity(&self) -> Capacity<'_> {
        Capacity { usual_times: &self.usual, concurrency_limit: self.limit, free_slots: self.free }
    }
}

fn entry(seq: u64, pending: u64) -> Entry {
    let arrived = START + seq * 1000;
    Entry {
        arrival_number: seq,
        key: seq as usize,
        id: seq,
        rank: (seq % 2) as usize,
        arrived,
        deadline: arrived + pending * 2_000_000 + 50_000_000,
        cost_ratio: 1.0,
        ..Entry::default()
    }
}

fn server() -> Server {
    Server { usual: vec![UsualTimes { core_ns: 1e6, elapsed_ns: 2e6 }], limit: 1.0, free: 0 }
}

fn scan_vector(entries: &[Entry], now: u64, server: &Server) -> (Option<usize>, Option<u64>, Option<usize>) {
    let mut order: Vec<&Entry> = entries.iter().collect();
    order.sort_by_key(|e| (Reverse(e.rank), e.deadline, e.id));
    let (mut ahead, mut late) = (0.0, None);
    for (n, entry) in order.iter().enumerate() {
        let usual = &server.usual[entry.operation];
        let end = now as f64 + ahead / server.limit + usual.elapsed_ns * entry.cost_ratio;
        ahead += usual.core_ns * entry.cost_ratio;
        if end > entry.deadline as f64 && n >= server.free {
            late = order[..=n].iter().min_by_key(|e| (e.rank, Reverse(e.arrival_number))).map(|e| e.key);
            break;
        }
    }
    (late, entries.iter().map(|e| e.deadline).min(), order.first().map(|e| e.key))
}

fn arrivals(c: &mut Criterion) {
    let mut group = c.benchmark_group("arrival");
    let server = server();
    for pending in [100u64, 1_000, 10_000, 100_000] {
        let mut queue = PendingQueue::new(2, 1);
        (0..pending).for_each(|seq| queue.insert(entry(seq, pending)));
        let mut seq = pending;
        group.bench_function(BenchmarkId::new("index", pending), |b| {
            b.iter(|| {
                let new = entry(seq, pending);
                seq += 1;
                queue.insert(new);
                black_box(queue.to_reject_for_deadlines(START, &server.capacity()));
                black_box(queue.next_overdue_at(|_, deadline| deadline));
                black_box(queue.queued_work(&server.usual));
                let next = *queue.next_to_run().unwrap();
                queue.remove(&next)
            })
        });
        let mut entries: Vec<Entry> = (0..pending).map(|seq| entry(seq, pending)).collect();
        let mut seq = pending;
        if pending > 10_000 {
            group.sample_size(10);
        }
        group.bench_function(BenchmarkId::new("vector", pending), |b| {
            b.iter(|| {
                entries.push(entry(seq, pending));
                seq += 1;
                let (.., next) = black_box(scan_vector(&entries, START, &server));
                let at = entries.iter().position(|e| Some(e.key) == next).unwrap();
                entries.remove(at)
            })
        });
    }
    group.finish();
}

criterion_group!(benches, arrivals);
criterion_main!(benches);
