//! Events in the order of simulated time; those of one time in the order in which they were scheduled.

use crate::time::Nanos;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// An event with its time. Sequence numbers are unique.
struct Scheduled<E> {
    at: Nanos,
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

/// The events to come.
pub struct EventQueue<E> {
    events: BinaryHeap<Reverse<Scheduled<E>>>,
    sequence: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        EventQueue { events: BinaryHeap::new(), sequence: 0 }
    }
}

impl<E> EventQueue<E> {
    /// Adds an event at a time in nanoseconds.
    pub fn push(&mut self, at: Nanos, event: E) {
        self.sequence += 1;
        self.events.push(Reverse(Scheduled { at, sequence: self.sequence, event }));
    }

    /// The time of the next event, in nanoseconds.
    pub fn next_at(&self) -> Option<Nanos> {
        self.events.peek().map(|Reverse(next)| next.at)
    }

    /// Removes the next event, with its time, where it is due by `until`.
    pub fn pop_until(&mut self, until: Nanos) -> Option<(Nanos, E)> {
        if self.next_at()? > until {
            return None;
        }
        let Reverse(next) = self.events.pop()?;
        Some((next.at, next.event))
    }
}
