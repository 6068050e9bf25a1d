//! The index against a plain vector that is walked and sorted, through random days.

use meadowstream_pending_queue::{ArrivalKey, Capacity, Entry, PendingQueue, UsualTimes};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;

/// What a server has learned, and what it can run.
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

/// What the queue must answer, computed in the plain way.
#[derive(Default)]
struct Plain(Vec<Entry>);

impl Plain {
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
                let worth =
                    |e: &&Entry| (e.rank, Reverse((!e.promised, e.start_tag, e.arrived, e.arrival_number)));
                return order[..=n].iter().min_by_key(worth).map(|e| e.key);
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

/// How many were rejected for deadlines, and how many were overdue.
fn play(seed: u64, tags: bool, most: usize, steps: usize) -> (u64, u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (ranks, operations) = (rng.random_range(1..5), rng.random_range(1..4));
    let (mut queue, mut plain) = (PendingQueue::new(ranks, operations), Plain::default());
    let mut server = server(operations, &mut rng);
    let span = [30, 100, 300, 700][rng.random_range(0..4)] * 1_000_000;
    let mut now = 1_790_000_000_000_000_000;
    let (mut late, mut due) = (0, 0);
    for seq in 0..steps as u64 {
        now += rng.random_range(0..3_000_000);
        let arrived = now - rng.random_range(0..5_000_000);
        let entry = Entry {
            arrival_number: seq,
            key: seq as usize,
            id: seq ^ 5,
            operation: rng.random_range(0..operations),
            rank: rng.random_range(0..ranks),
            start_tag: if tags { rng.random_range(0..50) } else { 0 },
            promised: tags && rng.random_bool(0.2),
            arrived,
            deadline: arrived + rng.random_range(1..4) * span,
            cost_ratio: [1.0, 0.25, rng.random_range(0.1..9.0)][rng.random_range(0..3)],
        };
        queue.insert(entry);
        plain.0.push(entry);
        let usual = server.usual.clone();
        let chance = |op: usize, deadline: u64| deadline.saturating_sub(usual[op].elapsed_ns as u64);
        while let Some(ArrivalKey { key, .. }) = queue.first_overdue(now, chance) {
            let first = plain.0.iter().find(|e| chance(e.operation, e.deadline) <= now).unwrap();
            assert_eq!(key, first.key);
            assert!(queue.remove(first) && !queue.remove(first));
            plain.0.retain(|e| e.key != key);
            due += 1;
        }
        assert!(plain.0.iter().all(|e| chance(e.operation, e.deadline) > now));
        let next = plain.0.iter().map(|e| chance(e.operation, e.deadline)).min();
        assert_eq!(queue.next_overdue_at(chance), next);
        while let Some(key) = queue.to_reject_for_deadlines(now, &server.capacity()) {
            assert_eq!(Some(key), plain.to_reject_for_deadlines(now, &server), "seed {seed}, step {seq}");
            let entry = *plain.0.iter().find(|e| e.key == key).unwrap();
            assert!(queue.remove(&entry));
            plain.0.retain(|e| e.key != key);
            late += 1;
        }
        assert_eq!(plain.to_reject_for_deadlines(now, &server), None, "seed {seed}, step {seq}");
        if seq % 7 == 0 {
            let order = plain.in_order();
            assert!(queue.iter().eq(order.iter()));
            let op = rng.random_range(0..operations);
            assert_eq!(
                queue.next_to_run_among(|other| other == op),
                order.iter().find(|e| e.operation == op)
            );
            let least =
                order.iter().min_by_key(|e| (e.rank, Reverse((!e.promised, e.start_tag, e.arrival_number))));
            assert_eq!(queue.lowest_priority(), least.map(|e| e.key));
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
        while plain.0.len() > most || (!plain.0.is_empty() && rng.random_bool(0.4)) {
            assert_eq!(queue.next_to_run().copied(), plain.in_order().first().copied());
            let gone =
                if rng.random_bool(0.8) { *queue.next_to_run().unwrap() } else { plain.0[plain.0.len() / 2] };
            assert!(queue.remove(&gone));
            plain.0.retain(|e| e.key != gone.key);
        }
        if rng.random_bool(0.3) {
            let op = rng.random_range(0..operations);
            server.usual[op].core_ns *= rng.random_range(0.99..1.01);
            server.usual[op].elapsed_ns *= rng.random_range(0.99..1.01);
        }
        server.limit = (server.limit * [1.0, 1.15, 0.95, 1.0][rng.random_range(0..4)]).clamp(1.0, 40.0);
        server.free = rng.random_range(0..4);
        assert_eq!((queue.len(), queue.is_empty()), (plain.0.len(), plain.0.is_empty()));
    }
    (late, due)
}

fn play_all(seeds: std::ops::Range<u64>, tags: bool, most: usize, steps: usize) {
    let (late, due) =
        seeds.map(|seed| play(seed, tags, most, steps)).fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
    assert!(late > 500 && due > 500, "too little happens: {late} late, {due} due");
}

#[test]
fn agrees_with_a_sorted_vector() {
    play_all(0..60, false, 60, 300);
}

#[test]
fn keeps_fair_order_within_a_rank() {
    play_all(100..160, true, 60, 300);
}

#[test]
fn many_blocks_come_and_go() {
    play_all(200..212, true, 700, 1000);
    play_all(212..224, false, 700, 1000);
}

#[test]
fn an_entry_that_is_not_there_is_not_removed() {
    let mut queue = PendingQueue::new(1, 1);
    let entry = Entry { id: 1, deadline: 5, cost_ratio: 1.0, ..Entry::default() };
    assert!(!queue.remove(&entry));
    queue.insert(entry);
    assert!(!queue.remove(&Entry { deadline: 6, ..entry }));
    assert!(queue.remove(&entry) && queue.is_empty() && queue.next_to_run().is_none());
}

/// A queue as overload leaves it: full to what can just be done in time, one more with each step, and the
/// learned times move with every end of a run.
#[test]
fn cost_of_finding_late_entries_hardly_grows() {
    let looked = |held: u64| {
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
            deadline: now + held * 1_000_000 + 20_000_000,
            cost_ratio: 1.0,
            ..Entry::default()
        };
        let mut entries: Vec<Entry> = (0..held).map(|seq| entry(seq, now)).collect();
        entries.iter().for_each(|entry| queue.insert(*entry));
        let (steps, mut refused) = (2000, 0);
        let before = queue.inspected();
        for seq in held..held + steps {
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
                refused += 1;
            }
        }
        assert!(refused > steps / 4, "{refused}");
        (queue.inspected() - before) as f64 / steps as f64
    };
    let (few, many) = (looked(1_000), looked(100_000));
    println!("inspected for each arrival: {few} of 1,000, {many} of 100,000");
    assert!(many < 6.0 * few && many < 200.0, "{few} of 1,000, {many} of 100,000");
}
