//! A hashed timer wheel (Varghese and Lauck, 1987), which finds expired timers without scanning later ones.
//! Timers beyond the wheel's time span stay in their slot for another rotation of the wheel.

use crate::Nanos;

const SLOTS: usize = 256;
/// An empty slot with capacity for more than this many timers frees its memory.
const IDLE_CAPACITY: usize = 8;

#[derive(Clone, Copy, Debug)]
struct Timer {
    expires_at: Nanos,
    id: u32,
}

/// A set of timers, each identified by a number.
#[derive(Debug)]
pub struct TimerWheel {
    slots: Vec<Vec<Timer>>,
    /// Duration of one slot, in nanoseconds.
    tick: Nanos,
    /// First tick that has not been fully processed.
    current_tick: u64,
}

impl TimerWheel {
    /// Creates a wheel for timers that expire within `span` nanoseconds.
    pub fn new(span: Nanos, now: Nanos) -> Self {
        let tick = (span / (SLOTS as u64 - 2)).max(1);
        Self { slots: vec![Vec::new(); SLOTS], tick, current_tick: now / tick }
    }

    /// Returns the most bytes that a wheel with this many timers takes. A timer may take twice its size while
    /// the vector of its slot grows.
    pub fn bytes_max(timers: usize) -> usize {
        let minimum_capacity = 4 * SLOTS;
        SLOTS * size_of::<Vec<Timer>>() + 2 * (timers + minimum_capacity) * size_of::<Timer>()
    }

    /// Returns the bytes in use.
    pub fn bytes(&self) -> usize {
        let timers: usize = self.slots.iter().map(Vec::capacity).sum();
        SLOTS * size_of::<Vec<Timer>>() + timers * size_of::<Timer>()
    }

    /// Adds a timer that expires at `expires_at`.
    pub fn insert(&mut self, expires_at: Nanos, id: u32) {
        let tick = (expires_at / self.tick).max(self.current_tick);
        self.slots[tick as usize % SLOTS].push(Timer { expires_at, id });
    }

    /// Removes all timers that have expired at `now`, and calls `expired` with the number of each.
    pub fn expire(&mut self, now: Nanos, mut expired: impl FnMut(u32)) {
        let to = now / self.tick;
        if to < self.current_tick {
            return;
        }
        let ticks = (to - self.current_tick).min(SLOTS as u64 - 1);
        for tick in to - ticks..=to {
            Self::expire_slot(&mut self.slots[tick as usize % SLOTS], now, &mut expired);
        }
        self.current_tick = to;
    }

    fn expire_slot(slot: &mut Vec<Timer>, now: Nanos, expired: &mut impl FnMut(u32)) {
        let mut index = 0;
        while index < slot.len() {
            if slot[index].expires_at <= now {
                expired(slot.swap_remove(index).id);
            } else {
                index += 1;
            }
        }
        if slot.is_empty() && slot.capacity() > IDLE_CAPACITY {
            *slot = Vec::new();
        }
    }
}
