//! The orders in which entries run and are rejected. The order of the fields is the rule: the first in which
//! two entries differ decides.

use crate::{Entry, Nanos};

/// Order of running within a rank: the lowest runs first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunOrder {
    start_tag: u64,
    deadline: Nanos,
    id: u64,
    arrival_number: u64,
}

impl RunOrder {
    /// The place of an entry in this order.
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
    /// Where the owner keeps the invocation.
    pub key: usize,
}

impl MemoryOrder {
    /// The place of an entry in this order.
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
    /// Where the owner keeps the invocation.
    pub key: usize,
}

impl DeadlineOrder {
    /// The place of an entry in this order.
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
