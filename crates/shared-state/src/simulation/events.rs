//! Queue of simulation events, ordered by time. Events that are scheduled for the same time are in the order
//! in which they were added.

use crate::clock::Nanos;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// An event of the simulation. `server` and `to` are indices of servers. The incarnations of each server are
/// numbered from 1.
pub(super) enum Event {
    /// A message arrives at a server.
    Message { to: usize, body: Vec<u8> },
    /// A server performs its periodic actions that are due, such as gossip and lease requests.
    Advance { server: usize, incarnation: u64 },
    /// A server receives a request, which needs a call to the dependency (the simulated downstream service).
    Arrival { server: usize, incarnation: u64 },
    /// A server sends a call to the dependency. The call has already acquired a permit.
    Send { server: usize, incarnation: u64, call: u64 },
    /// A call to the dependency ends.
    CallEnd { server: usize, incarnation: u64, call: u64 },
}

/// Queue of the events that are scheduled for the future.
#[derive(Default)]
pub(super) struct EventQueue {
    /// Time and sequence number of each scheduled event. The earliest event is at the top of the heap.
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

    /// Removes the next event from the queue and returns it with its time. Returns `None` if the queue is
    /// empty or the next event is scheduled after `until`.
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
