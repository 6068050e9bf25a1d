//! A queue of the event loop's timers, ordered by time.

use meadowstream_overload_control::Nanos;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Action to perform when a timer fires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// A timer set by the controller, with the controller's number for it.
    Controller(u32),
    /// A gauge request has timed out.
    GaugesOverdue {
        /// Nonce of the gauge request.
        nonce: u64,
    },
}

/// A set timer. Timers are ordered by time, and at the same time by the order in which they were set.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Entry {
    fires_at: Nanos,
    sequence: u64,
    timer: Timer,
}

/// All timers that are set and have not fired.
#[derive(Default)]
pub struct TimerQueue {
    entries: BinaryHeap<Reverse<Entry>>,
    last_sequence: u64,
}

impl TimerQueue {
    /// Sets a timer that fires once, at `fires_at`.
    pub fn set(&mut self, fires_at: Nanos, timer: Timer) {
        self.last_sequence += 1;
        self.entries.push(Reverse(Entry { fires_at, sequence: self.last_sequence, timer }));
    }

    /// Returns the time of the next timer, or `None` if no timer is set.
    pub fn next_at(&self) -> Option<Nanos> {
        self.entries.peek().map(|Reverse(entry)| entry.fires_at)
    }

    /// Removes and returns the next timer whose time has been reached, if any.
    pub fn pop_due(&mut self, now: Nanos) -> Option<Timer> {
        if self.next_at()? > now {
            return None;
        }
        self.entries.pop().map(|Reverse(entry)| entry.timer)
    }
}

#[cfg(test)]
mod tests;
