//! Events in the order of their times; of equal times in the order in which they were scheduled.

use crate::clock::Nanos;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// What happens to a server, given by its index. An incarnation is counted from 1 for each server.
pub(super) enum Event {
    /// A message arrives.
    Message { to: usize, body: Vec<u8> },
    /// A server does what is due.
    Advance { server: usize, incarnation: u64 },
    /// A server is asked for a call to the dependency.
    Arrival { server: usize, incarnation: u64 },
    /// A call that was permitted is sent.
    Send { server: usize, incarnation: u64, call: u64 },
    /// A call to the dependency ends.
    CallEnd { server: usize, incarnation: u64, call: u64 },
}

/// Events to come.
#[derive(Default)]
pub(super) struct EventQueue {
    /// Time and number of each event, the earliest first.
    order: BinaryHeap<Reverse<(Nanos, u64)>>,
    events: HashMap<u64, Event>,
    last_number: u64,
}

impl EventQueue {
    pub fn schedule(&mut self, at: Nanos, event: Event) {
        self.last_number += 1;
        self.order.push(Reverse((at, self.last_number)));
        self.events.insert(self.last_number, event);
    }

    /// The next event up to `until`, and its time.
    pub fn pop(&mut self, until: Nanos) -> Option<(Nanos, Event)> {
        let Reverse((at, number)) = self.order.peek().copied()?;
        if at > until {
            return None;
        }
        self.order.pop();
        let event = self.events.remove(&number).expect("each number in the order has an event");
        Some((at, event))
    }
}
