//! Summary of consecutive entries in run order. Each node of the tree over a queue contains one summary.

use crate::order::{DeadlineOrder, MemoryOrder};
use crate::reference_times::ReferenceTimes;
use crate::{Entry, UsualTimes};
use std::cmp::Ordering;

/// Sum of the cost ratios of all summarized entries of one operation.
#[derive(Clone, Copy, Debug)]
struct OperationCost {
    operation: usize,
    cost_ratio: f64,
}

/// For each operation, the sum of the cost ratios of its entries, sorted by operation. Operations without
/// entries are not in the list, so that the cost of walking the list does not depend on the number of
/// operations.
#[derive(Clone, Debug, Default)]
struct OperationCosts(Vec<OperationCost>);

impl OperationCosts {
    fn add(&mut self, operation: usize, cost_ratio: f64) {
        match self.0.binary_search_by_key(&operation, |cost| cost.operation) {
            Ok(at) => self.0[at].cost_ratio += cost_ratio,
            Err(at) => self.0.insert(at, OperationCost { operation, cost_ratio }),
        }
    }

    /// Sets `self` to the sum of `left` and `right`. Reuses the memory allocated for `self`.
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

/// Summary of consecutive entries in run order: sums and maxima over the entries.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Number of entries.
    pub count: usize,
    costs: OperationCosts,
    /// Total delay that the entries cause for later entries, ns: their work divided by the concurrency limit.
    /// Computed from the reference times, which are earlier usual times.
    pub work: f64,
    /// Longest time from start to end of the run of an entry, ns. Computed from the reference times, which
    /// are earlier usual times.
    pub longest_elapsed: f64,
    /// Largest lateness of an entry, ns, if the first entry started at time 0. The lateness is the end of the
    /// entry's run minus the entry's deadline. Computed from the reference times, which are earlier usual
    /// times.
    pub lateness: f64,
    pub first_to_reject_for_deadline: DeadlineOrder,
    pub first_to_reject_for_memory: MemoryOrder,
}

impl Summary {
    /// Creates a summary that contains no entries.
    pub fn empty() -> Self {
        Self { lateness: f64::NEG_INFINITY, ..Self::default() }
    }

    /// Sets `self` to the summary of `entries`, computed from the reference times.
    pub fn summarize(&mut self, entries: &[Entry], reference: &ReferenceTimes) {
        self.costs.0.clear();
        self.count = entries.len();
        (self.work, self.longest_elapsed, self.lateness) = (0.0, 0.0, f64::NEG_INFINITY);
        self.first_to_reject_for_deadline = DeadlineOrder::default();
        self.first_to_reject_for_memory = MemoryOrder::default();
        for entry in entries {
            let usual = reference.of(entry);
            let elapsed = usual.elapsed_ns * entry.cost_ratio;
            self.lateness = self.lateness.max(self.work + elapsed - entry.deadline as f64);
            self.work += usual.queue_ns * entry.cost_ratio;
            self.longest_elapsed = self.longest_elapsed.max(elapsed);
            self.costs.add(entry.operation, entry.cost_ratio);
            self.first_to_reject_for_deadline =
                self.first_to_reject_for_deadline.max(DeadlineOrder::of(entry));
            self.first_to_reject_for_memory = self.first_to_reject_for_memory.max(MemoryOrder::of(entry));
        }
    }

    /// Sets `self` to the summary of the entries of both `left` and `right`. The entries of `left` run first.
    pub fn join(&mut self, left: &Summary, right: &Summary) {
        self.count = left.count + right.count;
        self.costs.join(&left.costs, &right.costs);
        self.work = left.work + right.work;
        self.longest_elapsed = left.longest_elapsed.max(right.longest_elapsed);
        self.lateness = left.lateness.max(left.work + right.lateness);
        self.first_to_reject_for_deadline =
            left.first_to_reject_for_deadline.max(right.first_to_reject_for_deadline);
        self.first_to_reject_for_memory =
            left.first_to_reject_for_memory.max(right.first_to_reject_for_memory);
    }

    /// Returns the total work of the entries, computed from `usual_times`, in nanoseconds of one core.
    pub fn work_at(&self, usual_times: &[UsualTimes]) -> f64 {
        self.costs.0.iter().map(|cost| cost.cost_ratio * usual_times[cost.operation].core_ns).sum()
    }
}
