//! Power of two choices (Mitzenmacher, The Power of Two Choices in Randomized Load Balancing, 2001): of two
//! services drawn at random, the less loaded one is chosen. This keeps many servers from all choosing the
//! same service.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;

/// Load of a service, ordered by preference: the smaller load is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Load {
    /// Whether this server's own calls found the service unhealthy; outweighs any number of calls.
    pub locally_unhealthy: bool,
    /// Number of this server's calls to the service that have not ended.
    pub outstanding: u64,
}

/// Chooses one of the candidates using at most two random draws. Requires at least one candidate.
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

/// Returns a random number below `bound`. If `bound` is 0, returns 0 without a draw.
pub(crate) fn random_below(rng: &mut ChaCha8Rng, bound: u64) -> u64 {
    if bound == 0 { 0 } else { rng.next_u64() % bound }
}
