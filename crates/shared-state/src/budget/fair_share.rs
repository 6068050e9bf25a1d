//! Divides the leasable units of a budget among the servers. The division is max-min fair.

/// Demand of one server for units. Demands are ordered by `wanted` and then by `held`. [`fair_share`]
/// allocates units to the demands in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Demand {
    /// Number of units that the server requests.
    pub wanted: u64,
    /// Number of units of earlier grants that the server may still use.
    pub held: u64,
}

/// Returns the max-min fair share of one server, in units. `index` selects the server's entry in `demands`.
/// No server gets more than it wants. Servers that want more than an equal part get equal parts of the
/// remaining units.
///
/// Units that cannot be divided equally go to the servers that want most. If servers want the same number of
/// units, the server that holds more units is preferred. If they also hold the same number, the server with
/// the higher index is preferred. For example, if two servers want a single unit and one of them holds it,
/// that server keeps it.
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
