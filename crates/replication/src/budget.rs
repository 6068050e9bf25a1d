//! A bound on the bytes that a member sends a second. What finds no room is not sent: whoever lacks it asks
//! again.

use crate::Nanos;

const SECOND: f64 = 1e9;

#[derive(Clone, Copy, Debug)]
pub struct ByteBudget {
    /// Bytes a second, and at once.
    rate: f64,
    room: f64,
    at: Nanos,
}

impl ByteBudget {
    pub fn new(rate: u64, now: Nanos) -> ByteBudget {
        ByteBudget { rate: rate as f64, room: rate as f64, at: now }
    }

    /// Whether so many bytes may be sent now; they are taken if so.
    pub fn take(&mut self, bytes: usize, now: Nanos) -> bool {
        let passed = now.saturating_sub(self.at) as f64 / SECOND;
        self.room = (self.room + passed * self.rate).min(self.rate);
        self.at = self.at.max(now);
        let fits = bytes as f64 <= self.room;
        if fits {
            self.room -= bytes as f64;
        }
        fits
    }
}
