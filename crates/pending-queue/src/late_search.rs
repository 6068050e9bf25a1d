//! Searches for the first late entry of a queue in run order. An entry is late if it may not start
//! immediately and its run would end after its deadline.
//!
//! The search uses a tree whose nodes summarize the entries below them. The summaries contain lateness
//! that was computed from the usual times of the operations' runs at an earlier moment. These earlier usual
//! times are called the reference times. Since that moment, the usual times have grown by at most a known
//! share. The search skips a node if all entries below it would end in time even after this growth. Otherwise
//! the search continues below the node. Individual entries are checked against the present usual times, so
//! the result is exact.

use crate::reference_times::ReferenceTimes;
use crate::sum_tree::{Block, SumTree};
use crate::{Capacity, Nanos};

/// Upper bound of the rounding error of a time stored as a floating-point number, in nanoseconds. On a clock
/// that counts from 1970, adjacent floating-point numbers are 256 ns apart. The bound is eight times that,
/// because a sum is rounded several times.
const ROUNDING_NS: f64 = 2048.0;

/// Location of an entry in the queue of a rank: the block that contains the entry, and the index in that
/// block.
#[derive(Clone, Copy, Debug)]
pub struct EntryIndex {
    /// Index of the block in the queue.
    pub block: usize,
    /// Index of the entry in the block.
    pub index: usize,
}

/// Entries that run before a given entry: their number and their work.
#[derive(Clone, Copy, Debug)]
pub struct QueuedAhead {
    /// Usual work of the entries that run before the given entry, in nanoseconds of one core.
    pub work: f64,
    /// Number of entries that run before the given entry.
    pub entries: usize,
}

/// Result of a search for the first late entry.
pub struct SearchResult {
    /// Location of the first late entry; `None` if no entry is late.
    pub entry: Option<EntryIndex>,
    /// Number of summaries (tree nodes) and entries that the search inspected, which is its cost.
    pub inspected: u64,
}

/// State of a search for the first late entry. The field `ahead` counts the entries that the search has
/// passed, with their work at the present usual times.
pub struct LateSearch<'a> {
    /// Tree of summaries of the queue that is searched.
    pub tree: &'a SumTree,
    /// Blocks of the queue to search.
    pub blocks: &'a [Block],
    /// Present time, at which the first entry in run order would start.
    pub now: Nanos,
    /// Entries that run before the tree node or the block that is being searched.
    pub ahead: QueuedAhead,
    /// Capacity of the server: present usual times, concurrency limit and free slots.
    pub capacity: &'a Capacity<'a>,
    /// Reference times: the usual times from which the lateness in the tree was computed.
    pub reference: &'a ReferenceTimes,
    /// Number of summaries (tree nodes) and entries that the search has inspected so far.
    pub inspected: u64,
}

impl LateSearch<'_> {
    /// Returns the first late entry below a node of the tree. Returns `None` if no entry below the node is
    /// late.
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

    /// Whether all entries below a node certainly end in time or may start immediately. A false result does
    /// not prove that an entry is late.
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
