//! One rank of the hold: entries in the order they will run, in blocks, with a tree of sums over the blocks.
//!
//! Each node of the tree tells for the entries under it how many there are, the sum of their sizes by
//! operation, who came last, and its *lateness*: the most by which one of them would end after it is wanted
//! if the node's first began now. Lateness depends on the pace (usual times, running limit), which moves
//! with every run that ends. So it is kept for a pace of some time ago, and what the pace has gained since
//! bounds how far the node can be off: a node that is safe with that margin is passed over, others are gone
//! into, and what is at last looked at entry by entry is judged by the present pace alone.

use crate::{Able, Entry, Nanos, Usual};
use std::cmp::Ordering;

/// Most entries of a block: what one insertion may move and look through.
const BLOCK: usize = 64;
/// How far the pace may move before all lateness is worked out anew.
const DRIFT: f64 = 0.02;
/// Rounding of times as floating numbers, in ns: the clock counts from 1970.
const ROUNDING: f64 = 2048.0;

/// The pace that lateness is kept for.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    /// Of each operation: usual work over the running limit, and usual time from start to end.
    kept: Vec<Usual>,
    now: Vec<Usual>,
    /// The most by which one has gained since, as a share of what was kept; 0 or more.
    gained: Gain,
    base: Nanos,
}

/// Shares by which work and whole times have grown.
#[derive(Clone, Copy, Debug, Default)]
struct Gain {
    work: f64,
    whole: f64,
}

impl Pace {
    pub fn new(operations: usize) -> Self {
        let none = vec![Usual { work: 0.0, whole: 0.0 }; operations];
        Self { kept: none.clone(), now: none, ..Self::default() }
    }

    /// True where all lateness is to be worked out anew.
    pub fn follow(&mut self, able: &Able) -> bool {
        let present = |usual: &Usual| Usual { work: usual.work / able.limit, whole: usual.whole };
        self.now.clear();
        self.now.extend(able.usual.iter().map(present));
        let growth = |kept: f64, now: f64| if now == kept { 0.0 } else { now / kept - 1.0 };
        let pairs = || self.kept.iter().zip(&self.now);
        let work: Vec<f64> = pairs().map(|(kept, now)| growth(kept.work, now.work)).collect();
        let whole: Vec<f64> = pairs().map(|(kept, now)| growth(kept.whole, now.whole)).collect();
        let moved = work.iter().chain(&whole).any(|share| share.is_nan() || share.abs() > DRIFT);
        if moved {
            self.kept.clone_from(&self.now);
            self.gained = Gain::default();
        } else {
            let most = |shares: &[f64]| shares.iter().copied().fold(0.0, f64::max);
            self.gained = Gain { work: most(&work), whole: most(&whole) };
        }
        moved
    }

    fn since_base(&self, at: Nanos) -> f64 {
        (at as i128 - self.base as i128) as f64
    }
}

/// Sizes summed up by operation, in the order of operations: only those that have any, so that a sum costs
/// what stands in it, however many operations there are.
#[derive(Clone, Debug, Default)]
struct Sizes(Vec<(usize, f64)>);

impl Sizes {
    fn add(&mut self, operation: usize, size: f64) {
        match self.0.binary_search_by_key(&operation, |(other, _)| *other) {
            Ok(at) => self.0[at].1 += size,
            Err(at) => self.0.insert(at, (operation, size)),
        }
    }

    /// The sums of two together, in the memory that this one has.
    fn join(&mut self, a: &Sizes, b: &Sizes) {
        self.0.clear();
        let (mut a, mut b) = (a.0.as_slice(), b.0.as_slice());
        while let ([first, after_a @ ..], [second, after_b @ ..]) = (a, b) {
            self.0.push(match first.0.cmp(&second.0) {
                Ordering::Less => *first,
                Ordering::Greater => *second,
                Ordering::Equal => (first.0, first.1 + second.1),
            });
            a = if first.0 <= second.0 { after_a } else { a };
            b = if second.0 <= first.0 { after_b } else { b };
        }
        self.0.extend_from_slice(a);
        self.0.extend_from_slice(b);
    }
}

/// What is known of some entries that stand in a row.
#[derive(Clone, Debug, Default)]
struct Sums {
    count: usize,
    sizes: Sizes,
    /// At the kept pace: their work, the longest of their times, and their lateness.
    work: f64,
    longest: f64,
    lateness: f64,
    /// Not promised, tag and arrival, and without the arrival; then the number, and where its owner keeps it.
    latest: (bool, u64, Nanos, u64, usize),
    newest: (bool, u64, u64, usize),
}

impl Sums {
    fn none() -> Self {
        Self { lateness: f64::NEG_INFINITY, ..Self::default() }
    }

