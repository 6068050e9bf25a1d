//! Messages about a budget between the servers that share the budget. Messages are serialized by position
//! (postcard), so the order of variants and fields is part of the wire format.

use serde::{Deserialize, Serialize};

/// Unique identifier of a grantor's term of office. Terms are not ordered in time. However, all leases of a
/// term have ended before the next grantor grants its first lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Term {
    /// Incarnation of the grantor: the start time of its process, in nanoseconds since the Unix epoch.
    pub incarnation: u64,
    /// Index of the grantor in the list of voters, from 0.
    pub rank: u64,
    /// Number of the ballot with which the grantor became a candidate. Ballots are numbered within an
    /// incarnation of a server.
    pub election: u64,
}

/// Unique identifier of a grant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GrantId {
    /// Term of office in which the lease was granted.
    pub term: Term,
    /// Number of the grant within its term of office. Later grants have higher numbers.
    pub number: u64,
}

/// A message about one budget.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum BudgetMessage {
    /// Requests the receiver's vote. A candidate sends this message to become the grantor, and a grantor
    /// sends it to extend its term of office.
    VoteRequest {
        /// Number of the ballot. The number is unique within the sender's incarnation.
        ballot: u64,
    },
    /// Grants or refuses a vote, in reply to a [`BudgetMessage::VoteRequest`].
    VoteResponse {
        /// Incarnation of the candidate that requested the vote.
        incarnation: u64,
        /// Number of the ballot for which the vote was requested.
        ballot: u64,
        /// Whether the sender grants its vote to the candidate.
        granted: bool,
    },
    /// Requests a lease from the grantor. The amounts do not include units of the sender's floor (its
    /// guaranteed minimum).
    LeaseRequest {
        /// Number of the lease request. The number is unique within the sender's incarnation.
        number: u64,
        /// Units that the sender wants.
        wanted: u64,
        /// Units that the sender uses now, beyond its floor.
        in_use: u64,
        /// Identifier of the grant that the sender has adopted as its current lease.
        adopted: GrantId,
    },
    /// Grants a lease, in reply to a [`BudgetMessage::LeaseRequest`]. The lease duration is counted from the
    /// time at which the request was sent.
    LeaseGrant {
        /// Incarnation of the server that requested the lease.
        incarnation: u64,
        /// Number of the lease request that this message answers.
        request_number: u64,
        /// Term of office of the grantor that sends this message.
        term: Term,
        /// Number of the grant within the grantor's term of office.
        grant_number: u64,
        /// Number of granted units. Units of the receiver's floor (its guaranteed minimum) are not included.
        amount: u64,
    },
    /// Reply to a [`BudgetMessage::LeaseRequest`] that grants no lease. The reply may name the grantor.
    Redirect {
        /// Name of the grantor. The value is `None` if the sender does not know the grantor, or if the sender
        /// is the grantor and its table of holders is full. If the sender names itself, it is the grantor but
        /// does not grant leases yet.
        grantor: Option<String>,
    },
}

/// A message about a budget that is to be sent, with the name of the receiving server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Name of the receiving server.
    pub to: String,
    /// Message to send.
    pub message: BudgetMessage,
}
