//! Messages between members, encoded in bodies of at most [`BODY_BYTES_MAX`] bytes. The datagram layer
//! authenticates senders. Bounds are checked nevertheless, some when a message is decoded (`codec`) and
//! others where its content is used.
//!
//! The encoding identifies variants and fields by their position, so their order and types must never change.

use crate::change::Change;
use crate::entry::Entry;
use crate::revision::{Position, Revision};
use crate::state::{Pair, Text};
use serde::{Deserialize, Serialize};

/// Longest encoded message, in bytes. A message of this length, together with its envelopes, fits into a
/// datagram of 1,400 bytes.
pub const BODY_BYTES_MAX: usize = 1_100;
/// Longest name of a member, a region or a zone, in bytes.
pub const NAME_BYTES_MAX: usize = 64;
/// Maximum number of other members of the sender's zone that one [`Message::Digest`] lists.
pub const NEIGHBOURS_MAX: usize = 3;
/// Longest reason for a rejection, in bytes.
pub const REASON_BYTES_MAX: usize = 200;

/// A leader's statement of where its committed log ended at a given time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Freshness {
    /// When the leader made the statement, in Unix milliseconds on the leader's clock. The value 0 means that
    /// no statement has been received.
    pub at_ms: u64,
    /// Number of the last committed entry when the statement was made.
    pub number: u64,
}

/// The region and zone of a member.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Location {
    /// Name of the region.
    pub region: String,
    /// Name of the zone within the region.
    pub zone: String,
}

/// Identifier of an operator's request, by which the leader recognizes and deduplicates a repeated request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// Name of the member that sent the request.
    pub from: String,
    /// Number of the request, assigned by the sender.
    pub number: u64,
}

/// A member's rejection of a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// Number of the rejected revision.
    pub number: u64,
    /// Why the member rejected the revision.
    pub reason: String,
}

/// A member's report about its progress, sent to the leader.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Number of the last revision that the member applied.
    pub applied: u64,
    /// Number of the last entry in the member's committed log.
    pub committed: u64,
    /// The last revision that the member rejected; `None` if it rejected none or has since applied a later
    /// revision.
    pub rejected: Option<Rejection>,
}

/// Outcome of an operator's change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestOutcome {
    /// The change is committed.
    Committed {
        /// Number of the change's last entry.
        number: u64,
    },
    /// The change was not carried out.
    Rejected {
        /// The leader's reason, as text for the operator.
        reason: String,
    },
}

/// An entry of [`Message::Status`] for a member that has not applied the newest revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LaggingSummary {
    /// The member's name.
    pub name: String,
    /// Number of the last revision that the member applied; 0 if it has not reported yet.
    pub applied: u64,
    /// The start of the member's reason for rejecting a revision; empty if it rejected none.
    pub reason: String,
}

