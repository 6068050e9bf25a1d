//! Max-min fair division of what may be leased.

/// What one server wants and what it may hold. Ordered by the first and then by the second: the order of the
/// fields is the order in which [`fair_share`] serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Demand {
    /// Units that it wants.
    pub wanted: u64,
    /// Units that it may still hold by earlier grants.
    pub held: u64,
}

/// The max-min fair share of the demand at `index`, in units: no server gets more than it wants, and those
/// that want more than an equal part get equal parts of what is left. Units that do not divide go to the
/// servers that hold most, of equals to the later ones, so that a single unit stays with one of two that want
/// it.
pub(super) fn fair_share(capacity: u64, demands: &[Demand], index: usize) -> u64 {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by_key(|i| (demands[*i], *i));
    let mut left = capacity;
    for (served, i) in order.iter().enumerate() {
        let equal_part = left / (demands.len() - served) as u64;
        let part = demands[*i].wanted.min(equal_part);
        if *i == index {
            return part;
        }
        left -= part;
    }
    0
}
