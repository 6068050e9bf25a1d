//! A hashed timer wheel (Varghese and Lauck, 1987). The wheel finds expired timers without a scan of all
//! timers. A timer that expires after the end of the current rotation of the wheel stays in its slot until a
//! later rotation.

use crate::Nanos;

const SLOTS: usize = 256;
/// Maximum capacity, in timers, of the vector that an empty slot keeps. A larger vector is freed when its
/// slot becomes empty.
const IDLE_CAPACITY: usize = 8;

#[derive(Clone, Copy, Debug)]
struct Timer {
    expires_at: Nanos,
    id: u32,
}

/// A hashed timer wheel. Each timer has an id that the owner of the wheel assigns.
#[derive(Debug)]
pub struct TimerWheel {
    slots: Vec<Vec<Timer>>,
    /// Length of a tick, in nanoseconds: the duration that one slot of the wheel covers.
    tick: Nanos,
    /// Number of the earliest tick that has not been fully processed. Tick `n` covers the time from `n *
    /// tick` to `(n + 1) * tick`.
    current_tick: u64,
}

impl TimerWheel {
    /// Creates a wheel for timers that expire at most `span` nanoseconds after they are inserted.
    pub fn new(span: Nanos, now: Nanos) -> Self {
        let tick = (span / (SLOTS as u64 - 2)).max(1);
        Self { slots: vec![Vec::new(); SLOTS], tick, current_tick: now / tick }
    }

    /// Returns the maximum memory of a wheel with the given number of timers, in bytes. Each timer is counted
    /// twice, since the vector of a slot may have grown to twice the capacity that it needs.
    pub fn bytes_max(timers: usize) -> usize {
        let minimum_capacity = 4 * SLOTS;
        SLOTS * size_of::<Vec<Timer>>() + 2 * (timers + minimum_capacity) * size_of::<Timer>()
    }

    /// Returns the memory that the wheel uses now, in bytes.
    pub fn bytes(&self) -> usize {
        let timers: usize = self.slots.iter().map(Vec::capacity).sum();
        SLOTS * size_of::<Vec<Timer>>() + timers * size_of::<Timer>()
    }

    /// Adds a timer with the given id that expires at `expires_at`.
    pub fn insert(&mut self, expires_at: Nanos, id: u32) {
        let tick = (expires_at / self.tick).max(self.current_tick);
        self.slots[tick as usize % SLOTS].push(Timer { expires_at, id });
    }

    /// Removes all timers that expire at or before `now`, and calls `expired` with the id of each.
    pub fn expire(&mut self, now: Nanos, mut expired: impl FnMut(u32)) {
        let last_tick = now / self.tick;
        if last_tick < self.current_tick {
            return;
        }
        let ticks = (last_tick - self.current_tick).min(SLOTS as u64 - 1);
        for tick in last_tick - ticks..=last_tick {
            Self::expire_slot(&mut self.slots[tick as usize % SLOTS], now, &mut expired);
        }
        self.current_tick = last_tick;
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
