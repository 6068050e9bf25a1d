//! The pending queue of a server: admitted invocations that wait for a core.
//!
//! A [`PendingQueue`] holds [`Entry`]s in the order in which they will run, in one queue per rank. It also
//! holds their deadlines by operation. The controller makes the decisions. It queries the queue for the
//! next entry to run, overdue entries, the entry of the lowest priority, the queued work, and the entry to
//! reject so that the others meet their deadlines. None of these queries walks all entries;
//! `docs/pending-queue.md` lists their costs. Times are nanoseconds of a single monotonic clock; work is in
//! nanoseconds of one core.

#![deny(missing_docs, clippy::too_many_lines)]

pub mod expiring_keys;
mod late_search;
mod order;
mod priority_class_queue;
mod reference_times;
mod sum_tree;
mod summary;

use late_search::QueuedAhead;
use priority_class_queue::PriorityClassQueue;
use reference_times::ReferenceTimes;
use std::collections::{BTreeMap, BTreeSet};

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;

/// An invocation that waits in the queue. The queue locates an entry by its field values, so removing an
/// entry requires the values with which it was inserted.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Entry {
    /// Unique number that increases with each arrival.
    pub arrival_number: u64,
    /// Key under which the owner of the queue stores the invocation.
    pub key: usize,
    /// Id of the invocation. Among entries of a rank with equal start tags and deadlines, the lowest id
    /// runs first.
    pub id: u64,
    /// Index of the operation.
    pub operation: usize,
    /// Index of the priority class; higher ranks run first.
    pub rank: usize,
    /// Start tag of fair queueing within the rank; the lowest tag runs first. Equal for all entries if fair
    /// queueing is off.
    pub start_tag: u64,
    /// Whether the invocation was promised admission. Such an invocation is rejected only after all others
    /// of its rank.
    pub promised: bool,
    /// Time at which the invocation reached the machine.
    pub arrived: Nanos,
    /// Objective deadline. Among entries of a rank with equal start tags, the earliest deadline runs first.
    pub deadline: Nanos,
    /// Factor by which the usual times of the operation are multiplied to estimate those of this run.
    pub cost_ratio: f64,
}

/// Usual times of a run of an operation, in nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsualTimes {
    /// Core time.
    pub core_ns: f64,
    /// Time from start to end, including downstream calls.
    pub elapsed_ns: f64,
}

/// Capacity of the server, from which the ends of entries are predicted.
#[derive(Clone, Copy, Debug)]
pub struct Capacity<'a> {
    /// Usual times of a run, indexed by operation.
    pub usual_times: &'a [UsualTimes],
    /// Limit on concurrent runs, 1 or more.
    pub concurrency_limit: f64,
    /// Number of runs that may start immediately.
    pub free_slots: usize,
}

/// The objective deadline of an entry; ordered by deadline, then by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Deadline {
    at: Nanos,
    arrival_number: u64,
    key: usize,
}

impl Deadline {
    fn of(entry: &Entry) -> Self {
        Self { at: entry.deadline, arrival_number: entry.arrival_number, key: entry.key }
    }
}

/// Identifies an entry by its arrival number and key; ordered by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ArrivalKey {
    /// Same as [`Entry::arrival_number`].
    pub arrival_number: u64,
    /// Same as [`Entry::key`].
    pub key: usize,
}

/// Admitted invocations in the order in which they will run.
#[derive(Debug, Default)]
pub struct PendingQueue {
    /// One queue for each priority class, indexed by rank.
    classes: Vec<PriorityClassQueue>,
    /// Deadlines of the entries, by operation. Contains only operations that have entries, so that the cost
    /// of a search depends on the number of entries and not on the number of operations.
    deadlines: BTreeMap<usize, BTreeSet<Deadline>>,
    /// Entries that are known to be overdue and are still in the queue.
    overdue: BTreeSet<ArrivalKey>,
    /// Whether [`PendingQueue::mark_overdue`] has added entries to `overdue` since the deadlines were last
    /// searched.
    has_unsearched_deadlines: bool,
    reference: ReferenceTimes,
    len: usize,
    inspected: u64,
}

