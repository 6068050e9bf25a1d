//! The index against a plain vector that is walked and sorted, through random days.

use meadowstream_pending_queue::{Able, Entry, Hold, Usual};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;

/// What the hold must say, worked out in the plain way.
#[derive(Default)]
struct Plain(Vec<Entry>);

impl Plain {
    fn in_order(&self) -> Vec<Entry> {
        let mut order = self.0.clone();
        order.sort_by_key(|e| (Reverse(e.rank), e.tag, e.wanted, e.id));
        order
    }

    fn to_make_room(&self, now: u64, able: &Able) -> Option<usize> {
        let order = self.in_order();
        let mut ahead = 0.0;
        for (n, entry) in order.iter().enumerate() {
            let usual = &able.usual[entry.operation];
            let end = now as f64 + ahead / able.limit + usual.whole * entry.size;
            ahead += usual.work * entry.size;
            if end > entry.wanted as f64 && n >= able.free {
                let worth = |e: &&Entry| (e.rank, Reverse((!e.promised, e.tag, e.arrived, e.seq)));
                return order[..=n].iter().min_by_key(worth).map(|e| e.key);
            }
        }
        None
    }
}

fn able(operations: usize, rng: &mut ChaCha8Rng) -> Able {
    let usual = |rng: &mut ChaCha8Rng| {
        let work = rng.random_range(1_000_000..40_000_000) as f64;
        Usual { work, whole: work * rng.random_range(1.0..3.0) }
    };
    Able {
        usual: (0..operations).map(|_| usual(rng)).collect(),
        limit: rng.random_range(1.0..40.0),
        free: rng.random_range(0..4),
    }
}

/// How many made room, and how many were due.
fn play(seed: u64, tags: bool, most: usize, steps: usize) -> (u64, u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (ranks, operations) = (rng.random_range(1..5), rng.random_range(1..4));
    let (mut hold, mut plain) = (Hold::new(ranks, operations), Plain::default());
    let mut able = able(operations, &mut rng);
    let span = [30, 100, 300, 700][rng.random_range(0..4)] * 1_000_000;
    let mut now = 1_790_000_000_000_000_000;
    let (mut late, mut due) = (0, 0);
    for seq in 0..steps as u64 {
        now += rng.random_range(0..3_000_000);
        let arrived = now - rng.random_range(0..5_000_000);
        let entry = Entry {
            seq,
            key: seq as usize,
            id: seq ^ 5,
            operation: rng.random_range(0..operations),
            rank: rng.random_range(0..ranks),
            tag: if tags { rng.random_range(0..50) } else { 0 },
            promised: tags && rng.random_bool(0.2),
            arrived,
            wanted: arrived + rng.random_range(1..4) * span,
            size: [1.0, 0.25, rng.random_range(0.1..9.0)][rng.random_range(0..3)],
        };
        hold.insert(entry);
        plain.0.push(entry);
        let usual = able.usual.clone();
        let chance = |op: usize, wanted: u64| wanted.saturating_sub(usual[op].whole as u64);
        while let Some((_, key)) = hold.first_due(now, chance) {
            let first = plain.0.iter().find(|e| chance(e.operation, e.wanted) <= now).unwrap();
            assert_eq!(key, first.key);
            assert!(hold.remove(first) && !hold.remove(first));
            plain.0.retain(|e| e.key != key);
            due += 1;
        }
        assert!(plain.0.iter().all(|e| chance(e.operation, e.wanted) > now));
        let next = plain.0.iter().map(|e| chance(e.operation, e.wanted)).min();
        assert_eq!(hold.next_due(chance), next);
        while let Some(key) = hold.to_make_room(now, &able) {
            assert_eq!(Some(key), plain.to_make_room(now, &able), "seed {seed}, step {seq}");
            let entry = *plain.0.iter().find(|e| e.key == key).unwrap();
            assert!(hold.remove(&entry));
            plain.0.retain(|e| e.key != key);
            late += 1;
        }
        assert_eq!(plain.to_make_room(now, &able), None, "seed {seed}, step {seq}");
        if seq % 7 == 0 {
            let order = plain.in_order();
            assert!(hold.iter().eq(order.iter()));
            let op = rng.random_range(0..operations);
            assert_eq!(hold.next_of(|other| other == op), order.iter().find(|e| e.operation == op));
            let least = order.iter().min_by_key(|e| (e.rank, Reverse((!e.promised, e.tag, e.seq))));
            assert_eq!(hold.least_worthy(), least.map(|e| e.key));
            if let Some(n) = (!order.is_empty()).then(|| rng.random_range(0..order.len())) {
                let work = |entries: &[Entry]| -> f64 {
                    entries.iter().map(|e| able.usual[e.operation].work * e.size).sum()
                };
                assert!(
                    (hold.work_ahead(&order[n], &able.usual) / work(&order[..n]).max(1.0) - 1.0).abs() < 1e-9
                        || n == 0
                );
                assert!((hold.work(&able.usual) / work(&order) - 1.0).abs() < 1e-9);
            }
        }
        while plain.0.len() > most || (!plain.0.is_empty() && rng.random_bool(0.4)) {
            assert_eq!(hold.next().copied(), plain.in_order().first().copied());
            let gone = if rng.random_bool(0.8) { *hold.next().unwrap() } else { plain.0[plain.0.len() / 2] };
            assert!(hold.remove(&gone));
            plain.0.retain(|e| e.key != gone.key);
        }
        if rng.random_bool(0.3) {
            let op = rng.random_range(0..operations);
            able.usual[op].work *= rng.random_range(0.99..1.01);
            able.usual[op].whole *= rng.random_range(0.99..1.01);
        }
        able.limit = (able.limit * [1.0, 1.15, 0.95, 1.0][rng.random_range(0..4)]).clamp(1.0, 40.0);
        able.free = rng.random_range(0..4);
        assert_eq!((hold.len(), hold.is_empty()), (plain.0.len(), plain.0.is_empty()));
    }
    (late, due)
}

