//! The pending queue of a server: admitted invocations that wait for a core.
//!
//! A [`PendingQueue`] contains [`Entry`]s in the order in which they will run, in one queue per rank
//! (priority class). The queue also contains the deadlines of the entries, by operation. The controller makes
//! the decisions and queries the queue for the data: the next entry to run, overdue entries, the entry of the
//! lowest priority, the queued work, and the entry to reject so that the others meet their deadlines. None of
//! these queries walks all entries; `docs/pending-queue.md` lists their costs. Times are nanoseconds of a
//! single monotonic clock. Work is in nanoseconds of one core.

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

/// A pending invocation in the queue. The queue finds an entry by the values of its fields. To remove an
/// entry, the caller must therefore pass the values with which the entry was inserted.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Entry {
    /// Number of the arrival. Each arrival has a higher number than all earlier arrivals.
    pub arrival_number: u64,
    /// Key by which the owner of the queue finds the invocation.
    pub key: usize,
    /// Id of the invocation. If entries of a rank have equal start tags and equal deadlines, the entry with
    /// the lowest id runs first.
    pub id: u64,
    /// Index of the operation.
    pub operation: usize,
    /// Rank: index of the priority class of the invocation. Higher ranks run first.
    pub rank: usize,
    /// Start tag that fair queueing assigned to the invocation. Within a rank, the entry with the lowest
    /// start tag runs first. Without fair queueing all start tags are equal.
    pub start_tag: u64,
    /// Whether the server promised to admit this invocation. An entry with a promise is rejected only after
    /// all other entries of its rank.
    pub promised: bool,
    /// Time at which the invocation reached the machine.
    pub arrived: Nanos,
    /// Objective deadline: an answer until this time has its full value. If entries of a rank have equal
    /// start tags, the entry with the earliest deadline runs first.
    pub deadline: Nanos,
    /// Estimated cost of this run, divided by the usual cost of a run of its operation.
    pub cost_ratio: f64,
}

/// Usual times of an operation's runs, in nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsualTimes {
    /// Core time.
    pub core_ns: f64,
    /// Time from start to end of a run, including its downstream calls.
    pub elapsed_ns: f64,
}

/// Capacity of the server. The queue uses it to predict when the run of an entry will end.
#[derive(Clone, Copy, Debug)]
pub struct Capacity<'a> {
    /// Usual times of a run of each operation. The index identifies the operation.
    pub usual_times: &'a [UsualTimes],
    /// Limit on concurrent runs, at least 1.
    pub concurrency_limit: f64,
    /// Number of runs that may start immediately.
    pub free_slots: usize,
}

/// Deadline of an entry. Values are ordered by deadline, and equal deadlines by arrival.
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

/// Arrival number and key of an entry. Values are ordered by arrival number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ArrivalKey {
    /// Arrival number of the entry ([`Entry::arrival_number`]).
    pub arrival_number: u64,
    /// Same as [`Entry::key`].
    pub key: usize,
}

/// Queue of admitted invocations, in the order in which they will run.
#[derive(Debug, Default)]
pub struct PendingQueue {
    /// One queue for each priority class. The index is the rank of the class.
    classes: Vec<PriorityClassQueue>,
    /// Deadlines of the entries of each operation. Operations without entries are not in the map. The cost of
    /// a search therefore depends on the number of entries and not on the number of operations.
    deadlines: BTreeMap<usize, BTreeSet<Deadline>>,
    /// Entries that are known to be overdue but have not been removed yet.
    overdue: BTreeSet<ArrivalKey>,
    /// Whether the deadlines must be searched for overdue entries although `overdue` is not empty.
    /// [`PendingQueue::mark_overdue`] sets this flag when it adds an entry to `overdue` without a search.
    has_unsearched_deadlines: bool,
    reference: ReferenceTimes,
    len: usize,
    inspected: u64,
}

impl PendingQueue {
    /// Creates a queue for the ranks `0..ranks` and the operations `0..operations`.
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

    /// Removes an entry. Returns false if the entry is not in the queue.
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

