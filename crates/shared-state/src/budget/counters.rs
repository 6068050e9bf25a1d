//! Counters of a budget, written to the log.

use serde::Serialize;

/// Number of events in one server's part of a budget since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize)]
pub struct BudgetCounters {
    /// Grants dropped because they answer no request of this incarnation.
    pub unsolicited: u64,
    /// Grants dropped because they exceed the units that may be leased or come from a server that is not a
    /// voter.
    pub excessive: u64,
    /// Grants dropped because they had already ended, or because a lease of another term, or one at least as
    /// recent, was held.
    pub stale: u64,
    /// Lease requests that name a grant which was never sent.
    pub unknown_grants: u64,
    /// Vote requests and votes from servers that are not voters, requests for more units than may be leased,
    /// and requests from holders beyond the size of the table.
    pub invalid: u64,
    /// Elections that this server won.
    pub elections_won: u64,
    /// Grants sent.
    pub grants_sent: u64,
    /// Grants adopted as this server's lease.
    pub grants_adopted: u64,
}
