//! Queue of simulation events in the order of their times. Events at the same time are in the order in which
//! they were scheduled.

use crate::clock::Nanos;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// A simulation event. Servers are identified by their index, and incarnations of each server are counted
/// from 1.
pub(super) enum Event {
    /// A message arrives at a server.
    Message { to: usize, body: Vec<u8> },
    /// A server performs its due actions.
    Advance { server: usize, incarnation: u64 },
    /// A server receives a request that needs a call to the dependency.
    Arrival { server: usize, incarnation: u64 },
    /// A server sends a permitted call.
    Send { server: usize, incarnation: u64, call: u64 },
    /// A call to the dependency ends.
    CallEnd { server: usize, incarnation: u64, call: u64 },
}

/// Queue of scheduled events.
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

    /// Removes and returns the next event with a time up to `until`, together with its time.
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
