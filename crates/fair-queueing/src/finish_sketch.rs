//! Approximate record of the used shares of tenants without an account, in fixed memory.
//!
//! A tenant's finish is the virtual time up to which the tenant has used its share. The sketch is an array of
//! cells. Each tenant hashes to several cells, and each cell holds the largest finish of the tenants that
//! hash to it. Count-min (Cormode and Muthukrishnan, 2005) is similar, but its cells hold sums.
//!
//! Invariant: the estimated finish of a tenant, the minimum over its cells, is never lower than its real
//! finish. The estimate is higher only if each of the tenant's cells is shared with a tenant that has a later
//! finish.

use crate::tenant::Fingerprint;

/// Number of cells of the sketch that each tenant hashes to.
const CELLS_PER_TENANT: usize = 3;
/// Unit in which a cell stores a virtual time, in nanoseconds of one core per unit of weight. With this unit
/// a cell takes only 4 bytes.
const UNIT_NS: f64 = 16_384.0;
/// Number of calls of [`FinishSketch::sweep`] after which every cell has been visited once.
const SWEEPS_PER_ROUND: usize = 256;
/// Minimum number of cells in a sketch. If fewer cells are requested, the sketch has this many.
const CELLS_MIN: usize = 64;

/// Approximate record of the used shares of tenants without an account, in fixed memory. The record is an
/// array of cells, and each tenant hashes to several cells.
#[derive(Debug)]
pub struct FinishSketch {
    /// One value for each cell: the largest finish of the tenants that hash to the cell. A finish is the
    /// virtual time up to which a tenant has used its share, in units of [`UNIT_NS`], modulo 2^32.
    cells: Vec<u32>,
    next_swept: usize,
}

fn to_units(virtual_time: f64) -> u32 {
    (virtual_time / UNIT_NS) as u64 as u32
}

/// Returns how far the virtual time stored in a cell is ahead of the current virtual time, in units of
/// [`UNIT_NS`]. The result is negative if the cell's value is in the past.
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

    /// Returns the memory that the sketch uses now, in bytes.
    pub fn bytes(&self) -> usize {
        self.cells.capacity() * size_of::<u32>()
    }

    /// Returns the indices of the cells that a tenant hashes to. Each index is derived from a linear
    /// combination of two independent hashes (Kirsch and Mitzenmacher, 2006). The two hashes are the halves
    /// of the fingerprint.
    fn cells_of(&self, fingerprint: Fingerprint) -> [usize; CELLS_PER_TENANT] {
        let (first, second) = (fingerprint.low_half(), fingerprint.high_half() | 1);
        std::array::from_fn(|i| {
            let hash = first.wrapping_add(second.wrapping_mul(i as u64)) >> 7;
            hash as usize % self.cells.len()
        })
    }

    /// Returns an upper bound of the virtual time up to which the tenant has used its share. The result is
    /// never lower than the current `virtual_time`.
    pub fn finish(&self, fingerprint: Fingerprint, virtual_time: f64) -> f64 {
        let now_units = to_units(virtual_time);
        let ahead = self.cells_of(fingerprint).map(|cell| units_ahead(self.cells[cell], now_units));
        match ahead.into_iter().min() {
            Some(least) if least > 0 => ((virtual_time / UNIT_NS).floor() + f64::from(least)) * UNIT_NS,
            _ => virtual_time,
        }
    }

    /// Records that the tenant has used its share up to the virtual time `finish`. A cell of the tenant that
    /// already holds a later virtual time is left unchanged.
    pub fn raise(&mut self, fingerprint: Fingerprint, finish: f64, virtual_time: f64) {
        let now_units = to_units(virtual_time);
        let to = ((finish - virtual_time) / UNIT_NS).ceil().clamp(0.0, f64::from(i32::MAX)) as i32;
        for index in self.cells_of(fingerprint) {
            let cell = &mut self.cells[index];
            let ahead = units_ahead(*cell, now_units).max(to).max(0);
            *cell = now_units.wrapping_add(ahead as u32);
        }
    }

    /// Sets outdated cells in the next part of the sketch to the current `virtual_time`. A cell is outdated
    /// if its value is behind `virtual_time`.
    ///
    /// Cell values wrap around. Without the sweep, an outdated cell would appear to be ahead again once
    /// virtual time is more than 2^31 units (35,184 s of one core) past the cell's value. `SWEEPS_PER_ROUND`
    /// calls visit all cells, which takes 128 s at one call per control period of 500 ms.
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
