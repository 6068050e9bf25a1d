//! Limits the amount used in any window of one second, for example the bytes sent over a network. The
//! caller provides the time.
#![deny(missing_docs, clippy::too_many_lines)]

/// A point in time in nanoseconds on a monotonic clock.
pub type Nanos = u64;

const SECOND_NS: Nanos = 1_000_000_000;
/// Number of slots per second.
const SLOTS_PER_SECOND: usize = 20;
const SLOT_NS: Nanos = SECOND_NS / SLOTS_PER_SECOND as Nanos;
/// Number of slots stored. A window of one second that begins within a slot overlaps one slot more than
/// there are in a second.
const SLOTS: usize = SLOTS_PER_SECOND + 1;

/// A rate limit over a sliding window of one second. Usage is counted in slots of 50 ms, in constant
/// memory.
///
/// The amounts acquired by [`SlidingWindow::try_acquire`] alone never exceed the limit in any second,
/// regardless of when that second begins. A token bucket would permit a burst of its capacity in addition.
/// A used amount becomes available again at the latest one second and one slot after its use. If
/// the clock goes back, no used amount becomes available.
#[derive(Clone, Copy, Debug)]
pub struct SlidingWindow {
    limit: u64,
    /// Amount used in each slot; slot `n`, counted from time 0, is stored at index `n % SLOTS`.
    used: [u64; SLOTS],
    current_slot: u64,
}

impl SlidingWindow {
    /// Creates a window that allows `limit` in any second, with nothing used.
    pub fn new(limit: u64, now: Nanos) -> SlidingWindow {
        SlidingWindow { limit, used: [0; SLOTS], current_slot: now / SLOT_NS }
    }

    /// Clears the slots that are no longer in the window that ends at `now`.
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

    /// Returns the amount that can be acquired at `now`.
    pub fn available(&mut self, now: Nanos) -> u64 {
        self.advance(now);
        self.limit.saturating_sub(self.used.iter().sum())
    }

    /// Counts an amount as used even if it exceeds the limit, for usage that cannot be delayed.
    pub fn force_acquire(&mut self, amount: u64, now: Nanos) {
        self.advance(now);
        let used = &mut self.used[index(self.current_slot)];
        *used = used.saturating_add(amount);
    }

    /// Acquires the whole amount if it is available, otherwise nothing. Returns whether the amount was
    /// acquired.
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
