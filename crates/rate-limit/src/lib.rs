//! A bound on what is spent in any second, such as bytes put on a network, on the caller's clock.

/// Nanoseconds by a clock that does not go back.
pub type Nanos = u64;

const SECOND: Nanos = 1_000_000_000;
/// Parts of a second that are counted apart.
const SLOTS: usize = 20;
const SLOT: Nanos = SECOND / SLOTS as Nanos;
/// Any second touches one slot more than it has room for.
const COUNTED: usize = SLOTS + 1;

/// Counts what was spent in the last second by slots of a twentieth, in constant memory. What is let through
/// by [`SlidingWindow::take`] alone never passes the limit in any second, wherever that second begins. A
/// token bucket would allow its depth more.
#[derive(Clone, Copy, Debug)]
pub struct SlidingWindow {
    limit: u64,
    spent: [u64; COUNTED],
    /// The slot that time is in, counted from time 0; slot `n` is kept at `n % COUNTED`.
    slot: u64,
}

impl SlidingWindow {
    /// A window that lets `limit` through in any second, nothing spent yet.
    pub fn new(limit: u64, now: Nanos) -> SlidingWindow {
        SlidingWindow { limit, spent: [0; COUNTED], slot: now / SLOT }
    }

    /// Forgets the slots that are over.
    fn advance(&mut self, now: Nanos) {
        let slot = now / SLOT;
        let passed = slot.saturating_sub(self.slot).min(COUNTED as u64);
        for ahead in 1..=passed {
            self.spent[((self.slot + ahead) % COUNTED as u64) as usize] = 0;
        }
        if passed == COUNTED as u64 {
            self.spent = [0; COUNTED];
        }
        self.slot = self.slot.max(slot);
    }

    /// What may still be spent now.
    pub fn room(&mut self, now: Nanos) -> u64 {
        self.advance(now);
        self.limit.saturating_sub(self.spent.iter().sum())
    }

    /// Counts what is spent whether there is room or not: for what may not wait.
    pub fn charge(&mut self, amount: u64, now: Nanos) {
        self.advance(now);
        let current = &mut self.spent[(self.slot % COUNTED as u64) as usize];
        *current = current.saturating_add(amount);
    }

    /// Spends so much where there is room for it, and says whether there was.
    pub fn take(&mut self, amount: u64, now: Nanos) -> bool {
        let fits = amount <= self.room(now);
        if fits {
            self.charge(amount, now);
        }
        fits
    }
}
