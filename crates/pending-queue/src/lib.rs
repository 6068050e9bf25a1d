//! The pending queue of a server: invocations that were admitted and wait for a core.
//!
//! A [`PendingQueue`] keeps [`Entry`]s in the order they will run, in one queue for each rank, and beside
//! them their deadlines by operation. It decides nothing: the controller asks what runs next, what is
//! overdue, what has the lowest priority, how much work is queued, and which entry is the first that cannot
//! meet its deadline. None of these walks all entries; `docs/pending-queue.md` gives the costs.
//! Times are nanoseconds of one clock that never goes back; work is nanoseconds of one core.

#![deny(missing_docs, clippy::too_many_lines)]

pub mod expiring_keys;
mod late_search;
mod order;
mod priority_class_queue;
mod reference_times;
mod sum_tree;
mod summary;

use late_search::Ahead;
use priority_class_queue::PriorityClassQueue;
use reference_times::ReferenceTimes;
use std::collections::{BTreeMap, BTreeSet};

/// Nanoseconds: a point in time, or a duration.
pub type Nanos = u64;

/// An invocation that waits. Its place is found by its values, so a removal needs the entry as inserted.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Entry {
    /// Counts arrivals: a later one has a higher number, and no two have the same.
    pub arrival_number: u64,
    /// Where the owner keeps the invocation.
    pub key: usize,
    /// Of entries equal in all else the lower id runs first.
    pub id: u64,
    /// Index of the operation.
    pub operation: usize,
    /// Number of its priority class; higher ranks run first.
    pub rank: usize,
    /// Start tag of fair queueing within the rank, the lower one runs first; the same for all where tenants
    /// are not told apart.
    pub start_tag: u64,
    /// It was promised admission: it is rejected only after all others.
    pub promised: bool,
    /// When it reached the machine.
    pub arrived: Nanos,
    /// Until when its answer is of use; of entries with the same tag the earlier one runs first.
    pub deadline: Nanos,
    /// Its cost as a ratio to the usual cost of its operation.
    pub cost_ratio: f64,
}

/// What a run of an operation usually takes, in nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsualTimes {
    /// Time on a core.
    pub core_ns: f64,
    /// Time from start to end, downstream calls included.
    pub elapsed_ns: f64,
}

/// What the server can run, as far as deadlines depend on it.
#[derive(Clone, Copy, Debug)]
pub struct Capacity<'a> {
    /// By operation.
    pub usual_times: &'a [UsualTimes],
    /// Runs that go on side by side, 1 or more.
    pub concurrency_limit: f64,
    /// Runs that may start at once.
    pub free_slots: usize,
}

/// A deadline with the arrival that it belongs to, ordered by the deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Deadline {
    deadline: Nanos,
    arrival_number: u64,
    key: usize,
}

impl Deadline {
    fn of(entry: &Entry) -> Self {
        Self { deadline: entry.deadline, arrival_number: entry.arrival_number, key: entry.key }
    }
}

/// An entry found by its arrival; ordered as they came.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ArrivalKey {
    /// As in [`Entry::arrival_number`].
    pub arrival_number: u64,
    /// As in [`Entry::key`].
    pub key: usize,
}

/// Admitted invocations in the order they will run.
#[derive(Debug, Default)]
pub struct PendingQueue {
    /// One queue for each priority class, by rank.
    classes: Vec<PriorityClassQueue>,
    /// By operation, and only of operations that have entries: a look at them costs what waits.
    deadlines: BTreeMap<usize, BTreeSet<Deadline>>,
    /// Found to be overdue and not removed yet.
    overdue: BTreeSet<ArrivalKey>,
    /// `overdue` has entries that were marked, so the deadlines are still to be searched.
    has_unsearched_deadlines: bool,
    reference: ReferenceTimes,
    len: usize,
    inspected: u64,
}

impl PendingQueue {
    /// A queue for ranks under `ranks` and operations under `operations`.
    pub fn new(ranks: usize, operations: usize) -> Self {
        Self {
            classes: (0..ranks).map(|_| PriorityClassQueue::new()).collect(),
            reference: ReferenceTimes::new(operations),
            ..Self::default()
        }
    }

    /// Entries in the queue.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds an entry at its place.
    pub fn insert(&mut self, entry: Entry) {
        self.len += 1;
        self.deadlines.entry(entry.operation).or_default().insert(Deadline::of(&entry));
        self.classes[entry.rank].insert(entry, &self.reference);
    }

    /// Removes an entry; false where it was not in the queue.
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

