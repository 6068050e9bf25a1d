//! The timers of the event loop, earliest first.

use meadowstream_overload_control::Nanos;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What is due when a timer fires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// The controller has set it, by this number.
    Controller(u32),
    /// The gauges that were requested under this nonce are overdue.
    GaugesOverdue {
        /// The nonce of the request.
        nonce: u64,
    },
}

/// Ordered by time, then by the order in which they were set.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Entry {
    fires_at: Nanos,
    sequence: u64,
    timer: Timer,
}

/// All timers that are set.
#[derive(Default)]
pub struct TimerQueue {
    entries: BinaryHeap<Reverse<Entry>>,
    last_sequence: u64,
}

impl TimerQueue {
    /// Sets a timer that fires once.
    pub fn set(&mut self, fires_at: Nanos, timer: Timer) {
        self.last_sequence += 1;
        self.entries.push(Reverse(Entry { fires_at, sequence: self.last_sequence, timer }));
    }

    /// When the next one fires.
    pub fn next_at(&self) -> Option<Nanos> {
        self.entries.peek().map(|Reverse(entry)| entry.fires_at)
    }

    /// Removes the next one that is due.
    pub fn pop_due(&mut self, now: Nanos) -> Option<Timer> {
        if self.next_at()? > now {
            return None;
        }
        self.entries.pop().map(|Reverse(entry)| entry.timer)
    }
}

#[cfg(test)]
mod tests;