    /// Marks an entry as overdue even if its latest start has not passed.
    pub fn mark_overdue(&mut self, entry: &Entry) {
        self.overdue.insert(ArrivalKey { arrival_number: entry.arrival_number, key: entry.key });
        self.has_unsearched_deadlines = true;
    }

    /// Returns the entry that runs next.
    pub fn next_to_run(&self) -> Option<&Entry> {
        self.classes.iter().rev().find_map(PriorityClassQueue::first)
    }

    /// Returns the first entry in run order whose operation `is_wanted` accepts. Walks all entries that run
    /// before the returned entry.
    pub fn next_to_run_among(&self, is_wanted: impl Fn(usize) -> bool) -> Option<&Entry> {
        self.deadlines.keys().find(|operation| is_wanted(**operation))?;
        self.iter().find(|entry| is_wanted(entry.operation))
    }

    /// Returns the time at which the next entry becomes overdue. An entry becomes overdue at its latest
    /// start, which `latest_start` computes from the entry's operation and deadline.
    pub fn next_overdue_at(&self, latest_start: impl Fn(usize, Nanos) -> Nanos) -> Option<Nanos> {
        let earliest = self.deadlines.iter().filter_map(|(operation, deadlines)| {
            let first = deadlines.first()?;
            Some(latest_start(*operation, first.at))
        });
        earliest.min()
    }

    /// Returns the earliest arrival among the overdue entries. An entry is overdue if its latest start is at
    /// or before `now`, or if it was marked as overdue. `latest_start` computes the latest start from the
    /// operation and the deadline. The computed latest start must increase with the deadline, and must not
    /// change until all overdue entries have been removed.
    pub fn first_overdue(
        &mut self,
        now: Nanos,
        latest_start: impl Fn(usize, Nanos) -> Nanos,
    ) -> Option<ArrivalKey> {
        // If `overdue` is empty, the deadlines are always searched, and the flag is neither read nor cleared.
        // A flag that stays set only causes one more search at a later call. The entry for which it was set
        // may have been removed by then.
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

    /// Returns the key of the entry to reject first when memory is short. The entry is chosen from the lowest
    /// rank that has entries. Within this rank, the entry with the highest start tag is rejected first. Of
    /// entries with equal start tags, the newest is rejected first. Entries of this rank that were promised
    /// admission are rejected last.
    pub fn lowest_priority(&self) -> Option<usize> {
        self.classes.iter().find_map(PriorityClassQueue::first_to_reject_for_memory)
    }

    /// Returns the total usual work of all entries, in nanoseconds of one core.
    pub fn queued_work(&self, usual_times: &[UsualTimes]) -> f64 {
        self.classes.iter().map(|class| class.work(usual_times)).sum()
    }

    /// Returns the total usual work of the entries that run before `entry`, in nanoseconds of one core. The
    /// queue need not contain `entry`.
    pub fn work_ahead(&self, entry: &Entry, usual_times: &[UsualTimes]) -> f64 {
        let above: f64 = self.classes[entry.rank + 1..].iter().map(|class| class.work(usual_times)).sum();
        above + self.classes[entry.rank].work_before(entry, usual_times)
    }

    /// Returns the key of the entry to reject so that the other entries can meet their deadlines. Returns
    /// `None` if no entry is late. An entry is late if it may not start immediately and its run would end
    /// after its deadline.
    ///
    /// The candidates for rejection are the first late entry and the entries of its rank that run before it.
    /// Entries of higher ranks are not rejected. The candidate with the highest start tag is rejected. Of
    /// candidates with equal start tags, the latest arrival is rejected. Candidates that were promised
    /// admission are rejected only after all other candidates.
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

    /// Returns how many summaries and entries all searches for late entries have inspected since the queue
    /// was created. Tests use this number to check the cost of searches.
    pub fn inspected(&self) -> u64 {
        self.inspected
    }

    /// Iterates over the entries in run order.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.classes.iter().rev().flat_map(PriorityClassQueue::iter)
    }
}
