//! The queue of one rank (a priority class): entries in the order they will run, in blocks, with a tree of
//! sums over the blocks.

use crate::late_search::{Ahead, Found, LateSearch, Place};
use crate::order::{DeadlineOrder, RunOrder};
use crate::reference_times::ReferenceTimes;
use crate::sum_tree::{Block, SumTree};
use crate::{Capacity, Entry, Nanos, UsualTimes};

/// Most entries of a block: what one insertion may move and look through.
const BLOCK_ENTRIES_MAX: usize = 64;

/// The entries of one rank.
#[derive(Debug)]
pub struct PriorityClassQueue {
    /// None of them empty.
    blocks: Vec<Block>,
    tree: SumTree,
}

/// The last block that begins at or before some entry, and the index in it at which the entry stands (`Ok`)
/// or would be inserted (`Err`).
struct Position {
    block: usize,
    index: Result<usize, usize>,
}

impl PriorityClassQueue {
    /// An empty queue.
    pub fn new() -> Self {
        Self { blocks: Vec::new(), tree: SumTree::new() }
    }

    /// Entries in the queue.
    pub fn len(&self) -> usize {
        self.tree.root().count
    }

    /// The entry that runs next.
    pub fn first(&self) -> Option<&Entry> {
        self.blocks.first().map(|block| &block[0])
    }

    /// Entries in the order they will run.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.blocks.iter().flatten()
    }

    fn position(&self, entry: &Entry) -> Position {
        let order = RunOrder::of(entry);
        let later = self.blocks.partition_point(|block| RunOrder::of(&block[0]) <= order);
        let block = later.saturating_sub(1);
        let index = match self.blocks.get(block) {
            Some(entries) => entries.binary_search_by_key(&order, RunOrder::of),
            None => Err(0),
        };
        Position { block, index }
    }

    /// Adds an entry at its place; splits its block where that is full.
    pub fn insert(&mut self, entry: Entry, reference: &ReferenceTimes) {
        let Position { block, index } = self.position(&entry);
        let index = index.unwrap_or_else(|index| index);
        if self.blocks.is_empty() {
            self.blocks.push(vec![entry]);
            self.rebuild(reference);
        } else if self.blocks[block].len() < BLOCK_ENTRIES_MAX {
            self.blocks[block].insert(index, entry);
            self.tree.update(&self.blocks, block, reference);
        } else {
            self.split(block, index, entry);
            self.tree.block_inserted(&self.blocks, block, reference);
        }
    }

    /// Splits a full block and inserts the entry at this index of the former block.
    fn split(&mut self, block: usize, index: usize, entry: Entry) {
        // At the very end a new block begins, so that what comes in order fills its blocks.
        let at_end = index == BLOCK_ENTRIES_MAX && block + 1 == self.blocks.len();
        let kept = if at_end { BLOCK_ENTRIES_MAX } else { BLOCK_ENTRIES_MAX / 2 };
        let mut second = self.blocks[block].split_off(kept);
        second.reserve(BLOCK_ENTRIES_MAX - second.len());
        if at_end || index > BLOCK_ENTRIES_MAX / 2 {
            second.insert(index - self.blocks[block].len(), entry);
        } else {
            self.blocks[block].insert(index, entry);
        }
        self.blocks.insert(block + 1, second);
    }

    /// False where the entry is not in the queue.
    pub fn remove(&mut self, entry: &Entry, reference: &ReferenceTimes) -> bool {
        let Position { block, index: Ok(index) } = self.position(entry) else { return false };
        self.blocks[block].remove(index);
        if self.blocks[block].is_empty() {
            self.blocks.remove(block);
            self.tree.block_removed(&self.blocks, block, reference);
        } else {
            self.tree.update(&self.blocks, block, reference);
        }
        true
    }

    /// Computes all sums anew, for the present reference times.
    pub fn rebuild(&mut self, reference: &ReferenceTimes) {
        self.tree.rebuild(&self.blocks, reference);
    }

    /// Usual work of all entries, in nanoseconds of one core.
    pub fn work(&self, usual_times: &[UsualTimes]) -> f64 {
        self.tree.root().work_at(usual_times)
    }

    /// Usual work of the entries before this one, which need not be in the queue.
    pub fn work_before(&self, entry: &Entry, usual_times: &[UsualTimes]) -> f64 {
        let Position { block, index } = self.position(entry);
        let Some(entries) = self.blocks.get(block) else { return 0.0 };
        let index = index.unwrap_or_else(|index| index);
        let usual = |each: &Entry| usual_times[each.operation].core_ns * each.cost_ratio;
        let mut work: f64 = entries[..index].iter().map(usual).sum();
        for summary in self.tree.before(block) {
            work += summary.work_at(usual_times);
        }
        work
    }

    /// The key of the entry to reject first when memory is short.
    pub fn first_to_reject_for_memory(&self) -> Option<usize> {
        (!self.blocks.is_empty()).then(|| self.tree.root().first_to_reject_for_memory.key)
    }

    /// The first entry that would end after its deadline, with this `ahead` of it in higher ranks.
    pub fn first_late(
        &self,
        now: Nanos,
        ahead: Ahead,
        capacity: &Capacity,
        reference: &ReferenceTimes,
    ) -> Found {
        let (tree, blocks) = (&self.tree, self.blocks.as_slice());
        let mut search = LateSearch { tree, blocks, now, ahead, capacity, reference, inspected: 0 };
        let place = if self.blocks.is_empty() { None } else { search.under(1) };
        Found { place, inspected: search.inspected }
    }

    /// The key of the entry to reject for a late one at this place: of all up to it the one with the highest
    /// start tag that arrived last.
    pub fn first_to_reject_up_to(&self, place: Place) -> usize {
        let within = self.blocks[place.block][..=place.index].iter().map(DeadlineOrder::of);
        let before = self.tree.before(place.block).map(|summary| summary.first_to_reject_for_deadline);
        within.chain(before).max().unwrap_or_default().key
    }
}
