//! A binary tree over the blocks of a queue. Each node summarizes the entries of the blocks below it.

use crate::Entry;
use crate::reference_times::ReferenceTimes;
use crate::summary::Summary;

/// A block: some consecutive entries of the queue, in run order.
pub type Block = Vec<Entry>;

/// A binary tree of summaries, stored in a vector. The root is node 1, and the children of node n are the
/// nodes 2n and 2n + 1. The leaf of the block with index `i` is the node `leaves + i`.
#[derive(Debug, Default)]
pub struct SumTree {
    nodes: Vec<Summary>,
    leaves: usize,
}

impl SumTree {
    /// Creates the tree of a queue that has no blocks.
    pub fn new() -> Self {
        let mut tree = Self::default();
        tree.resize(0);
        tree
    }

    fn resize(&mut self, blocks: usize) {
        self.leaves = blocks.next_power_of_two();
        self.nodes.resize_with(2 * self.leaves, Summary::empty);
    }

    /// Returns the summary of all blocks.
    pub fn root(&self) -> &Summary {
        &self.nodes[1]
    }

    /// Returns the summary of all blocks below a node.
    pub fn node(&self, node: usize) -> &Summary {
        &self.nodes[node]
    }

    /// Returns the index of the block whose leaf is `node`. Returns `None` if `node` is not a leaf.
    pub fn block_of(&self, node: usize) -> Option<usize> {
        node.checked_sub(self.leaves)
    }

    /// Iterates over summaries that together cover all blocks before `block`. The summary of the blocks
    /// nearest to `block` is first.
    pub fn before(&self, block: usize) -> impl Iterator<Item = &Summary> {
        let mut node = self.leaves + block;
        std::iter::from_fn(move || {
            while node > 1 {
                let left_sibling = (node % 2 == 1).then(|| node - 1);
                node /= 2;
                if let Some(sibling) = left_sibling {
                    return Some(&self.nodes[sibling]);
                }
            }
            None
        })
    }

    /// Recomputes the summaries of all nodes.
    pub fn rebuild(&mut self, blocks: &[Block], reference: &ReferenceTimes) {
        self.resize(blocks.len());
        for i in 0..self.leaves {
            let entries = blocks.get(i).map_or(&[][..], |block| block);
            self.nodes[self.leaves + i].summarize(entries, reference);
        }
        self.join_above(0, self.leaves);
    }

    /// Recomputes the summaries that include the block with index `block`. Called after the entries of this
    /// block have changed.
    pub fn update(&mut self, blocks: &[Block], block: usize, reference: &ReferenceTimes) {
        let mut node = self.leaves + block;
        self.nodes[node].summarize(&blocks[block], reference);
        while node > 1 {
            node /= 2;
            self.join(node);
        }
    }

    /// Updates the tree after the block with index `block` has been split in two. The second half is now the
    /// block with index `block + 1`.
    pub fn block_inserted(&mut self, blocks: &[Block], block: usize, reference: &ReferenceTimes) {
        let count = blocks.len();
        if self.needs_resize(count) {
            return self.rebuild(blocks, reference);
        }
        let from = self.leaves + block;
        self.nodes[from + 1..self.leaves + count].rotate_right(1);
        for (i, entries) in blocks.iter().enumerate().take(block + 2).skip(block) {
            self.nodes[self.leaves + i].summarize(entries, reference);
        }
        self.join_above(block, count + 1);
    }

    /// Updates the tree after the block that had the index `block` has been removed from the queue.
    pub fn block_removed(&mut self, blocks: &[Block], block: usize, reference: &ReferenceTimes) {
        let count = blocks.len();
        if self.needs_resize(count) {
            return self.rebuild(blocks, reference);
        }
        let from = self.leaves + block;
        self.nodes[from..=self.leaves + count].rotate_left(1);
        self.nodes[self.leaves + count].summarize(&[], reference);
        self.join_above(block, count + 1);
    }

    fn needs_resize(&self, blocks: usize) -> bool {
        blocks > self.leaves || blocks * 4 < self.leaves
    }

    /// Recomputes the summaries of all nodes above the leaves of the blocks with the indexes `from..to`.
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
        let (above, below) = self.nodes.split_at_mut(2 * node);
        above[node].join(&below[0], &below[1]);
    }
}
