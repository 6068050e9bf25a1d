//! Max-min fair division of the leasable units of a budget among servers.

/// Demand of one server. The derived order, by `wanted` and then by `held`, is the order in which
/// [`fair_share`] allocates units to the demands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Demand {
    /// Units that the server requests.
    pub wanted: u64,
    /// Units that the server may still hold under earlier grants.
    pub held: u64,
}

/// Returns the max-min fair share of the demand at `index`, in units. No server gets more than it wants, and
/// the servers that want more than an equal part get equal parts of the remaining units. Units that cannot be
/// divided equally go to the servers that hold most; among servers that hold equally many, to those with the
/// higher index. A single unit therefore stays with one of two servers that want it.
pub(super) fn fair_share(capacity: u64, demands: &[Demand], index: usize) -> u64 {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by_key(|i| (demands[*i], *i));
    let mut remaining = capacity;
    for (served, i) in order.iter().enumerate() {
        let equal_part = remaining / (demands.len() - served) as u64;
        let part = demands[*i].wanted.min(equal_part);
        if *i == index {
            return part;
        }
        remaining -= part;
    }
    0
}
