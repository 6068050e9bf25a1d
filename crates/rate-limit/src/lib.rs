//! A bound on the amount used in any second, such as bytes put on a network, on the caller's clock.
#![deny(missing_docs, clippy::too_many_lines)]

/// Nanoseconds by a clock that does not go back.
pub type Nanos = u64;

const SECOND_NS: Nanos = 1_000_000_000;
/// Slots that a second is divided into.
const SLOTS_PER_SECOND: usize = 20;
const SLOT_NS: Nanos = SECOND_NS / SLOTS_PER_SECOND as Nanos;
/// Any second touches one slot more than it is long.
const SLOTS: usize = SLOTS_PER_SECOND + 1;

/// A rate limit over a sliding window of a second, counted in slots of 50 ms in constant memory.
///
/// The amounts acquired by [`SlidingWindow::try_acquire`] alone never pass the limit in any second, wherever
/// that second begins; a token bucket would allow its depth more. An amount becomes available again at most
/// one slot after its second has passed. A clock that goes back frees nothing.
#[derive(Clone, Copy, Debug)]
pub struct SlidingWindow {
    limit: u64,
    /// Amounts by slot; slot `n`, counted from time 0, is at `n % SLOTS`.
    used: [u64; SLOTS],
    current_slot: u64,
}

impl SlidingWindow {
    /// A window that allows `limit` in any second, with nothing used yet.
    pub fn new(limit: u64, now: Nanos) -> SlidingWindow {
        SlidingWindow { limit, used: [0; SLOTS], current_slot: now / SLOT_NS }
    }

    /// Clears the slots that have left the window.
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

    /// The amount that can be acquired now.
    pub fn available(&mut self, now: Nanos) -> u64 {
        self.advance(now);
        self.limit.saturating_sub(self.used.iter().sum())
    }

    /// Counts an amount that is used whether it is available or not: for what cannot wait.
    pub fn force_acquire(&mut self, amount: u64, now: Nanos) {
        self.advance(now);
        let used = &mut self.used[index(self.current_slot)];
        *used = used.saturating_add(amount);
    }

    /// Acquires the whole amount if it is available; whether it was.
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
