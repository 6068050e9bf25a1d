//! Chooses the less loaded of two services that are drawn at random (Mitzenmacher, The Power of Two Choices
//! in Randomized Load Balancing, 2001). The random draw keeps the servers of a fleet from all choosing the
//! same service.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;

/// Load of a service as seen by this server. Of two services, the one with the smaller load is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Load {
    /// Whether this server's own calls found the service unhealthy. The load of an unhealthy service is
    /// greater than the load of any healthy service.
    pub locally_unhealthy: bool,
    /// Number of calls that this server has made to the service and that have not ended.
    pub outstanding: u64,
}

/// Draws two candidates at random and returns the less loaded one. Makes at most two random draws. Requires
/// at least one candidate.
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

/// Returns a random number below `bound`. Returns 0, without a random draw, if `bound` is 0.
pub(crate) fn random_below(rng: &mut ChaCha8Rng, bound: u64) -> u64 {
    if bound == 0 { 0 } else { rng.next_u64() % bound }
}
