//! Random numbers for the simulation, derived from the seed of the simulation.

use crate::clock::Nanos;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};

const SECOND_NS: f64 = 1e9;

/// Random number generator of the simulation.
pub(super) struct Random(ChaCha8Rng);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(ChaCha8Rng::seed_from_u64(seed))
    }

    pub fn next_u64(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// Returns a random number less than `bound`. If `bound` is 0, returns 0 and leaves the generator
    /// unchanged.
    pub fn below(&mut self, bound: u64) -> u64 {
        if bound == 0 { 0 } else { self.next_u64() % bound }
    }

    /// Returns true with the given probability. If the probability is 0, returns false and leaves the
    /// generator unchanged.
    pub fn chance(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.fraction() < probability
    }

    /// Returns a random time from one arrival to the next, in nanoseconds. The arrivals are a Poisson process
    /// with `per_second` arrivals per second on average.
    pub fn interarrival(&mut self, per_second: f64) -> Nanos {
        let fraction = self.fraction().max(1e-12);
        (-fraction.ln() / per_second * SECOND_NS) as Nanos
    }

    /// Returns a random number from 0 to 1, uniformly distributed.
    fn fraction(&mut self) -> f64 {
        self.next_u64() as f64 / u64::MAX as f64
    }
}
