//! The search for the first entry that would end after its deadline.
//!
//! A node of the tree that is in time even with the growth of all times since the reference is passed over.
//! Others are descended into, and an entry is judged by the present times alone, so the result is exact.

use crate::reference_times::ReferenceTimes;
use crate::sum_tree::{Block, SumTree};
use crate::{Capacity, Nanos};

/// Rounding of points in time as floating numbers, in nanoseconds, on a clock that counts from 1970: eight
/// times the 256 ns between neighbours there, for the several roundings of a sum.
const ROUNDING_NS: f64 = 2048.0;

/// A block and an index in it.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    /// Index of the block.
    pub block: usize,
    /// Index in the block.
    pub index: usize,
}

/// What runs before: work in nanoseconds of one core, and the number of entries.
#[derive(Clone, Copy, Debug)]
pub struct Ahead {
    /// Nanoseconds of one core.
    pub work: f64,
    /// How many run before.
    pub entries: usize,
}

/// The first late entry, and how many sums and entries were looked at for it.
pub struct Found {
    /// `None` where all end in time.
    pub place: Option<Place>,
    /// Sums and entries that were looked at.
    pub inspected: u64,
}

/// A search under way: what has been passed is added to `ahead` at the present times.
pub struct LateSearch<'a> {
    /// Of the queue that is searched.
    pub tree: &'a SumTree,
    /// Of the queue that is searched.
    pub blocks: &'a [Block],
    /// When the first of all would start.
    pub now: Nanos,
    /// What runs before the node that is looked at.
    pub ahead: Ahead,
    /// The present usual times and limits.
    pub capacity: &'a Capacity<'a>,
    /// What the lateness in the tree is kept for.
    pub reference: &'a ReferenceTimes,
    /// Sums and entries that were looked at.
    pub inspected: u64,
}

impl LateSearch<'_> {
    /// Searches the entries under this node.
    pub fn under(&mut self, node: usize) -> Option<Place> {
        self.inspected += 1;
        if self.is_in_time(node) {
            let summary = self.tree.node(node);
            self.ahead.work += summary.work_at(self.capacity.usual_times);
            self.ahead.entries += summary.count;
            return None;
        }
        match self.tree.block_of(node) {
            None => self.under(2 * node).or_else(|| self.under(2 * node + 1)),
            Some(block) => self.within(block),
        }
    }

    /// Whether all entries under a node surely end in time or may start at once.
    fn is_in_time(&self, node: usize) -> bool {
        let summary = self.tree.node(node);
        let growth = self.reference.growth();
        let lateness_max = summary.lateness + growth.queue * summary.work + growth.elapsed * summary.longest;
        let begins = self.now as f64 + self.ahead.work / self.capacity.concurrency_limit;
        summary.count == 0
            || self.ahead.entries + summary.count <= self.capacity.free_slots
            || begins + lateness_max + ROUNDING_NS < 0.0
    }

    fn within(&mut self, block: usize) -> Option<Place> {
        for (index, entry) in self.blocks[block].iter().enumerate() {
            self.inspected += 1;
            let usual = &self.capacity.usual_times[entry.operation];
            let end = self.now as f64
                + self.ahead.work / self.capacity.concurrency_limit
                + usual.elapsed_ns * entry.cost_ratio;
            self.ahead.work += usual.core_ns * entry.cost_ratio;
            if end > entry.deadline as f64 && self.ahead.entries >= self.capacity.free_slots {
                return Some(Place { block, index });
            }
            self.ahead.entries += 1;
        }
        None
    }
}
