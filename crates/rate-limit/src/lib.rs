//! Rate limit: limits the total amount used in any window of one second, for example the bytes sent over a
//! network. The caller provides the time.
#![deny(missing_docs, clippy::too_many_lines)]

/// A point in time on a monotonic clock, in nanoseconds.
pub type Nanos = u64;

const SECOND_NS: Nanos = 1_000_000_000;
/// Number of slots per second.
const SLOTS_PER_SECOND: usize = 20;
const SLOT_NS: Nanos = SECOND_NS / SLOTS_PER_SECOND as Nanos;
/// Number of slots that are stored. A slot is an interval in which usage is counted. A window of one second
/// that begins within a slot overlaps `SLOTS_PER_SECOND + 1` slots.
const SLOTS: usize = SLOTS_PER_SECOND + 1;

/// A rate limit over a sliding window of one second. It counts usage in slots of 50 ms and needs constant
/// memory.
///
/// If all amounts are acquired by [`SlidingWindow::try_acquire`], the total never exceeds the limit in any
/// second, whenever that second begins. A token bucket would permit an additional burst of its capacity. A
/// used amount becomes available again after at most one second and one slot. If the clock goes back, no used
/// amount becomes available.
#[derive(Clone, Copy, Debug)]
pub struct SlidingWindow {
    limit: u64,
    /// Amount used in each slot. Slots are numbered from time 0, and slot `n` has the index `n % SLOTS`.
    used: [u64; SLOTS],
    current_slot: u64,
}

impl SlidingWindow {
    /// Creates a window that permits the amount `limit` in any second. Nothing is used yet.
    pub fn new(limit: u64, now: Nanos) -> SlidingWindow {
        SlidingWindow { limit, used: [0; SLOTS], current_slot: now / SLOT_NS }
    }

    /// Clears each slot that is no longer part of the window. The window ends at `now`.
    fn advance(&mut self, now: Nanos) {
        let slot = now / SLOT_NS;
        let passed = slot.saturating_sub(self.current_slot);
        if passed >= SLOTS as u64 {
            self.used = [0; SLOTS];
        } else {
            for ahead in 1..=passed {
                self.used[index(self.current_slot + ahead)] = 0;
            }
        }
        self.current_slot = self.current_slot.max(slot);
    }

    /// Returns the amount that can still be acquired at `now`.
    pub fn available(&mut self, now: Nanos) -> u64 {
        self.advance(now);
        self.limit.saturating_sub(self.used.iter().sum())
    }

    /// Counts an amount as used even if it exceeds the limit. Intended for usage that cannot be delayed.
    pub fn force_acquire(&mut self, amount: u64, now: Nanos) {
        self.advance(now);
        let used = &mut self.used[index(self.current_slot)];
        *used = used.saturating_add(amount);
    }

    /// Acquires the amount if all of it is available, and otherwise acquires nothing. Returns whether the
    /// amount was acquired.
    pub fn try_acquire(&mut self, amount: u64, now: Nanos) -> bool {
        let is_available = amount <= self.available(now);
        if is_available {
            self.force_acquire(amount, now);
        }
        is_available
    }
}

fn index(slot: u64) -> usize {
    (slot % SLOTS as u64) as usize
}