impl PendingQueue {
    /// Creates a queue for ranks below `ranks` and operations below `operations`.
    pub fn new(ranks: usize, operations: usize) -> Self {
        Self {
            classes: (0..ranks).map(|_| PriorityClassQueue::new()).collect(),
            reference: ReferenceTimes::new(operations),
            ..Self::default()
        }
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the queue has no entries.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Inserts an entry at its position in run order.
    pub fn insert(&mut self, entry: Entry) {
        self.len += 1;
        self.deadlines.entry(entry.operation).or_default().insert(Deadline::of(&entry));
        self.classes[entry.rank].insert(entry, &self.reference);
    }

    /// Removes an entry; returns false if it was not in the queue.
    pub fn remove(&mut self, entry: &Entry) -> bool {
        let found = self.classes[entry.rank].remove(entry, &self.reference);
        if found {
            self.len -= 1;
            self.remove_deadline(entry);
            self.overdue.remove(&ArrivalKey { arrival_number: entry.arrival_number, key: entry.key });
        }
        found
    }

    fn remove_deadline(&mut self, entry: &Entry) {
        let Some(deadlines) = self.deadlines.get_mut(&entry.operation) else { return };
        deadlines.remove(&Deadline::of(entry));
        if deadlines.is_empty() {
            self.deadlines.remove(&entry.operation);
        }
    }

    /// Marks an entry as overdue, regardless of its deadline.
    pub fn mark_overdue(&mut self, entry: &Entry) {
        self.overdue.insert(ArrivalKey { arrival_number: entry.arrival_number, key: entry.key });
        self.has_unsearched_deadlines = true;
    }

    /// Returns the entry that runs next.
    pub fn next_to_run(&self) -> Option<&Entry> {
        self.classes.iter().rev().find_map(PriorityClassQueue::first)
    }

    /// Returns the entry that runs next among those whose operation `is_wanted` accepts. Walks the entries
    /// that run before the returned one.
    pub fn next_to_run_among(&self, is_wanted: impl Fn(usize) -> bool) -> Option<&Entry> {
        self.deadlines.keys().find(|operation| is_wanted(**operation))?;
        self.iter().find(|entry| is_wanted(entry.operation))
    }

    /// Returns the earliest time at which an entry becomes overdue, which is its latest start.
    /// `latest_start` computes the latest start of an entry from its operation and deadline.
    pub fn next_overdue_at(&self, latest_start: impl Fn(usize, Nanos) -> Nanos) -> Option<Nanos> {
        let earliest = self.deadlines.iter().filter_map(|(operation, deadlines)| {
            let first = deadlines.first()?;
            Some(latest_start(*operation, first.at))
        });
        earliest.min()
    }

    /// Returns the earliest arrival among the overdue entries: those whose latest start is at or before
    /// `now`, and those marked as overdue. `latest_start` must increase monotonically with the deadline,
    /// and must not change until all overdue entries have been removed.
    pub fn first_overdue(
        &mut self,
        now: Nanos,
        latest_start: impl Fn(usize, Nanos) -> Nanos,
    ) -> Option<ArrivalKey> {
        // If `overdue` is empty, the deadlines are searched and the flag is neither read nor cleared. The
        // flag then remains set for the next call even if the entry for which it was set has been removed.
        let must_search = self.overdue.is_empty() || std::mem::take(&mut self.has_unsearched_deadlines);
        if must_search {
            for (operation, deadlines) in &self.deadlines {
                let overdue =
                    deadlines.iter().take_while(|deadline| latest_start(*operation, deadline.at) <= now);
                let arrivals = overdue.map(|deadline| ArrivalKey {
                    arrival_number: deadline.arrival_number,
                    key: deadline.key,
                });
                self.overdue.extend(arrivals);
            }
        }
        self.overdue.first().copied()
    }

    /// Returns the key of the entry to reject first when memory is short. In the lowest rank that has
    /// entries, this is the entry with the highest start tag, and among equal tags the newest. Entries that
    /// were promised admission are rejected after the others of the rank.
    pub fn lowest_priority(&self) -> Option<usize> {
        self.classes.iter().find_map(PriorityClassQueue::first_to_reject_for_memory)
    }

    /// Returns the usual work of all entries, in nanoseconds of one core.
    pub fn queued_work(&self, usual_times: &[UsualTimes]) -> f64 {
        self.classes.iter().map(|class| class.work(usual_times)).sum()
    }

    /// Returns the usual work of the entries that run before `entry`, in nanoseconds of one core. `entry`
    /// need not be in the queue.
    pub fn work_ahead(&self, entry: &Entry, usual_times: &[UsualTimes]) -> f64 {
        let above: f64 = self.classes[entry.rank + 1..].iter().map(|class| class.work(usual_times)).sum();
        above + self.classes[entry.rank].work_before(entry, usual_times)
    }

    /// Returns the key of the entry to reject so that the other entries can meet their deadlines; `None` if
    /// no entry is late. The first late entry in run order is the first one that would end after its
    /// deadline and may not start immediately.
    ///
    /// The candidates for rejection are the late entry and the entries of its rank that run before it;
    /// entries of higher ranks are not rejected. Of the candidates, the one with the highest start tag is
    /// rejected, and among equal tags the latest arrival. Candidates that were promised admission are
    /// rejected only after all others.
    pub fn to_reject_for_deadlines(&mut self, now: Nanos, capacity: &Capacity) -> Option<usize> {
        if self.len <= capacity.free_slots {
            return None;
        }
        if self.reference.update(capacity) {
            self.inspected += self.len as u64;
            self.classes.iter_mut().for_each(|class| class.rebuild(&self.reference));
        }
        let mut ahead = QueuedAhead { work: 0.0, entries: 0 };
        for class in self.classes.iter().rev() {
            let found = class.first_late(now, ahead, capacity, &self.reference);
            self.inspected += found.inspected;
            if let Some(entry) = found.entry {
                return Some(class.first_to_reject_up_to(entry));
            }
            ahead.work += class.work(capacity.usual_times);
            ahead.entries += class.len();
        }
        None
    }

    /// Returns the number of summaries and entries that all searches for late entries have inspected so
    /// far. Tests use this number to check the search cost.
    pub fn inspected(&self) -> u64 {
        self.inspected
    }

    /// Iterates over the entries in run order.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.classes.iter().rev().flat_map(PriorityClassQueue::iter)
    }
}
