//! What is known of some entries that stand in a row: a node of the tree of sums.

use crate::order::{DeadlineOrder, MemoryOrder};
use crate::reference_times::ReferenceTimes;
use crate::{Entry, UsualTimes};
use std::cmp::Ordering;

/// Sum of the cost ratios of an operation's entries.
#[derive(Clone, Copy, Debug)]
struct OperationCost {
    operation: usize,
    cost_ratio: f64,
}

/// Cost ratios summed up by operation, in the order of operations: only of those that have entries, so that
/// a sum costs what stands in it, however many operations there are.
#[derive(Clone, Debug, Default)]
struct OperationCosts(Vec<OperationCost>);

impl OperationCosts {
    fn add(&mut self, operation: usize, cost_ratio: f64) {
        match self.0.binary_search_by_key(&operation, |cost| cost.operation) {
            Ok(at) => self.0[at].cost_ratio += cost_ratio,
            Err(at) => self.0.insert(at, OperationCost { operation, cost_ratio }),
        }
    }

    /// Becomes the sums of two together, in the memory that it has.
    fn join(&mut self, left: &Self, right: &Self) {
        self.0.clear();
        let (mut left, mut right) = (left.0.as_slice(), right.0.as_slice());
        while let ([first, after_left @ ..], [second, after_right @ ..]) = (left, right) {
            let (operation, sum) = (first.operation, first.cost_ratio + second.cost_ratio);
            match operation.cmp(&second.operation) {
                Ordering::Less => {
                    self.0.push(*first);
                    left = after_left;
                }
                Ordering::Greater => {
                    self.0.push(*second);
                    right = after_right;
                }
                Ordering::Equal => {
                    self.0.push(OperationCost { operation, cost_ratio: sum });
                    (left, right) = (after_left, after_right);
                }
            }
        }
        self.0.extend_from_slice(left);
        self.0.extend_from_slice(right);
    }
}

/// Sums of entries that stand in a row.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// How many entries there are.
    pub count: usize,
    costs: OperationCosts,
    /// At the reference times, ns: work over the concurrency limit, and the longest elapsed time.
    pub work: f64,
    pub longest: f64,
    /// At the reference times: the most by which one of them would end after its deadline, if the first of
    /// them began at 0 on the clock; ns.
    pub lateness: f64,
    pub first_to_reject_for_deadline: DeadlineOrder,
    pub first_to_reject_for_memory: MemoryOrder,
}

impl Summary {
    /// The summary of no entries.
    pub fn of_none() -> Self {
        Self { lateness: f64::NEG_INFINITY, ..Self::default() }
    }

    /// Becomes the summary of these entries.
    pub fn summarize(&mut self, entries: &[Entry], reference: &ReferenceTimes) {
        self.costs.0.clear();
        self.count = entries.len();
        (self.work, self.longest, self.lateness) = (0.0, 0.0, f64::NEG_INFINITY);
        self.first_to_reject_for_deadline = DeadlineOrder::default();
        self.first_to_reject_for_memory = MemoryOrder::default();
        for entry in entries {
            let usual = reference.of(entry);
            let elapsed = usual.elapsed_ns * entry.cost_ratio;
            self.lateness = self.lateness.max(self.work + elapsed - entry.deadline as f64);
            self.work += usual.queue_ns * entry.cost_ratio;
            self.longest = self.longest.max(elapsed);
            self.costs.add(entry.operation, entry.cost_ratio);
            self.first_to_reject_for_deadline =
                self.first_to_reject_for_deadline.max(DeadlineOrder::of(entry));
            self.first_to_reject_for_memory = self.first_to_reject_for_memory.max(MemoryOrder::of(entry));
        }
    }

    /// Becomes the summary of two rows, the right one behind the left one.
    pub fn join(&mut self, left: &Summary, right: &Summary) {
        self.count = left.count + right.count;
        self.costs.join(&left.costs, &right.costs);
        self.work = left.work + right.work;
        self.longest = left.longest.max(right.longest);
        self.lateness = left.lateness.max(left.work + right.lateness);
        self.first_to_reject_for_deadline =
            left.first_to_reject_for_deadline.max(right.first_to_reject_for_deadline);
        self.first_to_reject_for_memory =
            left.first_to_reject_for_memory.max(right.first_to_reject_for_memory);
    }

    /// Work at these usual times, in nanoseconds of one core.
    pub fn work_at(&self, usual_times: &[UsualTimes]) -> f64 {
        self.costs.0.iter().map(|cost| cost.cost_ratio * usual_times[cost.operation].core_ns).sum()
    }
}