/// A message between members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Anti-entropy: summarizes the log that the sender holds. A receiver that holds further entries answers
    /// with `Entries` or a `SnapshotOffer`.
    Digest {
        /// Number of the last entry in the sender's committed log.
        number: u64,
        /// The sender's latest freshness statement.
        freshness: Freshness,
        /// Region and zone of the sender.
        location: Location,
        /// Some other members of the sender's zone, so that members of a zone discover each other.
        neighbours: Vec<String>,
        /// Whether the receiver is to answer with its own digest if it holds fewer entries than the sender or
        /// has a fresher statement.
        wants_reply: bool,
    },
    /// Transfers committed entries.
    Entries {
        /// The entries, in order and without gaps.
        entries: Vec<Entry>,
        /// Name of the leader last known to the sender.
        leader: Option<String>,
        /// Whether the receiver forwards new entries to further members.
        pushed: bool,
        /// Number of the last entry in the sender's committed log.
        newest: u64,
    },
    /// Offers a checkpoint to a receiver that lags too far for single entries.
    SnapshotOffer {
        /// Revision of the checkpoint.
        checkpoint: Revision,
        /// Number of the last entry in the sender's committed log.
        newest: u64,
    },
    /// Requests the next key-value pairs of a checkpoint.
    FetchChunk {
        /// Number of the checkpoint.
        checkpoint: u64,
        /// The key after which the requested pairs begin; `None` for the first pairs.
        after: Option<Text>,
    },
    /// Answers `FetchChunk` with key-value pairs of a checkpoint.
    SnapshotChunk {
        /// Number of the checkpoint.
        checkpoint: u64,
        /// The key after which the pairs begin, as requested.
        after: Option<Text>,
        /// The pairs, ordered by key.
        pairs: Vec<Pair>,
        /// Whether these are the last pairs of the checkpoint.
        last: bool,
    },
    /// Reports the sender's progress to the leader.
    Report {
        /// The report.
        report: Report,
        /// Region and zone of the sender.
        location: Location,
    },
    /// The leader's request for a member's progress report.
    PollReport,
    /// Between replicas: a candidate requests a promise of its epoch and the receiver's log entries.
    Prepare {
        /// The candidate's epoch.
        epoch: u64,
        /// Number after which the requested entries begin.
        after: u64,
    },
    /// Between replicas: promises to reject all earlier epochs, and sends log entries to the candidate.
    Promise {
        /// The candidate's epoch.
        epoch: u64,
        /// Position of the last entry of the sender's log, committed or not.
        last: Position,
        /// Number after which the entries begin.
        after: u64,
        /// Entries of the sender's log, as many as fit into the message.
        entries: Vec<Entry>,
    },
    /// Between replicas: rejects a message because the sender of the rejection has promised a later epoch.
    EpochRejected {
        /// The promised epoch.
        promised: u64,
    },
    /// Between replicas: the leader's entries, or a heartbeat if there are none.
    Append {
        /// The leader's epoch.
        epoch: u64,
        /// Position of the entry that precedes `entries`.
        previous: Position,
        /// Entries to store, as many as fit into the message.
        entries: Vec<Entry>,
        /// Number of the last entry in the leader's committed log.
        committed: u64,
    },
    /// Between replicas: acknowledges `Append`. The sender's log matches the leader's log up to `number`.
    Appended {
        /// The leader's epoch.
        epoch: u64,
        /// Number up to which the sender's log matches the leader's log.
        number: u64,
    },
    /// Between replicas: rejects `Append` because the sender of the rejection lacks the entry at `previous`.
    AppendRejected {
        /// The leader's epoch.
        epoch: u64,
        /// Highest number up to which the sender's log may match the leader's log.
        matched: u64,
    },
    /// Submits an operator's change to the leader, or one part of the change if it is too large for one
    /// message.
    Submit {
        /// Identifier of the request; the same in all parts.
        request: RequestId,
        /// Index of this part, from 0.
        part: u32,
        /// Number of parts.
        parts: u32,
        /// Changes of this part.
        changes: Vec<Change>,
    },
    /// An operator's request to the leader to revert a change.
    Revert {
        /// Identifier of the request.
        request: RequestId,
        /// Number of the last entry of the change to revert.
        number: u64,
    },
    /// The leader's answer to `Submit` and `Revert`.
    Submitted {
        /// Identifier of the answered request.
        request: RequestId,
        /// Outcome of the request.
        outcome: RequestOutcome,
    },
    /// Answer to an operator's request from a replica that is not the leader.
    NotLeader {
        /// Identifier of the answered request.
        request: RequestId,
        /// Name of the leader, if known.
        leader: Option<String>,
    },
    /// An operator's request for the number of members that have applied the newest revision, and for the
    /// members that lag.
    PollStatus {
        /// Identifier of the request.
        request: RequestId,
    },
    /// The leader's answer to `PollStatus`.
    Status {
        /// Identifier of the answered request.
        request: RequestId,
        /// Number of the newest complete revision.
        number: u64,
        /// Number of members that participate in replication.
        members: u32,
        /// Number of participating members that have applied the newest revision.
        applied: u32,
        /// Participating members that have not applied the newest revision. The leader lists at most eight.
        lagging: Vec<LaggingSummary>,
    },
}
