//! A hashed timer wheel (Varghese and Lauck, 1987): finds what has expired without a look at later timers.
//! Good for timers up to a stated span; those beyond it stay in their slot for another round.

use crate::Nanos;

const SLOTS: usize = 256;
/// A slot that is empty gives its memory back above this many timers.
const IDLE_CAPACITY: usize = 8;

#[derive(Clone, Copy, Debug)]
struct Timer {
    expires_at: Nanos,
    id: u32,
}

/// Timers of which each has a number.
#[derive(Debug)]
pub struct TimerWheel {
    slots: Vec<Vec<Timer>>,
    /// Time that one slot stands for, in nanoseconds.
    tick: Nanos,
    /// All ticks before this one have been looked at.
    current_tick: u64,
}

impl TimerWheel {
    /// A wheel for timers of up to `span` nanoseconds.
    pub fn new(span: Nanos, now: Nanos) -> Self {
        let tick = (span / (SLOTS as u64 - 2)).max(1);
        Self { slots: vec![Vec::new(); SLOTS], tick, current_tick: now / tick }
    }

    /// Most bytes that a wheel of this many timers takes; each may take twice its size while a slot grows.
    pub fn bytes_max(timers: usize) -> usize {
        let least = 4 * SLOTS;
        SLOTS * size_of::<Vec<Timer>>() + 2 * (timers + least) * size_of::<Timer>()
    }

    /// Bytes held now.
    pub fn bytes(&self) -> usize {
        let timers: usize = self.slots.iter().map(Vec::capacity).sum();
        SLOTS * size_of::<Vec<Timer>>() + timers * size_of::<Timer>()
    }

    /// Adds a timer.
    pub fn insert(&mut self, expires_at: Nanos, id: u32) {
        let tick = (expires_at / self.tick).max(self.current_tick);
        self.slots[tick as usize % SLOTS].push(Timer { expires_at, id });
    }

    /// Removes all timers that have expired by now and hands out their numbers.
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