    fn of(&mut self, entries: &[Entry], pace: &Pace) {
        self.sizes.0.clear();
        (self.count, self.work, self.longest, self.lateness) = (entries.len(), 0.0, 0.0, f64::NEG_INFINITY);
        (self.latest, self.newest) = Default::default();
        for entry in entries {
            let usual = &pace.kept[entry.operation];
            let whole = usual.whole * entry.size;
            self.lateness = self.lateness.max(self.work + whole - pace.since_base(entry.wanted));
            self.work += usual.work * entry.size;
            self.longest = self.longest.max(whole);
            self.sizes.add(entry.operation, entry.size);
            self.latest = self.latest.max(latest(entry));
            self.newest = self.newest.max((!entry.promised, entry.tag, entry.seq, entry.key));
        }
    }

    fn join(&mut self, a: &Sums, b: &Sums) {
        self.count = a.count + b.count;
        self.sizes.join(&a.sizes, &b.sizes);
        self.work = a.work + b.work;
        self.longest = a.longest.max(b.longest);
        self.lateness = a.lateness.max(a.work + b.lateness);
        (self.latest, self.newest) = (a.latest.max(b.latest), a.newest.max(b.newest));
    }

    fn work_at(&self, usual: &[Usual]) -> f64 {
        self.sizes.0.iter().map(|(operation, size)| size * usual[*operation].work).sum()
    }
}

#[derive(Debug, Default)]
pub struct Line {
    /// None of them empty.
    blocks: Vec<Vec<Entry>>,
    /// A binary tree laid out flat: node 1 is the root, a block's leaf stands at `leaves` plus its place.
    tree: Vec<Sums>,
    leaves: usize,
}

fn latest(entry: &Entry) -> (bool, u64, Nanos, u64, usize) {
    (!entry.promised, entry.tag, entry.arrived, entry.seq, entry.key)
}

type Order = (u64, Nanos, u64, u64);

fn order(entry: &Entry) -> Order {
    (entry.tag, entry.wanted, entry.id, entry.seq)
}

/// A block and a place in it.
type Place = (usize, usize);

impl Line {
    pub fn new() -> Self {
        let mut line = Self::default();
        line.lay_out();
        line
    }

