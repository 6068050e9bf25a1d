//! A binary tree of summaries over the blocks of a queue.

use crate::Entry;
use crate::reference_times::ReferenceTimes;
use crate::summary::Summary;

/// A block of entries, in the order they will run.
pub type Block = Vec<Entry>;

/// Laid out flat: node 1 is the root, the children of node n are 2n and 2n + 1, and the leaf of a block
/// stands at `leaves` plus the block's index.
#[derive(Debug, Default)]
pub struct SumTree {
    nodes: Vec<Summary>,
    leaves: usize,
}

impl SumTree {
    /// The tree of no blocks.
    pub fn new() -> Self {
        let mut tree = Self::default();
        tree.resize(0);
        tree
    }

    fn resize(&mut self, blocks: usize) {
        self.leaves = blocks.next_power_of_two();
        self.nodes.resize_with(2 * self.leaves, Summary::of_none);
    }

    /// The summary of all blocks.
    pub fn root(&self) -> &Summary {
        &self.nodes[1]
    }

    /// The summary of the blocks under a node.
    pub fn node(&self, node: usize) -> &Summary {
        &self.nodes[node]
    }

    /// The block whose leaf this node is; `None` for an inner node.
    pub fn block_of(&self, node: usize) -> Option<usize> {
        node.checked_sub(self.leaves)
    }

    /// Summaries that together cover all blocks before this one, from the nearest to the farthest.
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

    /// Computes all summaries anew.
    pub fn rebuild(&mut self, blocks: &[Block], reference: &ReferenceTimes) {
        self.resize(blocks.len());
        for i in 0..self.leaves {
            let entries = blocks.get(i).map_or(&[][..], |block| block);
            self.nodes[self.leaves + i].summarize(entries, reference);
        }
        self.join_above(0, self.leaves);
    }

    /// The entries of a block have changed.
    pub fn update(&mut self, blocks: &[Block], block: usize, reference: &ReferenceTimes) {
        let mut node = self.leaves + block;
        self.nodes[node].summarize(&blocks[block], reference);
        while node > 1 {
            node /= 2;
            self.join(node);
        }
    }

    /// A block was inserted behind this one, which was split.
    pub fn block_inserted(&mut self, blocks: &[Block], block: usize, reference: &ReferenceTimes) {
        let count = blocks.len();
        if self.has_wrong_size(count) {
            return self.rebuild(blocks, reference);
        }
        let from = self.leaves + block;
        self.nodes[from + 1..self.leaves + count].rotate_right(1);
        for (i, entries) in blocks.iter().enumerate().take(block + 2).skip(block) {
            self.nodes[self.leaves + i].summarize(entries, reference);
        }
        self.join_above(block, count + 1);
    }

    /// The block that had this index was removed.
    pub fn block_removed(&mut self, blocks: &[Block], block: usize, reference: &ReferenceTimes) {
        let count = blocks.len();
        if self.has_wrong_size(count) {
            return self.rebuild(blocks, reference);
        }
        let from = self.leaves + block;
        self.nodes[from..=self.leaves + count].rotate_left(1);
        self.nodes[self.leaves + count].summarize(&[], reference);
        self.join_above(block, count + 1);
    }

    fn has_wrong_size(&self, blocks: usize) -> bool {
        blocks > self.leaves || blocks * 4 < self.leaves
    }

    /// Joins anew what lies above the leaves from one block to before another.
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
