//! Events in the order of simulated time; those of one time in the order in which they were scheduled.

use crate::snapshot::Snapshot;
use crate::time::Nanos;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// Something that happens at a time. `incarnation` is that of the node when it was scheduled.
pub(super) enum Event {
    /// A message arrives.
    Message { to: usize, from: usize, body: Vec<u8> },
    /// A member is to be advanced.
    Due { node: usize, incarnation: u64 },
    /// A server has checked and written a revision.
    Applied { node: usize, incarnation: u64, snapshot: Box<Snapshot> },
    /// The fleet's view and the lease follow what has happened.
    View,
}

struct Scheduled {
    at: Nanos,
    sequence: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// The events to come.
#[derive(Default)]
pub(super) struct EventQueue {
    events: BinaryHeap<Reverse<Scheduled>>,
    sequence: u64,
}

impl EventQueue {
    /// Adds an event at a time in nanoseconds.
    pub(super) fn push(&mut self, at: Nanos, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse(Scheduled { at, sequence: self.sequence, event }));
    }

    /// Removes the next event, with its time, where it is due by `until`.
    pub(super) fn pop_until(&mut self, until: Nanos) -> Option<(Nanos, Event)> {
        let Reverse(next) = self.events.peek()?;
        if next.at > until {
            return None;
        }
        let Reverse(next) = self.events.pop()?;
        Some((next.at, next.event))
    }
}