    pub fn len(&self) -> usize {
        self.tree[1].count
    }

    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    pub fn first(&self) -> Option<&Entry> {
        self.blocks.first().map(|block| &block[0])
    }

    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.blocks.iter().flatten()
    }

    /// The last block that begins at or before this, and where in it the entry stands or would.
    fn place(&self, wanted: &Order) -> (usize, Result<usize, usize>) {
        let block = self.blocks.partition_point(|block| order(&block[0]) <= *wanted).saturating_sub(1);
        let within = self.blocks.get(block).map(|block| block.binary_search_by_key(wanted, order));
        (block, within.unwrap_or(Err(0)))
    }

    pub fn insert(&mut self, entry: Entry, pace: &Pace) {
        let (block, within) = self.place(&order(&entry));
        let at = within.unwrap_or_else(|at| at);
        if self.blocks.is_empty() {
            self.blocks.push(vec![entry]);
            return self.regrow(pace);
        }
        if self.blocks[block].len() < BLOCK {
            self.blocks[block].insert(at, entry);
            return self.update(block, pace);
        }
        // At the very end a new block begins, so that what comes in order fills its blocks.
        let at_end = at == BLOCK && block + 1 == self.blocks.len();
        let mut second = self.blocks[block].split_off(if at_end { BLOCK } else { BLOCK / 2 });
        second.reserve(BLOCK - second.len());
        if at_end || at > BLOCK / 2 {
            second.insert(at - self.blocks[block].len(), entry);
        } else {
            self.blocks[block].insert(at, entry);
        }
        self.blocks.insert(block + 1, second);
        self.shift(block, true, pace);
    }

    pub fn remove(&mut self, entry: &Entry, pace: &Pace) -> bool {
        let (block, Ok(at)) = self.place(&order(entry)) else { return false };
        self.blocks[block].remove(at);
        if self.blocks[block].is_empty() {
            self.blocks.remove(block);
            self.shift(block, false, pace);
        } else {
            self.update(block, pace);
        }
        true
    }

    fn lay_out(&mut self) {
        self.leaves = self.blocks.len().next_power_of_two();
        self.tree.resize_with(2 * self.leaves, Sums::none);
    }

    /// All sums anew.
    fn regrow(&mut self, pace: &Pace) {
        self.lay_out();
        for i in 0..self.leaves {
            let block = self.blocks.get(i).map_or(&[][..], |block| block);
            self.tree[self.leaves + i].of(block, pace);
        }
        self.join_above(0, self.leaves);
    }

    /// A block came in behind this one, or this one went: leaves behind it move along by a place.
    fn shift(&mut self, block: usize, came: bool, pace: &Pace) {
        let many = self.blocks.len();
        if many > self.leaves || many * 4 < self.leaves {
            return self.regrow(pace);
        }
        let from = self.leaves + block;
        if came {
            self.tree[from + 1..self.leaves + many].rotate_right(1);
        } else {
            self.tree[from..=self.leaves + many].rotate_left(1);
            self.tree[self.leaves + many].of(&[], pace);
        }
        for i in (block..many.min(block + 2)).filter(|_| came) {
            self.tree[self.leaves + i].of(&self.blocks[i], pace);
        }
        self.join_above(block, many + 1);
    }

    /// Joins anew what lies above the leaves from one place to before another.
    fn join_above(&mut self, from: usize, to: usize) {
        let (mut low, mut high) = (self.leaves + from, self.leaves + to.min(self.leaves) - 1);
        while low > 1 {
            (low, high) = (low / 2, high / 2);
            for node in low..=high {
                self.join(node);
            }
        }
    }

    fn join(&mut self, node: usize) {
        let (above, below) = self.tree.split_at_mut(2 * node);
        above[node].join(&below[0], &below[1]);
    }

    fn update(&mut self, block: usize, pace: &Pace) {
        let mut node = self.leaves + block;
        self.tree[node].of(&self.blocks[block], pace);
        while node > 1 {
            node /= 2;
            self.join(node);
        }
    }

    /// Works all lateness out anew, at the pace that is kept now.
    pub fn refresh(&mut self, pace: &Pace) {
        self.regrow(pace);
    }

    pub fn work(&self, usual: &[Usual]) -> f64 {
        self.tree[1].work_at(usual)
    }

    pub fn work_before(&self, entry: &Entry, usual: &[Usual]) -> f64 {
        let (block, within) = self.place(&order(entry));
        let Some(entries) = self.blocks.get(block) else { return 0.0 };
        let at = within.unwrap_or_else(|at| at);
        let mut work: f64 = entries[..at].iter().map(|each| usual[each.operation].work * each.size).sum();
        let mut node = self.leaves + block;
        while node > 1 {
            if node % 2 == 1 {
                work += self.tree[node - 1].work_at(usual);
            }
            node /= 2;
        }
        work
    }

    pub fn newest(&self) -> Option<usize> {
        (!self.is_empty()).then(|| self.tree[1].newest.3)
    }

    /// The first entry that would end after it is wanted, where `ahead` of work and `before` entries of
    /// higher ranks run first; and how many sums and entries were looked at for it.
    pub fn first_late(
        &self,
        now: Nanos,
        ahead: f64,
        before: usize,
        able: &Able,
        pace: &Pace,
    ) -> (Option<Place>, u64) {
        let mut look = Look { line: self, now, ahead, before, able, pace, looked: 0 };
        let place = if self.is_empty() { None } else { look.under(1) };
        (place, look.looked)
    }

    /// Of all up to this place the one with the highest tag that arrived last.
    pub fn latest_up_to(&self, (block, at): Place) -> Option<usize> {
        let here = self.blocks[block][..=at].iter();
        let mut last = here.map(latest).max().unwrap_or_default();
        let mut node = self.leaves + block;
        while node > 1 {
            if node % 2 == 1 {
                last = last.max(self.tree[node - 1].latest);
            }
            node /= 2;
        }
        Some(last.4)
    }
}

/// On the way to the first late entry: what has been passed is summed up at the present pace.
struct Look<'a> {
    line: &'a Line,
    now: Nanos,
    ahead: f64,
    before: usize,
    able: &'a Able,
    pace: &'a Pace,
    looked: u64,
}

impl Look<'_> {
    fn under(&mut self, node: usize) -> Option<Place> {
        self.looked += 1;
        let sums = &self.line.tree[node];
        let gained = self.pace.gained;
        let most = sums.lateness + gained.work * sums.work + gained.whole * sums.longest;
        let begins = self.pace.since_base(self.now) + self.ahead / self.able.limit;
        let safe =
            sums.count == 0 || self.before + sums.count <= self.able.free || begins + most + ROUNDING < 0.0;
        if safe {
            self.ahead += sums.work_at(&self.able.usual);
            self.before += sums.count;
            return None;
        }
        if node < self.line.leaves {
            return self.under(2 * node).or_else(|| self.under(2 * node + 1));
        }
        let block = node - self.line.leaves;
        for (at, entry) in self.line.blocks[block].iter().enumerate() {
            self.looked += 1;
            let usual = &self.able.usual[entry.operation];
            let end = self.now as f64 + self.ahead / self.able.limit + usual.whole * entry.size;
            self.ahead += usual.work * entry.size;
            if end > entry.wanted as f64 && self.before >= self.able.free {
                return Some((block, at));
            }
            self.before += 1;
        }
        None
    }
}