    /// Makes an entry overdue before its deadline.
    pub fn mark_overdue(&mut self, entry: &Entry) {
        self.overdue.insert(ArrivalKey { arrival_number: entry.arrival_number, key: entry.key });
        self.has_unsearched_deadlines = true;
    }

    /// The entry that runs next.
    pub fn next_to_run(&self) -> Option<&Entry> {
        self.classes.iter().rev().find_map(PriorityClassQueue::first)
    }

    /// The entry that runs next among the operations that `is_wanted` accepts; walks the entries that run
    /// before it.
    pub fn next_to_run_among(&self, is_wanted: impl Fn(usize) -> bool) -> Option<&Entry> {
        self.deadlines.keys().find(|operation| is_wanted(**operation))?;
        self.iter().find(|entry| is_wanted(entry.operation))
    }

    /// The earliest time at which an entry becomes overdue. `latest_start` gives that time for an operation
    /// and a deadline.
    pub fn next_overdue_at(&self, latest_start: impl Fn(usize, Nanos) -> Nanos) -> Option<Nanos> {
        let earliest = self.deadlines.iter().filter_map(|(operation, deadlines)| {
            let first = deadlines.first()?;
            Some(latest_start(*operation, first.deadline))
        });
        earliest.min()
    }

    /// Of all entries whose latest start has passed by `now`, the one that came first. `latest_start` must
    /// grow with the deadline, and must not change until all overdue entries have been removed.
    pub fn first_overdue(
        &mut self,
        now: Nanos,
        latest_start: impl Fn(usize, Nanos) -> Nanos,
    ) -> Option<ArrivalKey> {
        // The flag is not read while `overdue` is empty: a search is due then anyway, and a flag that was set
        // for an entry removed since stays for the next call.
        let must_search = self.overdue.is_empty() || std::mem::take(&mut self.has_unsearched_deadlines);
        if must_search {
            for (operation, deadlines) in &self.deadlines {
                let overdue =
                    deadlines.iter().take_while(|one| latest_start(*operation, one.deadline) <= now);
                let arrivals =
                    overdue.map(|one| ArrivalKey { arrival_number: one.arrival_number, key: one.key });
                self.overdue.extend(arrivals);
            }
        }
        self.overdue.first().copied()
    }

    /// The key of the entry to reject first when memory is short: of the lowest rank the one with the
    /// highest start tag, of equals the newest; entries that were promised admission come last.
    pub fn lowest_priority(&self) -> Option<usize> {
        self.classes.iter().find_map(PriorityClassQueue::first_to_reject_for_memory)
    }

    /// Usual work of all entries, in nanoseconds of one core.
    pub fn queued_work(&self, usual_times: &[UsualTimes]) -> f64 {
        self.classes.iter().map(|class| class.work(usual_times)).sum()
    }

    /// Usual work that runs before this entry, which need not be in the queue; nanoseconds of one core.
    pub fn work_ahead(&self, entry: &Entry, usual_times: &[UsualTimes]) -> f64 {
        let above: f64 = self.classes[entry.rank + 1..].iter().map(|class| class.work(usual_times)).sum();
        above + self.classes[entry.rank].work_before(entry, usual_times)
    }

    /// Finds the first entry, in the order they will run, that would end after its deadline though it is not
    /// among those that may start at once. Returns the key of the entry to reject so that the others can be
    /// in time: of those up to it in its rank, which is the lowest among them, the one with the highest start
    /// tag, of equals the one that arrived last.
    pub fn to_reject_for_deadlines(&mut self, now: Nanos, capacity: &Capacity) -> Option<usize> {
        if self.len <= capacity.free_slots {
            return None;
        }
        if self.reference.update(capacity) {
            self.inspected += self.len as u64;
            self.classes.iter_mut().for_each(|class| class.rebuild(&self.reference));
        }
        let mut ahead = Ahead { work: 0.0, entries: 0 };
        for class in self.classes.iter().rev() {
            let found = class.first_late(now, ahead, capacity, &self.reference);
            self.inspected += found.inspected;
            if let Some(place) = found.place {
                return Some(class.first_to_reject_up_to(place));
            }
            ahead.work += class.work(capacity.usual_times);
            ahead.entries += class.len();
        }
        None
    }

    /// Sums and entries that all searches for late entries have looked at since the start, for tests of
    /// their cost.
    pub fn inspected(&self) -> u64 {
        self.inspected
    }

    /// Entries in the order they will run.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.classes.iter().rev().flat_map(PriorityClassQueue::iter)
    }
}
