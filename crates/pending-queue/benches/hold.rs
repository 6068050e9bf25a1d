//! An arrival at a full hold, with all that the module asks after it: the index against the vector that is
//! walked and sorted.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use meadowstream_pending_queue::{Able, Entry, Hold, Usual};
use std::cmp::Reverse;
use std::hint::black_box;

const START: u64 = 1_790_000_000_000_000_000;

fn entry(seq: u64, held: u64) -> Entry {
    let arrived = START + seq * 1000;
    Entry {
        seq,
        key: seq as usize,
        id: seq,
        rank: (seq % 2) as usize,
        arrived,
        wanted: arrived + held * 2_000_000 + 50_000_000,
        size: 1.0,
        ..Entry::default()
    }
}

fn able() -> Able {
    Able { usual: vec![Usual { work: 1e6, whole: 2e6 }], limit: 1.0, free: 0 }
}

fn plain(entries: &[Entry], now: u64, able: &Able) -> (Option<usize>, Option<u64>, Option<usize>) {
    let mut order: Vec<&Entry> = entries.iter().collect();
    order.sort_by_key(|e| (Reverse(e.rank), e.wanted, e.id));
    let (mut ahead, mut late) = (0.0, None);
    for (n, entry) in order.iter().enumerate() {
        let usual = &able.usual[entry.operation];
        let end = now as f64 + ahead / able.limit + usual.whole * entry.size;
        ahead += usual.work * entry.size;
        if end > entry.wanted as f64 && n >= able.free {
            late = order[..=n].iter().min_by_key(|e| (e.rank, Reverse(e.seq))).map(|e| e.key);
            break;
        }
    }
    (late, entries.iter().map(|e| e.wanted).min(), order.first().map(|e| e.key))
}

fn arrivals(c: &mut Criterion) {
    let mut group = c.benchmark_group("arrival");
    let able = able();
    for held in [100u64, 1_000, 10_000, 100_000] {
        let mut hold = Hold::new(2, 1);
        (0..held).for_each(|seq| hold.insert(entry(seq, held)));
        let mut seq = held;
        group.bench_function(BenchmarkId::new("index", held), |b| {
            b.iter(|| {
                let new = entry(seq, held);
                seq += 1;
                hold.insert(new);
                black_box(hold.to_make_room(START, &able));
                black_box(hold.next_due(|_, wanted| wanted));
                black_box(hold.work(&able.usual));
                let next = *hold.next().unwrap();
                hold.remove(&next)
            })
        });
        let mut entries: Vec<Entry> = (0..held).map(|seq| entry(seq, held)).collect();
        let mut seq = held;
        if held > 10_000 {
            group.sample_size(10);
        }
        group.bench_function(BenchmarkId::new("vector", held), |b| {
            b.iter(|| {
                entries.push(entry(seq, held));
                seq += 1;
                let (.., next) = black_box(plain(&entries, START, &able));
                let at = entries.iter().position(|e| Some(e.key) == next).unwrap();
                entries.remove(at)
            })
        });
    }
    group.finish();
}

criterion_group!(benches, arrivals);
criterion_main!(benches);
