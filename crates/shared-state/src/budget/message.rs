//! Messages between the servers that share a budget. Messages are serialized by position (postcard), so the
//! order of variants and fields is part of the wire format.

use serde::{Deserialize, Serialize};

/// Unique identifier of a grantor's term of office: the grantor's incarnation, its rank among the voters and
/// the number of its ballot. Terms are not ordered in time, but all leases of one term have ended before the
/// next grantor grants any.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Term {
    /// Start time of the grantor's process, in nanoseconds since the Unix epoch.
    pub incarnation: u64,
    /// Index of the grantor among the voters, from 0.
    pub rank: u64,
    /// Number of the ballot with which the grantor became a candidate.
    pub election: u64,
}

/// Unique identifier of a grant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GrantId {
    /// Term in which the lease was granted.
    pub term: Term,
    /// Number of the grant in its term; later grants have higher numbers.
    pub number: u64,
}

/// A message about one budget.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum BudgetMessage {
    /// Requests the receiver's vote, so that the sender becomes or remains the grantor.
    VoteRequest {
        /// Number of the ballot, unique among the ballots of the sender's incarnation.
        ballot: u64,
    },
    /// Reply to a [`BudgetMessage::VoteRequest`].
    VoteResponse {
        /// Incarnation of the candidate that sent the request.
        incarnation: u64,
        /// Number of the ballot in the vote request.
        ballot: u64,
        /// Whether the vote is granted to the candidate.
        granted: bool,
    },
    /// Requests a lease from the grantor. All amounts are units beyond the sender's floor (its guaranteed
    /// minimum).
    LeaseRequest {
        /// Number of the request, unique among the lease requests of the sender's incarnation.
        number: u64,
        /// Units that the sender wants.
        wanted: u64,
        /// Units that the sender uses now.
        in_use: u64,
        /// Identifier of the grant of the sender's current lease.
        adopted: GrantId,
    },
    /// Reply to a [`BudgetMessage::LeaseRequest`] that grants a lease. The lease begins at the send time of
    /// the request.
    LeaseGrant {
        /// Incarnation of the server that sent the request.
        incarnation: u64,
        /// Number of the lease request that this message answers.
        request_number: u64,
        /// Term of office of the grantor that sends this message.
        term: Term,
        /// Number of the grant in its term.
        grant_number: u64,
        /// Units granted beyond the floor (the guaranteed minimum) of the server that requested the lease.
        amount: u64,
    },
    /// Reply to a [`BudgetMessage::LeaseRequest`] that grants no lease.
    Redirect {
        /// Name of the grantor, if the sender knows it. If the sender itself is named, it is the grantor but
        /// does not grant leases yet.
        grantor: Option<String>,
    },
}

/// A message about a budget, and the name of its receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Name of the receiving server.
    pub to: String,
    /// Message to send.
    pub message: BudgetMessage,
}
