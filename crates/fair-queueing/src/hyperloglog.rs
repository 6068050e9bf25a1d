//! Estimates the number of distinct names that have been added, in fixed memory. The method is HyperLogLog
//! (Flajolet, Fusy, Gandouet and Meunier, 2007). Its standard error is about 1.04 divided by the square root
//! of the number of registers.

use crate::Nanos;
use crate::tenant::Fingerprint;

/// Largest raw HyperLogLog estimate that is replaced by linear counting, as a multiple of the number of
/// registers. Linear counting derives the number of names from the number of empty registers, which must not
/// be 0. This is more accurate for small counts.
const LINEAR_COUNTING_MAX: f64 = 2.5;

/// A HyperLogLog estimator with `N` one-byte registers.
#[derive(Clone, Debug)]
pub struct HyperLogLog<const N: usize> {
    registers: [u8; N],
}

impl<const N: usize> Default for HyperLogLog<N> {
    fn default() -> Self {
        Self { registers: [0; N] }
    }
}

impl<const N: usize> HyperLogLog<N> {
    /// Adds a name, given by its fingerprint. Adding the same name again has no effect.
    pub fn add(&mut self, fingerprint: Fingerprint) {
        let register = fingerprint.high_half() as usize % N;
        let rank = fingerprint.low_half().leading_zeros() as u8 + 1;
        self.registers[register] = self.registers[register].max(rank);
    }

    /// Removes all names from the estimator.
    pub fn clear(&mut self) {
        self.registers.fill(0);
    }

    /// Returns the estimated number of distinct names added since the estimator was created or cleared.
    pub fn estimate(&self) -> f64 {
        let registers = N as f64;
        let empty = self.registers.iter().filter(|rank| **rank == 0).count();
        let sum: f64 = self.registers.iter().map(|rank| (-f64::from(*rank)).exp2()).sum();
        let alpha = if N >= 128 { 0.7213 / (1.0 + 1.079 / registers) } else { 0.709 };
        let raw = alpha * registers * registers / sum;
        if raw <= LINEAR_COUNTING_MAX * registers && empty > 0 {
            registers * (registers / empty as f64).ln()
        } else {
            raw
        }
    }
}

/// Estimates the number of distinct names in a time window. The result is the larger of two estimates: of the
/// current window, which is still incomplete, and of the previous window.
#[derive(Clone, Debug, Default)]
pub struct WindowedCount<const N: usize> {
    current: HyperLogLog<N>,
    previous: HyperLogLog<N>,
    began_at: Nanos,
}

impl<const N: usize> WindowedCount<N> {
    /// Creates an estimator whose first time window begins at `now`.
    pub fn new(now: Nanos) -> Self {
        Self { began_at: now, ..Self::default() }
    }

    /// Begins a new time window if the current window began more than `window` nanoseconds ago. Returns
    /// whether a new window began.
    pub fn rotate(&mut self, now: Nanos, window: Nanos) -> bool {
        if now.saturating_sub(self.began_at) <= window {
            return false;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.clear();
        self.began_at = now;
        true
    }

    /// Adds a name, given by its fingerprint, to the current time window.
    pub fn add(&mut self, fingerprint: Fingerprint) {
        self.current.add(fingerprint);
    }

    /// Returns the estimated number of distinct names in the current or in the previous time window,
    /// whichever is larger. The result is at least 1.
    pub fn estimate(&self) -> f64 {
        self.current.estimate().max(self.previous.estimate()).max(1.0)
    }
}
