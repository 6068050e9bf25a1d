//! Messages between the servers that share a budget. They are serialized by position (postcard), so the order
//! of variants and fields is part of the wire format.

use serde::{Deserialize, Serialize};

/// Unique identifier of a term of office: the grantor's incarnation, its rank among the voters and the number
/// of its ballot. Terms are not ordered in time, but all leases of one term end before the next term grants
/// any.
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
    /// Number of the grant in that term; later grants have higher numbers.
    pub number: u64,
}

/// A message about one budget.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum BudgetMessage {
    /// Requests a vote from a voter, so that the sender becomes or remains the grantor.
    VoteRequest {
        /// Number of the ballot, unique in the sender's incarnation.
        ballot: u64,
    },
    /// Reply to a [`BudgetMessage::VoteRequest`].
    VoteResponse {
        /// Incarnation of the candidate that sent the request.
        incarnation: u64,
        /// Number of the ballot in the request.
        ballot: u64,
        /// Whether the vote is granted to the candidate.
        granted: bool,
    },
    /// Requests a lease from the grantor. Amounts are units beyond the floor.
    LeaseRequest {
        /// Number of the request, unique in the sender's incarnation.
        number: u64,
        /// Units that the sender wants.
        wanted: u64,
        /// Units that the sender uses.
        in_use: u64,
        /// Identifier of the grant of the sender's current lease.
        adopted: GrantId,
    },
    /// Reply to a [`BudgetMessage::LeaseRequest`] that grants a lease, which begins at the time of the
    /// request.
    LeaseGrant {
        /// Incarnation of the server that sent the request.
        incarnation: u64,
        /// Number of the request that this message answers.
        request_number: u64,
        /// Term of the grantor.
        term: Term,
        /// Number of the grant in that term.
        grant_number: u64,
        /// Units granted beyond the floor.
        amount: u64,
    },
    /// Reply to a [`BudgetMessage::LeaseRequest`] from a server that does not grant it.
    Redirect {
        /// Name of the grantor, if known. It is the sender of this message if the sender is the grantor but
        /// does not grant leases yet.
        grantor: Option<String>,
    },
}

/// A message and its receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Name of the receiving server.
    pub to: String,
    /// Message to send.
    pub message: BudgetMessage,
}
