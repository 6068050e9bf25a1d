//! Max-min fair division of the units that may be leased.

/// Demand of one server. The derived order, by `wanted` and then by `held`, is the order in which
/// [`fair_share`] serves demands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Demand {
    /// Units that the server wants.
    pub wanted: u64,
    /// Units that the server may still hold under earlier grants.
    pub held: u64,
}

/// Returns the max-min fair share of the demand at `index`, in units. No server gets more than it wants, and
/// the servers that want more than an equal part get equal parts of the rest. Indivisible remaining units go
/// to the servers that hold most, and among equals to the later ones, so that a single unit stays with one of
/// two servers that want it.
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
