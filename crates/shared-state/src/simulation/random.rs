//! Random draws from the simulation's seed.

use crate::clock::Nanos;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};

const SECOND_NS: f64 = 1e9;

/// The simulation's random numbers.
pub(super) struct Random(ChaCha8Rng);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(ChaCha8Rng::seed_from_u64(seed))
    }

    pub fn next_u64(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// A number under `bound`; 0 without a draw where that is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        if bound == 0 { 0 } else { self.next_u64() % bound }
    }

    /// True with the given probability; without a draw where that is 0.
    pub fn chance(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.fraction() < probability
    }

    /// Time to the next arrival of a Poisson process, in nanoseconds.
    pub fn interarrival(&mut self, per_second: f64) -> Nanos {
        let fraction = self.fraction().max(1e-12);
        (-fraction.ln() / per_second * SECOND_NS) as Nanos
    }

    /// 0 to 1.
    fn fraction(&mut self) -> f64 {
        self.next_u64() as f64 / u64::MAX as f64
    }
}
