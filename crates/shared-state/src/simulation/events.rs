//! Queue of simulation events, ordered by time. Events at the same time are in the order in which they were
//! scheduled.

use crate::clock::Nanos;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// A simulation event. A server is identified by its index. The incarnations of each server are counted from
/// 1.
pub(super) enum Event {
    /// A message arrives at a server.
    Message { to: usize, body: Vec<u8> },
    /// A server performs the actions that are due, such as gossip and lease requests.
    Advance { server: usize, incarnation: u64 },
    /// A server receives a request that needs a call to the dependency.
    Arrival { server: usize, incarnation: u64 },
    /// A server sends a permitted call to the dependency.
    Send { server: usize, incarnation: u64, call: u64 },
    /// A call to the dependency ends.
    CallEnd { server: usize, incarnation: u64, call: u64 },
}

/// Queue of the events that are scheduled and have not happened yet.
#[derive(Default)]
pub(super) struct EventQueue {
    /// Time and number of each scheduled event, with the earliest event on top.
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

    /// Removes the next event if its time is at most `until`, and returns its time and the event.
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
