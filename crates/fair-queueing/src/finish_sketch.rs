//! Sketch in fixed memory that stores a finish for each tenant without an account: the virtual time up to
//! which the tenant has used its share. The sketch is an array of hashed cells similar to count-min (Cormode
//! and Muthukrishnan, 2005), but each cell holds the largest finish of the tenants that share the cell,
//! rather than a sum.
//!
//! Invariant: the estimated finish of a tenant, the minimum over its cells, is never lower than its real
//! finish. The estimate is higher only if each of the tenant's cells is shared with a tenant that has a later
//! finish.

use crate::tenant::Fingerprint;

/// Number of cells that each tenant hashes to.
const CELLS_PER_TENANT: usize = 3;
/// Unit of the value in a cell, in nanoseconds of one core per unit of weight. This unit lets a cell take
/// only 4 bytes.
const UNIT_NS: f64 = 16_384.0;
/// Number of calls of [`FinishSketch::sweep`] that together visit every cell once.
const SWEEPS_PER_ROUND: usize = 256;
/// Minimum number of cells in a sketch. A sketch that is requested with fewer cells gets this many.
const CELLS_MIN: usize = 64;

/// Hashed cells that hold, for tenants without an account, the virtual times up to which they have used their
/// shares.
#[derive(Debug)]
pub struct FinishSketch {
    /// Largest finish of the tenants that hash to each cell, in units of [`UNIT_NS`], modulo 2^32.
    cells: Vec<u32>,
    next_swept: usize,
}

fn to_units(virtual_time: f64) -> u32 {
    (virtual_time / UNIT_NS) as u64 as u32
}

/// Returns the distance of a cell's finish ahead of the current virtual time, in units of [`UNIT_NS`];
/// negative if the cell is behind.
fn units_ahead(cell: u32, now_units: u32) -> i32 {
    cell.wrapping_sub(now_units) as i32
}

impl FinishSketch {
    /// Creates a sketch with the given number of cells, rounded up to a power of two.
    pub fn new(cells: usize) -> Self {
        Self { cells: vec![0; Self::rounded(cells)], next_swept: 0 }
    }

    fn rounded(cells: usize) -> usize {
        cells.max(CELLS_MIN).next_power_of_two()
    }

    /// Returns the maximum memory, in bytes, of a sketch created by `new(cells)`.
    pub fn bytes_max(cells: usize) -> usize {
        Self::rounded(cells) * size_of::<u32>()
    }

    /// Returns the memory in use, in bytes.
    pub fn bytes(&self) -> usize {
        self.cells.capacity() * size_of::<u32>()
    }

    /// Returns the indices of the cells that a tenant hashes to. The hashes are linear combinations of two
    /// independent hashes (Kirsch and Mitzenmacher, 2006), here the two halves of the fingerprint.
    fn cells_of(&self, fingerprint: Fingerprint) -> [usize; CELLS_PER_TENANT] {
        let (first, second) = (fingerprint.low_half(), fingerprint.high_half() | 1);
        std::array::from_fn(|i| {
            let hash = first.wrapping_add(second.wrapping_mul(i as u64)) >> 7;
            hash as usize % self.cells.len()
        })
    }

    /// Returns an upper bound of the virtual time up to which the tenant has used its share, at least the
    /// current `virtual_time`.
    pub fn finish(&self, fingerprint: Fingerprint, virtual_time: f64) -> f64 {
        let now_units = to_units(virtual_time);
        let ahead = self.cells_of(fingerprint).map(|cell| units_ahead(self.cells[cell], now_units));
        match ahead.into_iter().min() {
            Some(least) if least > 0 => ((virtual_time / UNIT_NS).floor() + f64::from(least)) * UNIT_NS,
            _ => virtual_time,
        }
    }

    /// Records that the tenant has used its share up to the virtual time `finish`. Cells that already hold a
    /// later finish are left unchanged.
    pub fn raise(&mut self, fingerprint: Fingerprint, finish: f64, virtual_time: f64) {
        let now_units = to_units(virtual_time);
        let to = ((finish - virtual_time) / UNIT_NS).ceil().clamp(0.0, f64::from(i32::MAX)) as i32;
        for index in self.cells_of(fingerprint) {
            let cell = &mut self.cells[index];
            let ahead = units_ahead(*cell, now_units).max(to).max(0);
            *cell = now_units.wrapping_add(ahead as u32);
        }
    }

    /// Visits the next part of the cells, and advances each that is behind `virtual_time` to `virtual_time`.
    /// A cell that was never advanced would appear to be ahead again once virtual time is more than 2^31
    /// units (35,184 s of one core) past it. `SWEEPS_PER_ROUND` calls visit all cells: 128 s at one call per
    /// control period of 500 ms.
    pub fn sweep(&mut self, virtual_time: f64) {
        let now_units = to_units(virtual_time);
        let cells = self.cells.len();
        for _ in 0..cells.div_ceil(SWEEPS_PER_ROUND) {
            let cell = &mut self.cells[self.next_swept];
            if units_ahead(*cell, now_units) < 0 {
                *cell = now_units;
            }
            self.next_swept = (self.next_swept + 1) % cells;
        }
    }
}
