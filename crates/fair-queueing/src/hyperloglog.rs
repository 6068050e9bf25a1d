//! Estimates the number of distinct names seen, in fixed memory (HyperLogLog; Flajolet, Fusy, Gandouet and
//! Meunier, 2007). The standard error is about 1.04 divided by the square root of the number of registers.

use crate::Nanos;
use crate::tenant::Fingerprint;

/// A raw estimate of at most this many times the number of registers is replaced by linear counting, which
/// derives the estimate from the number of empty registers.
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
    /// Adds a name by its fingerprint. Adding the same name again has no effect.
    pub fn add(&mut self, fingerprint: Fingerprint) {
        let register = fingerprint.high_half() as usize % N;
        let rank = fingerprint.low_half().leading_zeros() as u8 + 1;
        self.registers[register] = self.registers[register].max(rank);
    }

    /// Resets the estimator to no names.
    pub fn clear(&mut self) {
        self.registers.fill(0);
    }

    /// Returns the estimated number of distinct names added since the last [`HyperLogLog::clear`].
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

/// Estimate of the number of distinct names in the current or the previous time window, whichever is larger.
#[derive(Clone, Debug, Default)]
pub struct WindowedCount<const N: usize> {
    current: HyperLogLog<N>,
    previous: HyperLogLog<N>,
    began_at: Nanos,
}

impl<const N: usize> WindowedCount<N> {
    /// Creates a count whose first window begins at `now`.
    pub fn new(now: Nanos) -> Self {
        Self { began_at: now, ..Self::default() }
    }

    /// Begins a new time window if the current one has lasted more than `window` nanoseconds. Returns whether
    /// a new window began.
    pub fn rotate(&mut self, now: Nanos, window: Nanos) -> bool {
        if now.saturating_sub(self.began_at) <= window {
            return false;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.clear();
        self.began_at = now;
        true
    }

    /// Adds a name, by its fingerprint, to the current window.
    pub fn add(&mut self, fingerprint: Fingerprint) {
        self.current.add(fingerprint);
    }

    /// Returns the larger estimate of the current and the previous window, at least 1.
    pub fn estimate(&self) -> f64 {
        self.current.estimate().max(self.previous.estimate()).max(1.0)
    }
}
