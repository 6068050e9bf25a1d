//! Sort orders in which entries run and are rejected. Each struct compares its fields in declaration order:
//! the first field in which two entries differ decides.

use crate::{Entry, Nanos};

/// Run order within a rank: the lowest runs first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunOrder {
    start_tag: u64,
    deadline: Nanos,
    id: u64,
    arrival_number: u64,
}

impl RunOrder {
    /// Returns the sort key of an entry.
    pub fn of(entry: &Entry) -> Self {
        Self {
            start_tag: entry.start_tag,
            deadline: entry.deadline,
            id: entry.id,
            arrival_number: entry.arrival_number,
        }
    }
}

/// Order of rejection when memory is short: the highest is rejected first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct MemoryOrder {
    not_promised: bool,
    start_tag: u64,
    arrival_number: u64,
    /// Same as [`Entry::key`].
    pub key: usize,
}

impl MemoryOrder {
    /// Returns the sort key of an entry.
    pub fn of(entry: &Entry) -> Self {
        Self {
            not_promised: !entry.promised,
            start_tag: entry.start_tag,
            arrival_number: entry.arrival_number,
            key: entry.key,
        }
    }
}

/// Order of rejection for missed deadlines: the highest is rejected first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct DeadlineOrder {
    not_promised: bool,
    start_tag: u64,
    arrived: Nanos,
    arrival_number: u64,
    /// Same as [`Entry::key`].
    pub key: usize,
}

impl DeadlineOrder {
    /// Returns the sort key of an entry.
    pub fn of(entry: &Entry) -> Self {
        Self {
            not_promised: !entry.promised,
            start_tag: entry.start_tag,
            arrived: entry.arrived,
            arrival_number: entry.arrival_number,
            key: entry.key,
        }
    }
}
