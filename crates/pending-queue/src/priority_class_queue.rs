//! The queue of one rank (priority class). The entries are stored in run order, in blocks. A tree summarizes
//! the entries of the blocks.

use crate::late_search::{EntryIndex, LateSearch, QueuedAhead, SearchResult};
use crate::order::{DeadlineOrder, RunOrder};
use crate::reference_times::ReferenceTimes;
use crate::sum_tree::{Block, SumTree};
use crate::{Capacity, Entry, Nanos, UsualTimes};

/// Maximum number of entries in a block. An insertion searches and moves at most this many entries.
const BLOCK_ENTRIES_MAX: usize = 64;

/// The queue of one rank.
#[derive(Debug)]
pub struct PriorityClassQueue {
    /// Blocks of entries in run order. No block is empty.
    blocks: Vec<Block>,
    tree: SumTree,
}

/// Position of an entry in run order. `block` is the index of the block that contains the entry or would
/// contain it. `index` is the index of the entry in that block (`Ok`), or the index at which to insert the
/// entry (`Err`).
struct Position {
    block: usize,
    index: Result<usize, usize>,
}

impl PriorityClassQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self { blocks: Vec::new(), tree: SumTree::new() }
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.tree.root().count
    }

    /// Returns the entry that runs next.
    pub fn first(&self) -> Option<&Entry> {
        self.blocks.first().map(|block| &block[0])
    }

    /// Iterates over the entries in run order.
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

    /// Inserts an entry at its position in run order. A full block at this position is split in two.
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

    /// Splits the block with index `block`, which is full, and inserts `entry`. `index` is the position of
    /// the entry in that block before the split.
    fn split(&mut self, block: usize, index: usize, entry: Entry) {
        // If the entry belongs at the end of the last block and this block is full, the block is not split
        // and the entry starts a new block. Entries that are inserted in run order therefore fill their
        // blocks.
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

    /// Removes an entry. Returns false if the entry is not in the queue.
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

    /// Recomputes all summaries of the tree from the current reference times.
    pub fn rebuild(&mut self, reference: &ReferenceTimes) {
        self.tree.rebuild(&self.blocks, reference);
    }

    /// Returns the total usual work of all entries, in nanoseconds of one core.
    pub fn work(&self, usual_times: &[UsualTimes]) -> f64 {
        self.tree.root().work_at(usual_times)
    }

    /// Returns the total usual work of the entries that run before `entry`, in nanoseconds of one core. The
    /// queue need not contain `entry`.
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

    /// Returns the key of the entry of this rank to reject first when memory is short.
    pub fn first_to_reject_for_memory(&self) -> Option<usize> {
        (!self.blocks.is_empty()).then(|| self.tree.root().first_to_reject_for_memory.key)
    }

    /// Finds the first late entry. An entry is late if it may not start immediately and its run would end
    /// after its deadline. `ahead` contains the number and the work of the entries of higher ranks, which run
    /// before the entries of this queue.
    pub fn first_late(
        &self,
        now: Nanos,
        ahead: QueuedAhead,
        capacity: &Capacity,
        reference: &ReferenceTimes,
    ) -> SearchResult {
        let (tree, blocks) = (&self.tree, self.blocks.as_slice());
        let mut search = LateSearch { tree, blocks, now, ahead, capacity, reference, inspected: 0 };
        let entry = if self.blocks.is_empty() { None } else { search.search_node(1) };
        SearchResult { entry, inspected: search.inspected }
    }

    /// Returns the key of the entry to reject so that the late entry at `entry` can meet its deadline.
    ///
    /// The candidates are the late entry and the entries that run before it. The candidate with the highest
    /// start tag is rejected. Of candidates with equal start tags, the latest arrival is rejected. Candidates
    /// that were promised admission are rejected only after all other candidates.
    pub fn first_to_reject_up_to(&self, entry: EntryIndex) -> usize {
        let within = self.blocks[entry.block][..=entry.index].iter().map(DeadlineOrder::of);
        let before = self.tree.before(entry.block).map(|summary| summary.first_to_reject_for_deadline);
        within.chain(before).max().unwrap_or_default().key
    }
}
