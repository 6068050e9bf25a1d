//! Finishes of tenants without an account, in fixed memory: a sketch of hashed cells similar to count-min
//! (Cormode and Muthukrishnan, 2005). Each cell holds the largest finish of the tenants that share it, rather
//! than a sum.
//!
//! Invariant: the estimated finish of a tenant, the minimum over its cells, is never lower than its real
//! finish. The estimate is higher only if the tenant shares each of its cells with a tenant that has used
//! more.

use crate::tenant::Fingerprint;

/// Number of cells that each tenant hashes to.
const CELLS_PER_TENANT: usize = 3;
/// Unit of a cell's value, in nanoseconds of virtual time. With this unit a cell takes 4 bytes.
const UNIT_NS: f64 = 16_384.0;
/// Number of calls of [`FinishSketch::sweep`] that visit every cell once.
const SWEEPS_PER_ROUND: usize = 256;
/// Minimum number of cells.
const CELLS_MIN: usize = 64;

/// Sketch of the finishes of tenants without an account.
#[derive(Debug)]
pub struct FinishSketch {
    /// Finishes in units of [`UNIT_NS`], modulo 2^32.
    cells: Vec<u32>,
    next_swept: usize,
}

fn to_units(virtual_time: f64) -> u32 {
    (virtual_time / UNIT_NS) as u64 as u32
}

/// Returns how far a cell is ahead of the current virtual time, in units of [`UNIT_NS`]; negative if the cell
/// is behind.
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

    /// Returns the bytes that a sketch with this number of cells takes.
    pub fn bytes_max(cells: usize) -> usize {
        Self::rounded(cells) * size_of::<u32>()
    }

    /// Returns the bytes in use.
    pub fn bytes(&self) -> usize {
        self.cells.capacity() * size_of::<u32>()
    }

    /// Returns the indices of a tenant's cells. Two independent hashes, here the two halves of the
    /// fingerprint, yield any number of hashes (Kirsch and Mitzenmacher, 2006).
    fn cells_of(&self, fingerprint: Fingerprint) -> [usize; CELLS_PER_TENANT] {
        let (first, second) = (fingerprint.low_half(), fingerprint.high_half() | 1);
        std::array::from_fn(|i| {
            let hash = first.wrapping_add(second.wrapping_mul(i as u64)) >> 7;
            hash as usize % self.cells.len()
        })
    }

    /// Returns an upper bound of the virtual time up to which the tenant has used its share, or
    /// `virtual_time` if that is later.
    pub fn finish(&self, fingerprint: Fingerprint, virtual_time: f64) -> f64 {
        let now_units = to_units(virtual_time);
        let ahead = self.cells_of(fingerprint).map(|cell| units_ahead(self.cells[cell], now_units));
        match ahead.into_iter().min() {
            Some(least) if least > 0 => ((virtual_time / UNIT_NS).floor() + f64::from(least)) * UNIT_NS,
            _ => virtual_time,
        }
    }

    /// Records that the tenant has used its share up to `finish`.
    pub fn raise(&mut self, fingerprint: Fingerprint, finish: f64, virtual_time: f64) {
        let now_units = to_units(virtual_time);
        let to = ((finish - virtual_time) / UNIT_NS).ceil().clamp(0.0, f64::from(i32::MAX)) as i32;
        for index in self.cells_of(fingerprint) {
            let cell = &mut self.cells[index];
            let ahead = units_ahead(*cell, now_units).max(to).max(0);
            *cell = now_units.wrapping_add(ahead as u32);
        }
    }

    /// Advances a part of the cells to the current virtual time where they are behind it. Without this, a
    /// cell would appear to be ahead again once virtual time has advanced 2^31 units (35,184 s of one core)
    /// past it. A full round takes `SWEEPS_PER_ROUND` calls: 128 s if the owner calls this method once per
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
