//! Counters of the events in one server's part of a budget, which are written to the log.

use serde::Serialize;

/// Numbers of events in one server's part of a budget since the start of the server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize)]
pub struct BudgetCounters {
    /// Grants dropped because they answer no lease request of this incarnation.
    pub unsolicited: u64,
    /// Grants dropped because they exceed the units that may be leased, or come from a server that is not a
    /// voter.
    pub excessive: u64,
    /// Grants dropped because they had already ended, or because this server still held a lease that was of
    /// another term or at least as recent.
    pub stale: u64,
    /// Received lease requests that report, as their adopted grant, a grant that this grantor never sent.
    pub unknown_grants: u64,
    /// Invalid messages received: vote requests and votes from servers that are not voters, lease requests
    /// for more units than may be leased, and lease requests from new holders while the table of holders is
    /// full.
    pub invalid: u64,
    /// Elections that this server won.
    pub elections_won: u64,
    /// Grants sent.
    pub grants_sent: u64,
    /// Received grants that this server adopted as its lease.
    pub grants_adopted: u64,
}
