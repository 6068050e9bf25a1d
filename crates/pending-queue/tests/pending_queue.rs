//! Compares the queue with a reference implementation in random sequences of operations. The reference is a
//! plain vector that is sorted and walked for each query.

use meadowstream_pending_queue::{ArrivalKey, Capacity, Entry, PendingQueue, UsualTimes};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;

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

/// Reference implementation: a vector that is sorted and walked for each query.
#[derive(Default)]
struct ReferenceQueue(Vec<Entry>);

impl ReferenceQueue {
    fn in_order(&self) -> Vec<Entry> {
        let mut order = self.0.clone();
        order.sort_by_key(|e| (Reverse(e.rank), e.start_tag, e.deadline, e.id));
        order
    }

    fn to_reject_for_deadlines(&self, now: u64, server: &Server) -> Option<usize> {
        let order = self.in_order();
        let mut ahead = 0.0;
        for (n, entry) in order.iter().enumerate() {
            let usual = &server.usual[entry.operation];
            let end = now as f64 + ahead / server.limit + usual.elapsed_ns * entry.cost_ratio;
            ahead += usual.core_ns * entry.cost_ratio;
            if end > entry.deadline as f64 && n >= server.free {
                let priority =
                    |e: &&Entry| (e.rank, Reverse((!e.promised, e.start_tag, e.arrived, e.arrival_number)));
                return order[..=n].iter().min_by_key(priority).map(|e| e.key);
            }
        }
        None
    }
}

fn server(operations: usize, rng: &mut ChaCha8Rng) -> Server {
    let usual = |rng: &mut ChaCha8Rng| {
        let work = rng.random_range(1_000_000..40_000_000) as f64;
        UsualTimes { core_ns: work, elapsed_ns: work * rng.random_range(1.0..3.0) }
    };
    Server {
        usual: (0..operations).map(|_| usual(rng)).collect(),
        limit: rng.random_range(1.0..40.0),
        free: rng.random_range(0..4),
    }
}

/// Runs one random sequence of operations on the queue and on the reference implementation. Returns the
/// number of entries rejected for missed deadlines and the number of overdue entries.
fn run(seed: u64, has_start_tags: bool, entries_max: usize, steps: usize) -> (u64, u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (ranks, operations) = (rng.random_range(1..5), rng.random_range(1..4));
    let (mut queue, mut reference) = (PendingQueue::new(ranks, operations), ReferenceQueue::default());
    let mut server = server(operations, &mut rng);
    let span = [30, 100, 300, 700][rng.random_range(0..4)] * 1_000_000;
    let mut now = 1_790_000_000_000_000_000;
    let (mut late, mut overdue) = (0, 0);
    for seq in 0..steps as u64 {
        now += rng.random_range(0..3_000_000);
        let arrived = now - rng.random_range(0..5_000_000);
        let entry = Entry {
            arrival_number: seq,
            key: seq as usize,
            id: seq ^ 5,
            operation: rng.random_range(0..operations),
            rank: rng.random_range(0..ranks),
            start_tag: if has_start_tags { rng.random_range(0..50) } else { 0 },
            promised: has_start_tags && rng.random_bool(0.2),
            arrived,
            deadline: arrived + rng.random_range(1..4) * span,
            cost_ratio: [1.0, 0.25, rng.random_range(0.1..9.0)][rng.random_range(0..3)],
        };
        queue.insert(entry);
        reference.0.push(entry);
        let usual = server.usual.clone();
        let latest_start = |op: usize, deadline: u64| deadline.saturating_sub(usual[op].elapsed_ns as u64);
        while let Some(ArrivalKey { key, .. }) = queue.first_overdue(now, latest_start) {
            let first = reference.0.iter().find(|e| latest_start(e.operation, e.deadline) <= now).unwrap();
            assert_eq!(key, first.key);
            assert!(queue.remove(first) && !queue.remove(first));
            reference.0.retain(|e| e.key != key);
            overdue += 1;
        }
        assert!(reference.0.iter().all(|e| latest_start(e.operation, e.deadline) > now));
        let next = reference.0.iter().map(|e| latest_start(e.operation, e.deadline)).min();
        assert_eq!(queue.next_overdue_at(latest_start), next);
        while let Some(key) = queue.to_reject_for_deadlines(now, &server.capacity()) {
            assert_eq!(Some(key), reference.to_reject_for_deadlines(now, &server), "seed {seed}, step {seq}");
            let entry = *reference.0.iter().find(|e| e.key == key).unwrap();
            assert!(queue.remove(&entry));
            reference.0.retain(|e| e.key != key);
            late += 1;
        }
        assert_eq!(reference.to_reject_for_deadlines(now, &server), None, "seed {seed}, step {seq}");
        if seq % 7 == 0 {
            let order = reference.in_order();
            assert!(queue.iter().eq(order.iter()));
            let op = rng.random_range(0..operations);
            assert_eq!(
                queue.next_to_run_among(|other| other == op),
                order.iter().find(|e| e.operation == op)
            );
            let lowest_priority =
                order.iter().min_by_key(|e| (e.rank, Reverse((!e.promised, e.start_tag, e.arrival_number))));
            assert_eq!(queue.lowest_priority(), lowest_priority.map(|e| e.key));
            if let Some(n) = (!order.is_empty()).then(|| rng.random_range(0..order.len())) {
                let work = |entries: &[Entry]| -> f64 {
                    entries.iter().map(|e| server.usual[e.operation].core_ns * e.cost_ratio).sum()
                };
                assert!(
                    (queue.work_ahead(&order[n], &server.usual) / work(&order[..n]).max(1.0) - 1.0).abs()
                        < 1e-9
                        || n == 0
                );
                assert!((queue.queued_work(&server.usual) / work(&order) - 1.0).abs() < 1e-9);
            }
        }
        while reference.0.len() > entries_max || (!reference.0.is_empty() && rng.random_bool(0.4)) {
            assert_eq!(queue.next_to_run().copied(), reference.in_order().first().copied());
            let removed = if rng.random_bool(0.8) {
                *queue.next_to_run().unwrap()
            } else {
                reference.0[reference.0.len() / 2]
            };
            assert!(queue.remove(&removed));
            reference.0.retain(|e| e.key != removed.key);
        }
        if rng.random_bool(0.3) {
            let op = rng.random_range(0..operations);
            server.usual[op].core_ns *= rng.random_range(0.99..1.01);
            server.usual[op].elapsed_ns *= rng.random_range(0.99..1.01);
        }
        server.limit = (server.limit * [1.0, 1.15, 0.95, 1.0][rng.random_range(0..4)]).clamp(1.0, 40.0);
        server.free = rng.random_range(0..4);
        assert_eq!((queue.len(), queue.is_empty()), (reference.0.len(), reference.0.is_empty()));
    }
    (late, overdue)
}

