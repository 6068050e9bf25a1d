//! Power of two choices (Mitzenmacher, The Power of Two Choices in Randomized Load Balancing, 2001): of two
//! services drawn at random the less loaded one is chosen. Many servers then do not all choose the same one.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;

/// Load of a service; a smaller one is chosen over a larger one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Load {
    /// Unhealthy by this server's own calls, which counts for more than any number of calls.
    pub locally_unhealthy: bool,
    /// Calls of this server that have not ended.
    pub outstanding: u64,
}

/// Chooses one of the candidates, of which there must be one; two draws at most.
pub(crate) fn less_loaded_of_two(
    rng: &mut ChaCha8Rng,
    candidates: &[usize],
    load: impl Fn(usize) -> Load,
) -> usize {
    let first = random_below(rng, candidates.len() as u64) as usize;
    let others = candidates.len() as u64 - 1;
    let step = if others > 0 { 1 + random_below(rng, others) as usize } else { 0 };
    let second = (first + step) % candidates.len();
    let (first, second) = (candidates[first], candidates[second]);
    if load(second) < load(first) { second } else { first }
}

/// A number under `bound`; 0 without a draw where that is 0.
pub(crate) fn random_below(rng: &mut ChaCha8Rng, bound: u64) -> u64 {
    if bound == 0 { 0 } else { rng.next_u64() % bound }
}
