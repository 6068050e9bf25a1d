//! Estimates how many different names were seen, in fixed memory (HyperLogLog; Flajolet, Fusy, Gandouet and
//! Meunier, 2007). The standard error is about 1.04 over the root of the number of registers.

use crate::Nanos;
use crate::tenant::Fingerprint;

/// Estimates below this many times the registers are made by counting empty ones (linear counting).
const LINEAR_COUNTING_MAX: f64 = 2.5;

/// An estimator with `N` registers of a byte.
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
    /// Adds a name by its fingerprint; one that was added before changes nothing.
    pub fn add(&mut self, fingerprint: Fingerprint) {
        let register = fingerprint.high_half() as usize % N;
        let rank = fingerprint.low_half().leading_zeros() as u8 + 1;
        self.registers[register] = self.registers[register].max(rank);
    }

    /// Forgets all names.
    pub fn clear(&mut self) {
        self.registers.fill(0);
    }

    /// The estimated number of names.
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

/// Number of different names in the present window of time or the one before it, whichever is larger.
#[derive(Clone, Debug, Default)]
pub struct WindowedCount<const N: usize> {
    present: HyperLogLog<N>,
    previous: HyperLogLog<N>,
    began_at: Nanos,
}

impl<const N: usize> WindowedCount<N> {
    /// An empty window that begins now.
    pub fn new(now: Nanos) -> Self {
        Self { began_at: now, ..Self::default() }
    }

    /// Begins another window where the present one has lasted `window` nanoseconds; returns whether it did.
    pub fn rotate(&mut self, now: Nanos, window: Nanos) -> bool {
        if now.saturating_sub(self.began_at) <= window {
            return false;
        }
        std::mem::swap(&mut self.present, &mut self.previous);
        self.present.clear();
        self.began_at = now;
        true
    }

    /// Adds a name, by its fingerprint, to the present window.
    pub fn add(&mut self, fingerprint: Fingerprint) {
        self.present.add(fingerprint);
    }

    /// The estimated number of names, 1 at least.
    pub fn estimate(&self) -> f64 {
        self.present.estimate().max(self.previous.estimate()).max(1.0)
    }
}
