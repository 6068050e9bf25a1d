//! Messages between the servers that share a budget. They are serialized by position (postcard): the order of
//! variants and fields is part of the wire format.

use serde::{Deserialize, Serialize};

/// Identifies one term of office, unlike every other: the grantor's incarnation, its rank among the voters
/// and how often it has stood. Terms have no order in time: the leases of one have ended before the next
/// grants.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Term {
    /// The grantor's start, in nanoseconds since the epoch.
    pub incarnation: u64,
    /// Place of the grantor among the voters, from 0.
    pub rank: u64,
    /// Number of the ballot that this incarnation of the grantor stood with.
    pub election: u64,
}

/// Identifies a grant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GrantId {
    /// The term in which it was granted.
    pub term: Term,
    /// Its number in that term; later grants have higher ones.
    pub number: u64,
}

/// A message about one budget.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum BudgetMessage {
    /// To a voter: asks for its vote, so that the sender becomes or stays the grantor.
    VoteRequest {
        /// Number of the ballot, unique in the sender's incarnation.
        ballot: u64,
    },
    /// Answer to a [`BudgetMessage::VoteRequest`].
    VoteResponse {
        /// Incarnation of the candidate that asked.
        incarnation: u64,
        /// Number of the ballot that the request was for.
        ballot: u64,
        /// Whether the vote goes to the candidate.
        granted: bool,
    },
    /// To the grantor: asks for a lease. Amounts are units beyond the floor.
    LeaseRequest {
        /// Number of the request, unique in the sender's incarnation.
        number: u64,
        /// Units that the sender wants.
        wanted: u64,
        /// Units that it uses.
        in_use: u64,
        /// The grant that its present lease came with.
        adopted: GrantId,
    },
    /// Answer to a [`BudgetMessage::LeaseRequest`]: a lease from the time of the request on.
    LeaseGrant {
        /// Incarnation of the server that asked.
        incarnation: u64,
        /// Number of the request that it answers.
        request_number: u64,
        /// The grantor's term.
        term: Term,
        /// Number of the grant in that term.
        grant_number: u64,
        /// Units granted beyond the floor.
        amount: u64,
    },
    /// Answer to a [`BudgetMessage::LeaseRequest`] that the sender does not grant.
    Redirect {
        /// The grantor, if known; the sender itself where it grants nothing yet.
        grantor: Option<String>,
    },
}

/// A message and the server that it goes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Name of the receiver.
    pub to: String,
    /// What it is to receive.
    pub message: BudgetMessage,
}