fn play_all(seeds: std::ops::Range<u64>, tags: bool, most: usize, steps: usize) {
    let (late, due) =
        seeds.map(|seed| play(seed, tags, most, steps)).fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
    assert!(late > 500 && due > 500, "too little happens: {late} late, {due} due");
}

#[test]
fn says_what_a_sorted_vector_would() {
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
    let mut hold = Hold::new(1, 1);
    let entry = Entry { id: 1, wanted: 5, size: 1.0, ..Entry::default() };
    assert!(!hold.remove(&entry));
    hold.insert(entry);
    assert!(!hold.remove(&Entry { wanted: 6, ..entry }));
    assert!(hold.remove(&entry) && hold.is_empty() && hold.next().is_none());
}

/// A hold as overload leaves it: full to what can just be done in time, one more with each step, and the
/// learned times move with every end of a run.
#[test]
fn the_cost_of_asking_for_room_hardly_grows() {
    let looked = |held: u64| {
        let mut rng = ChaCha8Rng::seed_from_u64(7);
        let mut able = Able { usual: vec![Usual { work: 1e6, whole: 2e6 }], limit: 1.0, free: 0 };
        let (mut hold, mut now) = (Hold::new(2, 1), 1_790_000_000_000_000_000);
        let entry = |seq: u64, now: u64| Entry {
            seq,
            key: seq as usize,
            id: seq,
            rank: seq.is_multiple_of(4).into(),
            arrived: now,
            wanted: now + held * 1_000_000 + 20_000_000,
            size: 1.0,
            ..Entry::default()
        };
        let mut entries: Vec<Entry> = (0..held).map(|seq| entry(seq, now)).collect();
        entries.iter().for_each(|entry| hold.insert(*entry));
        let (steps, mut refused) = (2000, 0);
        let before = hold.looked();
        for seq in held..held + steps {
            now += 500_000;
            able.usual[0].work = 1e6 * rng.random_range(0.999..1.001);
            entries.push(entry(seq, now));
            hold.insert(entries[seq as usize]);
            if seq % 2 == 0 {
                let next = *hold.next().unwrap();
                assert!(hold.remove(&next));
            }
            while let Some(key) = hold.to_make_room(now, &able) {
                assert!(hold.remove(&entries[key]));
                refused += 1;
            }
        }
        assert!(refused > steps / 4, "{refused}");
        (hold.looked() - before) as f64 / steps as f64
    };
    let (few, many) = (looked(1_000), looked(100_000));
    println!("looked at for each arrival: {few} of 1,000, {many} of 100,000");
    assert!(many < 6.0 * few && many < 200.0, "{few} of 1,000, {many} of 100,000");
}