fn run_all(seeds: std::ops::Range<u64>, has_start_tags: bool, entries_max: usize, steps: usize) {
    let (late, overdue) = seeds
        .map(|seed| run(seed, has_start_tags, entries_max, steps))
        .fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
    assert!(
        late > 500 && overdue > 500,
        "too few cases for a valid comparison: {late} late, {overdue} overdue"
    );
}

#[test]
fn agrees_with_a_sorted_vector() {
    run_all(0..60, false, 60, 300);
}

#[test]
fn keeps_fair_order_within_a_rank() {
    run_all(100..160, true, 60, 300);
}

#[test]
fn splitting_and_removing_blocks_agrees_with_a_sorted_vector() {
    run_all(200..212, true, 700, 1000);
    run_all(212..224, false, 700, 1000);
}

#[test]
fn removing_a_missing_entry_returns_false() {
    let mut queue = PendingQueue::new(1, 1);
    let entry = Entry { id: 1, deadline: 5, cost_ratio: 1.0, ..Entry::default() };
    assert!(!queue.remove(&entry));
    queue.insert(entry);
    assert!(!queue.remove(&Entry { deadline: 6, ..entry }));
    assert!(queue.remove(&entry) && queue.is_empty() && queue.next_to_run().is_none());
}

/// The cost of a search for late entries must hardly grow with the length of the queue. The queue is
/// overloaded: it contains as many entries as can just meet their deadlines, and each step adds an entry. The
/// usual core time changes with every step, as it does when runs end.
#[test]
fn late_search_cost_hardly_grows_with_the_queue() {
    let inspected_per_arrival = |pending: u64| {
        let mut rng = ChaCha8Rng::seed_from_u64(7);
        let mut server =
            Server { usual: vec![UsualTimes { core_ns: 1e6, elapsed_ns: 2e6 }], limit: 1.0, free: 0 };
        let (mut queue, mut now) = (PendingQueue::new(2, 1), 1_790_000_000_000_000_000);
        let entry = |seq: u64, now: u64| Entry {
            arrival_number: seq,
            key: seq as usize,
            id: seq,
            rank: seq.is_multiple_of(4).into(),
            arrived: now,
            deadline: now + pending * 1_000_000 + 20_000_000,
            cost_ratio: 1.0,
            ..Entry::default()
        };
        let mut entries: Vec<Entry> = (0..pending).map(|seq| entry(seq, now)).collect();
        entries.iter().for_each(|entry| queue.insert(*entry));
        let (steps, mut rejected) = (2000, 0);
        let before = queue.inspected();
        for seq in pending..pending + steps {
            now += 500_000;
            server.usual[0].core_ns = 1e6 * rng.random_range(0.999..1.001);
            entries.push(entry(seq, now));
            queue.insert(entries[seq as usize]);
            if seq % 2 == 0 {
                let next = *queue.next_to_run().unwrap();
                assert!(queue.remove(&next));
            }
            while let Some(key) = queue.to_reject_for_deadlines(now, &server.capacity()) {
                assert!(queue.remove(&entries[key]));
                rejected += 1;
            }
        }
        assert!(rejected > steps / 4, "only {rejected} entries were rejected");
        (queue.inspected() - before) as f64 / steps as f64
    };
    let (few, many) = (inspected_per_arrival(1_000), inspected_per_arrival(100_000));
    println!("inspected per arrival: {few} with 1,000 entries, {many} with 100,000");
    assert!(
        many < 6.0 * few && many < 200.0,
        "inspected per arrival: {few} with 1,000 entries, {many} with 100,000"
    );
}
