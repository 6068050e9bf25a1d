//! A timer wheel: numbers that run out at a time, found without looking at those that have longer to go
//! (Varghese and Lauck, 1987). Good for spans up to a stated one; longer ones go round again.

use crate::Nanos;

const SPOKES: usize = 256;

#[derive(Debug)]
pub struct Wheel {
    spokes: Vec<Vec<(Nanos, u32)>>,
    width: Nanos,
    /// All before this step have been looked at.
    at: Nanos,
}

impl Wheel {
    pub fn new(span: Nanos, now: Nanos) -> Self {
        let width = (span / (SPOKES as u64 - 2)).max(1);
        Self { spokes: vec![Vec::new(); SPOKES], width, at: now / width }
    }

    /// What it takes beside the numbers, each of which may be there twice while a spoke grows.
    pub fn ceiling(most: usize) -> usize {
        let least = 4 * SPOKES;
        SPOKES * size_of::<Vec<(Nanos, u32)>>() + 2 * (most + least) * size_of::<(Nanos, u32)>()
    }

    pub fn bytes(&self) -> usize {
        let held: usize = self.spokes.iter().map(Vec::capacity).sum();
        SPOKES * size_of::<Vec<(Nanos, u32)>>() + held * size_of::<(Nanos, u32)>()
    }

    pub fn put(&mut self, at: Nanos, number: u32) {
        let step = (at / self.width).max(self.at);
        self.spokes[step as usize % SPOKES].push((at, number));
    }

    /// Hands out all that has run out by now.
    pub fn turn(&mut self, now: Nanos, mut out: impl FnMut(u32)) {
        let to = now / self.width;
        if to < self.at {
            return;
        }
        let steps = (to - self.at).min(SPOKES as u64 - 1);
        for step in to - steps..=to {
            let spoke = &mut self.spokes[step as usize % SPOKES];
            let mut i = 0;
            while i < spoke.len() {
                if spoke[i].0 <= now {
                    out(spoke.swap_remove(i).1);
                } else {
                    i += 1;
                }
            }
            // Room that a crowd once needed is given back.
            if spoke.is_empty() && spoke.capacity() > 8 {
                *spoke = Vec::new();
            }
        }
        self.at = to;
    }
}
