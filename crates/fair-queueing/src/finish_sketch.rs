//! What tenants without an account have used: a table of cells in which each print has a few of its own,
//! shared with whoever else falls on them. A cell holds the most of all who share it, so what is told of a
//! tenant (the least over its cells) is never under what it has used, and now and then over it.

use crate::Print;

/// Cells of a print.
const CELLS: usize = 3;
/// Finishes are kept in parts of this many ns of fair time, so that a cell is 4 bytes.
const PART: f64 = 16_384.0;
/// Part of the cells that is swept at a time.
const SWEPT: usize = 256;

#[derive(Debug)]
pub struct Sketch {
    /// Finishes in parts, going round.
    cells: Vec<u32>,
    swept: usize,
}

fn parts(fair_time: f64) -> u32 {
    (fair_time / PART) as u64 as u32
}

/// How far a cell lies ahead, in parts; under 0 it lies behind.
fn ahead(cell: u32, present: u32) -> i32 {
    cell.wrapping_sub(present) as i32
}

impl Sketch {
    pub fn new(cells: usize) -> Self {
        Self { cells: vec![0; Self::rounded(cells)], swept: 0 }
    }

    fn rounded(cells: usize) -> usize {
        cells.max(64).next_power_of_two()
    }

    pub fn ceiling(cells: usize) -> usize {
        Self::rounded(cells) * size_of::<u32>()
    }

    pub fn bytes(&self) -> usize {
        self.cells.capacity() * size_of::<u32>()
    }

    fn places(&self, print: Print) -> [usize; CELLS] {
        // Two halves of the print stand for any number of hashes (Kirsch and Mitzenmacher, 2006).
        let (a, b) = (print as u64, ((print >> 64) as u64) | 1);
        std::array::from_fn(|i| (a.wrapping_add(b.wrapping_mul(i as u64)) >> 7) as usize % self.cells.len())
    }

    /// The fair time up to which it has used its share at the most; the present where that is behind.
    pub fn finish(&self, print: Print, fair_time: f64) -> f64 {
        let present = parts(fair_time);
        let least = self.places(print).map(|place| ahead(self.cells[place], present)).into_iter().min();
        match least {
            Some(least) if least > 0 => ((fair_time / PART).floor() + f64::from(least)) * PART,
            _ => fair_time,
        }
    }

    /// It has used its share up to then.
    pub fn raise(&mut self, print: Print, finish: f64, fair_time: f64) {
        let present = parts(fair_time);
        let to = ((finish - fair_time) / PART).ceil().clamp(0.0, f64::from(i32::MAX)) as i32;
        for place in self.places(print) {
            let cell = &mut self.cells[place];
            *cell = present.wrapping_add(ahead(*cell, present).max(to).max(0) as u32);
        }
    }

    /// Brings some cells up to the present. Guards against those that nobody touches until the count of
    /// parts has gone half round, which would then lie ahead; a whole round of sweeps takes two minutes.
    pub fn sweep(&mut self, fair_time: f64) {
        let present = parts(fair_time);
        let len = self.cells.len();
        for _ in 0..len.div_ceil(SWEPT) {
            let cell = &mut self.cells[self.swept];
            if ahead(*cell, present) < 0 {
                *cell = present;
            }
            self.swept = (self.swept + 1) % len;
        }
    }
}
