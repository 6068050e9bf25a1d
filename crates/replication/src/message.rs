//! Messages between members, in bodies of at most [`BODY_BYTES_MAX`] bytes. Senders are authenticated by the
//! datagram; bounds are checked all the same, some when a message is read (`codec`), others where its content
//! is used.
//!
//! The encoding numbers variants and fields by their position: their order and types never change.

use crate::change::Change;
use crate::entry::Entry;
use crate::revision::{Position, Revision};
use crate::state::{Pair, Text};
use serde::{Deserialize, Serialize};

/// Longest encoded message, in bytes: with its envelopes it fits a datagram of 1,400 bytes.
pub const BODY_BYTES_MAX: usize = 1_100;
/// Longest name of a member, a region or a zone, in bytes.
pub const NAME_BYTES_MAX: usize = 64;
/// Most neighbours that one message names.
pub const NEIGHBOURS_MAX: usize = 3;
/// Longest reason of a rejection, in bytes.
pub const REASON_BYTES_MAX: usize = 200;

/// A leader's statement that its log ended with a number at a time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Freshness {
    /// Unix milliseconds by the leader's clock; 0 where no leader has spoken yet.
    pub at_ms: u64,
    /// The end of its committed log then.
    pub number: u64,
}

/// The region and zone of a member.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Location {
    /// Name of the region.
    pub region: String,
    /// Name of the zone, within its region.
    pub zone: String,
}

/// Identifies an operator's request, so that a repetition of it is not carried out again.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// Name of the member that sent the request.
    pub from: String,
    /// The sender's own number of it.
    pub number: u64,
}

/// A revision that a member did not apply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// The revision's number.
    pub number: u64,
    /// The member's reason.
    pub reason: String,
}

/// What a member has applied, reported to the leader.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The last revision that it applied.
    pub applied: u64,
    /// The end of the committed log that it holds.
    pub committed: u64,
    /// The last revision that it rejected.
    pub rejected: Option<Rejection>,
}

/// What became of an operator's change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestOutcome {
    /// It is committed.
    Committed {
        /// Number of its last entry.
        number: u64,
    },
    /// It was not carried out.
    Rejected {
        /// The leader's reason, for the operator.
        reason: String,
    },
}

/// A member that has not applied the newest revision, as a status names it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LaggingSummary {
    /// The member's name.
    pub name: String,
    /// The last revision that it applied; 0 where it has not reported yet.
    pub applied: u64,
    /// The start of its reason for rejecting a revision; empty where it rejected none.
    pub reason: String,
}

/// A message between members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Anti-entropy: what the sender holds. A receiver that holds more answers with entries or an offer.
    Digest {
        /// The end of the sender's committed log.
        number: u64,
        /// The latest statement of a leader that the sender has.
        freshness: Freshness,
        /// Where the sender is.
        location: Location,
        /// Some others of the same zone, so that members of a zone find each other.
        neighbours: Vec<String>,
        /// A receiver that holds less, or has a fresher statement, answers with a digest of its own.
        wants_reply: bool,
    },
    /// Committed entries in order.
    Entries {
        /// Without gaps.
        entries: Vec<Entry>,
        /// The last known leader.
        leader: Option<String>,
        /// A receiver that did not hold them pushes them on.
        pushed: bool,
        /// The end of the sender's committed log.
        newest: u64,
    },
    /// The sender holds a checkpoint that the receiver needs.
    SnapshotOffer {
        /// The checkpoint's revision.
        checkpoint: Revision,
        /// The end of the sender's committed log.
        newest: u64,
    },
    /// Requests the pairs of a checkpoint that follow a key.
    FetchChunk {
        /// The checkpoint's number.
        checkpoint: u64,
        /// `None` for the first pairs.
        after: Option<Text>,
    },
    /// Pairs of a checkpoint.
    SnapshotChunk {
        /// The checkpoint's number.
        checkpoint: u64,
        /// The key that they follow, as requested.
        after: Option<Text>,
        /// In the order of keys.
        pairs: Vec<Pair>,
        /// The checkpoint ends with them.
        last: bool,
    },
    /// What the sender has applied, to the leader.
    Report {
        /// What it has applied.
        report: Report,
        /// Where the sender is.
        location: Location,
    },
    /// The leader polls for a report.
    PollReport,
    /// Between replicas: a candidate requests a promise for its epoch, and the log after a number.
    Prepare {
        /// The candidate's epoch.
        epoch: u64,
        /// Entries after this number are wanted.
        after: u64,
    },
    /// The replica takes part in no earlier epoch any more.
    Promise {
        /// The candidate's epoch.
        epoch: u64,
        /// The end of the replica's log, committed or not.
        last: Position,
        /// The number that the entries follow.
        after: u64,
        /// As many as fit the message.
        entries: Vec<Entry>,
    },
    /// The replica has promised a later epoch.
    EpochRejected {
        /// That epoch.
        promised: u64,
    },
    /// The leader's entries, or a heartbeat where there are none.
    Append {
        /// The leader's epoch.
        epoch: u64,
        /// The position that the entries follow.
        previous: Position,
        /// As many as fit the message.
        entries: Vec<Entry>,
        /// The end of the leader's committed log.
        committed: u64,
    },
    /// The replica's log matches the leader's.
    Appended {
        /// The leader's epoch.
        epoch: u64,
        /// Up to this number.
        number: u64,
    },
    /// The replica does not hold the entry at `previous`.
    AppendRejected {
        /// The leader's epoch.
        epoch: u64,
        /// The logs may match up to this number.
        matched: u64,
    },
    /// One part of an operator's change, to the leader.
    Submit {
        /// The same for all parts.
        request: RequestId,
        /// Which part this is, from 0.
        part: u32,
        /// Number of parts.
        parts: u32,
        /// Changes of this part.
        changes: Vec<Change>,
    },
    /// An operator asks the leader to take a change back.
    Revert {
        /// Identifies the request.
        request: RequestId,
        /// Number of the change's last entry.
        number: u64,
    },
    /// The leader's answer to `Submit` and `Revert`.
    Submitted {
        /// The request that it answers.
        request: RequestId,
        /// What became of it.
        outcome: RequestOutcome,
    },
    /// This replica is not the leader.
    NotLeader {
        /// The request that it answers.
        request: RequestId,
        /// The leader, where it is known.
        leader: Option<String>,
    },
    /// An operator polls which members have applied the newest revision.
    PollStatus {
        /// Identifies the request.
        request: RequestId,
    },
    /// The leader's answer to `PollStatus`.
    Status {
        /// The request that it answers.
        request: RequestId,
        /// The newest complete revision.
        number: u64,
        /// Members that take part.
        members: u32,
        /// Those of them that have applied it.
        applied: u32,
        /// Some of those that have not.
        lagging: Vec<LaggingSummary>,
    },
}
