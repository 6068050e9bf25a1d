//! Event counters of one server's part of a budget. The counters are written to the log.

use serde::Serialize;

/// Numbers of events in one server's part of a budget. All counts begin at 0 when the server starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize)]
pub struct BudgetCounters {
    /// Number of received grants that were dropped because they answer none of the recent lease requests of
    /// this server's current incarnation.
    pub unsolicited: u64,
    /// Number of received grants that were dropped for one of two reasons. Either the grant has more units
    /// than may be leased in all, or its sender is not a voter.
    pub excessive: u64,
    /// Number of received grants that were dropped for one of two reasons. Either the grant had already
    /// ended, or this server still held a lease that the grant could not replace. Only a later grant of the
    /// same term can replace a held lease.
    pub stale: u64,
    /// Number of received lease requests with a false report. The report states that the holder has adopted a
    /// certain grant, but this grantor never sent that grant.
    pub unknown_grants: u64,
    /// Number of invalid messages received. Examples are vote requests and votes from servers that are not
    /// voters, and lease requests for more units than may be leased. Lease requests from new holders also
    /// count while the table of holders is full.
    pub invalid: u64,
    /// Number of times that this server was elected as the grantor.
    pub elections_won: u64,
    /// Number of grants that this server sent as the grantor.
    pub grants_sent: u64,
    /// Number of received grants that this server adopted as its current lease.
    pub grants_adopted: u64,
}
