//! Orders in which entries run and in which they are rejected. Each struct compares its fields in the order
//! of their declaration: the first field that differs between two entries decides.

use crate::{Entry, Nanos};

/// Order in which the entries of a rank run. The entry with the lowest value runs first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunOrder {
    start_tag: u64,
    deadline: Nanos,
    id: u64,
    arrival_number: u64,
}

impl RunOrder {
    /// Returns the value that determines the position of an entry in run order.
    pub fn of(entry: &Entry) -> Self {
        Self {
            start_tag: entry.start_tag,
            deadline: entry.deadline,
            id: entry.id,
            arrival_number: entry.arrival_number,
        }
    }
}

/// Order in which entries are rejected when memory is short. The entry with the highest value is rejected
/// first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct MemoryOrder {
    not_promised: bool,
    start_tag: u64,
    arrival_number: u64,
    /// Same as [`Entry::key`].
    pub key: usize,
}

impl MemoryOrder {
    /// Returns the value that determines when an entry is rejected if memory is short.
    pub fn of(entry: &Entry) -> Self {
        Self {
            not_promised: !entry.promised,
            start_tag: entry.start_tag,
            arrival_number: entry.arrival_number,
            key: entry.key,
        }
    }
}

/// Order in which entries are rejected so that others meet their deadlines. The entry with the highest value
/// is rejected first.
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
    /// Returns the value that determines when an entry is rejected so that other entries meet their
    /// deadlines.
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
