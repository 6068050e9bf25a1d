//! Search for the first late entry: the first that would end after its deadline.
//!
//! The search skips a tree node whose entries end in time even under the maximum growth of the usual times
//! since the reference, and descends into all other nodes. Individual entries are checked against the
//! present times only, so the result is exact.

use crate::reference_times::ReferenceTimes;
use crate::sum_tree::{Block, SumTree};
use crate::{Capacity, Nanos};

/// Bound on the rounding error of a time in floating point, in nanoseconds, on a clock that counts from
/// 1970. Adjacent floating-point numbers are 256 ns apart there; the bound is eight times that, because a
/// sum is rounded several times.
const ROUNDING_NS: f64 = 2048.0;

/// Location of an entry: a block and an index in the block.
#[derive(Clone, Copy, Debug)]
pub struct EntryIndex {
    /// Index of the block.
    pub block: usize,
    /// Index in the block.
    pub index: usize,
}

/// Entries that run before a given one: their work and their number.
#[derive(Clone, Copy, Debug)]
pub struct QueuedAhead {
    /// Work in nanoseconds of one core.
    pub work: f64,
    /// Number of entries.
    pub entries: usize,
}

/// Result of a search for the first late entry.
pub struct SearchResult {
    /// Location of the first late entry; `None` if all entries end in time.
    pub entry: Option<EntryIndex>,
    /// Number of summaries and entries inspected.
    pub inspected: u64,
}

/// State of a search. Skipped entries are added to `ahead` at the present usual times.
pub struct LateSearch<'a> {
    /// Tree of summaries of the queue to search.
    pub tree: &'a SumTree,
    /// Blocks of the queue to search.
    pub blocks: &'a [Block],
    /// Time at which the first entry in run order would start.
    pub now: Nanos,
    /// Entries that run before the node being searched.
    pub ahead: QueuedAhead,
    /// Present usual times and limits.
    pub capacity: &'a Capacity<'a>,
    /// Reference times for which the tree stores lateness.
    pub reference: &'a ReferenceTimes,
    /// Number of summaries and entries inspected.
    pub inspected: u64,
}

impl LateSearch<'_> {
    /// Searches the entries below a tree node.
    pub fn search_node(&mut self, node: usize) -> Option<EntryIndex> {
        self.inspected += 1;
        if self.is_in_time(node) {
            let summary = self.tree.node(node);
            self.ahead.work += summary.work_at(self.capacity.usual_times);
            self.ahead.entries += summary.count;
            return None;
        }
        match self.tree.block_of(node) {
            None => self.search_node(2 * node).or_else(|| self.search_node(2 * node + 1)),
            Some(block) => self.search_block(block),
        }
    }

    /// Whether all entries below a node certainly end in time or may start immediately.
    fn is_in_time(&self, node: usize) -> bool {
        let summary = self.tree.node(node);
        let growth = self.reference.growth();
        let lateness_max =
            summary.lateness + growth.queue * summary.work + growth.elapsed * summary.longest_elapsed;
        let begins = self.now as f64 + self.ahead.work / self.capacity.concurrency_limit;
        summary.count == 0
            || self.ahead.entries + summary.count <= self.capacity.free_slots
            || begins + lateness_max + ROUNDING_NS < 0.0
    }

    fn search_block(&mut self, block: usize) -> Option<EntryIndex> {
        for (index, entry) in self.blocks[block].iter().enumerate() {
            self.inspected += 1;
            let usual = &self.capacity.usual_times[entry.operation];
            let end = self.now as f64
                + self.ahead.work / self.capacity.concurrency_limit
                + usual.elapsed_ns * entry.cost_ratio;
            self.ahead.work += usual.core_ns * entry.cost_ratio;
            if end > entry.deadline as f64 && self.ahead.entries >= self.capacity.free_slots {
                return Some(EntryIndex { block, index });
            }
            self.ahead.entries += 1;
        }
        None
    }
}
