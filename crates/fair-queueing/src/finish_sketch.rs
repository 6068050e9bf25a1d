//! Finishes of tenants without an account, in fixed memory: a sketch of hashed cells like count-min (Cormode
//! and Muthukrishnan, 2005), whose cells hold the largest finish of all tenants that share them instead of a
//! sum.
//!
//! Invariant: the finish of a tenant, the least over its cells, is never under what the tenant has used; it
//! is over it where all of its cells are shared with tenants that have used more.

use crate::tenant::Fingerprint;

/// Cells of one tenant.
const CELLS_PER_TENANT: usize = 3;
/// Unit of a cell in nanoseconds of virtual time, so that a cell takes 4 bytes.
const UNIT_NS: f64 = 16_384.0;
/// Sweeps in which every cell is visited once.
const SWEEPS_PER_ROUND: usize = 256;
/// Fewest cells.
const CELLS_MIN: usize = 64;

/// The sketch.
#[derive(Debug)]
pub struct FinishSketch {
    /// Finishes in units, modulo 2^32.
    cells: Vec<u32>,
    next_swept: usize,
}

fn to_units(virtual_time: f64) -> u32 {
    (virtual_time / UNIT_NS) as u64 as u32
}

/// How far a cell lies ahead of the present, in units; under 0 it lies behind.
fn units_ahead(cell: u32, present: u32) -> i32 {
    cell.wrapping_sub(present) as i32
}

impl FinishSketch {
    /// A sketch with so many cells, rounded up to a power of two.
    pub fn new(cells: usize) -> Self {
        Self { cells: vec![0; Self::rounded(cells)], next_swept: 0 }
    }

    fn rounded(cells: usize) -> usize {
        cells.max(CELLS_MIN).next_power_of_two()
    }

    /// Bytes that a sketch with so many cells takes.
    pub fn bytes_max(cells: usize) -> usize {
        Self::rounded(cells) * size_of::<u32>()
    }

    /// Bytes held now.
    pub fn bytes(&self) -> usize {
        self.cells.capacity() * size_of::<u32>()
    }

    /// Indices of a tenant's cells. Two halves of the fingerprint stand for any number of hashes (Kirsch and
    /// Mitzenmacher, 2006).
    fn cells_of(&self, fingerprint: Fingerprint) -> [usize; CELLS_PER_TENANT] {
        let (first, second) = (fingerprint.low_half(), fingerprint.high_half() | 1);
        std::array::from_fn(|i| {
            let hash = first.wrapping_add(second.wrapping_mul(i as u64)) >> 7;
            hash as usize % self.cells.len()
        })
    }

    /// Upper bound of the virtual time up to which the tenant has used its share; the present where that lies
    /// behind it.
    pub fn finish(&self, fingerprint: Fingerprint, present: f64) -> f64 {
        let present_units = to_units(present);
        let ahead = self.cells_of(fingerprint).map(|cell| units_ahead(self.cells[cell], present_units));
        match ahead.into_iter().min() {
            Some(least) if least > 0 => ((present / UNIT_NS).floor() + f64::from(least)) * UNIT_NS,
            _ => present,
        }
    }

    /// The tenant has used its share up to `finish`.
    pub fn raise(&mut self, fingerprint: Fingerprint, finish: f64, present: f64) {
        let present_units = to_units(present);
        let to = ((finish - present) / UNIT_NS).ceil().clamp(0.0, f64::from(i32::MAX)) as i32;
        for index in self.cells_of(fingerprint) {
            let cell = &mut self.cells[index];
            let ahead = units_ahead(*cell, present_units).max(to).max(0);
            *cell = present_units.wrapping_add(ahead as u32);
        }
    }

    /// Brings the next of the cells that lie behind up to the present. A cell left behind would seem to lie
    /// ahead once virtual time had advanced by 2^31 units (35,184 s of one core) since; a round over all
    /// cells takes `SWEEPS_PER_ROUND` calls, 128 s where the owner calls once in a control period of 500
    /// ms.
    pub fn sweep(&mut self, present: f64) {
        let present_units = to_units(present);
        let cells = self.cells.len();
        for _ in 0..cells.div_ceil(SWEEPS_PER_ROUND) {
            let cell = &mut self.cells[self.next_swept];
            if units_ahead(*cell, present_units) < 0 {
                *cell = present_units;
            }
            self.next_swept = (self.next_swept + 1) % cells;
        }
    }
}
