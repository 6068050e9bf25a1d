//! Queue of events, ordered by their simulated times. Events with equal times keep the order in which they
//! were scheduled.

use crate::time::Nanos;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// An event with its time.
struct Scheduled<E> {
    at: Nanos,
    /// Unique number of the event. Events with equal times are ordered by this number.
    sequence: u64,
    event: E,
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl<E> Eq for Scheduled<E> {}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Scheduled<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// Queue of scheduled events, from which the earliest event is removed first.
pub struct EventQueue<E> {
    events: BinaryHeap<Reverse<Scheduled<E>>>,
    /// Sequence number of the event that was added last.
    sequence: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        EventQueue { events: BinaryHeap::new(), sequence: 0 }
    }
}

impl<E> EventQueue<E> {
    /// Schedules an event at the time `at`, in nanoseconds.
    pub fn push(&mut self, at: Nanos, event: E) {
        self.sequence += 1;
        self.events.push(Reverse(Scheduled { at, sequence: self.sequence, event }));
    }

    /// Returns the time of the earliest event, in nanoseconds; `None` if the queue is empty.
    pub fn next_at(&self) -> Option<Nanos> {
        self.events.peek().map(|Reverse(next)| next.at)
    }

    /// Removes the earliest event and returns it with its time, if this time is not later than `until`.
    pub fn pop_until(&mut self, until: Nanos) -> Option<(Nanos, E)> {
        if self.next_at()? > until {
            return None;
        }
        let Reverse(next) = self.events.pop()?;
        Some((next.at, next.event))
    }
}
