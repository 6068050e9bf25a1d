//! How many different prints were seen, estimated in N bytes (HyperLogLog; Flajolet and others, 2007). Off
//! by about 1.04 over the root of N. Guards against counting each name: peers may make up any number.

use crate::Print;

#[derive(Clone, Debug)]
pub struct Distinct<const N: usize>([u8; N]);

impl<const N: usize> Default for Distinct<N> {
    fn default() -> Self {
        Self([0; N])
    }
}

impl<const N: usize> Distinct<N> {
    pub fn add(&mut self, print: Print) {
        let bits = print as u64;
        let place = (print >> 64) as usize % N;
        self.0[place] = self.0[place].max(bits.leading_zeros() as u8 + 1);
    }

    pub fn clear(&mut self) {
        self.0.fill(0);
    }

    pub fn count(&self) -> f64 {
        let many = N as f64;
        let zeros = self.0.iter().filter(|rank| **rank == 0).count();
        let sum: f64 = self.0.iter().map(|rank| (-f64::from(*rank)).exp2()).sum();
        let alpha = if N >= 128 { 0.7213 / (1.0 + 1.079 / many) } else { 0.709 };
        let raw = alpha * many * many / sum;
        // Few of them are counted by the places that none has hit.
        if raw <= 2.5 * many && zeros > 0 { many * (many / zeros as f64).ln() } else { raw }
    }
}
