//! A queue of timers for the event loop. The timer that fires first is at the front.

use meadowstream_overload_control::Nanos;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Action that the event loop performs when a timer fires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// Notify the controller that its timer with this number has expired.
    Controller(u32),
    /// Stop waiting for the response to a gauge request. Has no effect if the interpreter has already
    /// responded.
    GaugesOverdue {
        /// Nonce of the gauge request.
        nonce: u64,
    },
}

/// A timer that has been set. The timer with the earliest time fires first. Timers with equal times fire in
/// the order in which they were set.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Entry {
    fires_at: Nanos,
    sequence: u64,
    timer: Timer,
}

/// All timers that have been set and have not fired yet.
#[derive(Default)]
pub struct TimerQueue {
    entries: BinaryHeap<Reverse<Entry>>,
    last_sequence: u64,
}

impl TimerQueue {
    /// Sets a timer that fires once, at the time `fires_at`.
    pub fn set(&mut self, fires_at: Nanos, timer: Timer) {
        self.last_sequence += 1;
        self.entries.push(Reverse(Entry { fires_at, sequence: self.last_sequence, timer }));
    }

    /// Returns the time at which the next timer fires, or `None` if no timer is set.
    pub fn next_at(&self) -> Option<Nanos> {
        self.entries.peek().map(|Reverse(entry)| entry.fires_at)
    }

    /// Removes and returns the next timer if its time has been reached at `now`. Otherwise returns `None` and
    /// keeps the timer.
    pub fn pop_due(&mut self, now: Nanos) -> Option<Timer> {
        if self.next_at()? > now {
            return None;
        }
        self.entries.pop().map(|Reverse(entry)| entry.timer)
    }
}

#[cfg(test)]
mod tests;
