//! Counters of a budget, for the log.

use serde::Serialize;

/// Events of one server's part in a budget, counted since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize)]
pub struct BudgetCounters {
    /// Grants dropped that answer no request of this incarnation.
    pub unsolicited: u64,
    /// Grants dropped that pass what may be leased or come from a server that is no voter.
    pub excessive: u64,
    /// Grants dropped that had ended when they came, or that came while a lease of another term, or one not
    /// older, was held.
    pub stale: u64,
    /// Requests that name a grant which was never sent.
    pub unknown_grants: u64,
    /// Vote requests and votes of servers that are no voters, requests for more than may be leased, and
    /// requests of holders beyond the table's size.
    pub invalid: u64,
    /// Elections that this server won.
    pub elections_won: u64,
    /// Grants sent.
    pub grants_sent: u64,
    /// Grants adopted as this server's lease.
    pub grants_adopted: u64,
}
