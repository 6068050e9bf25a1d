//! Messages between members, encoded in bodies of at most [`BODY_BYTES_MAX`] bytes. The datagram layer
//! authenticates senders, but the limits on the content are checked as well: some limits when a message is
//! decoded (`codec`), the others where the content is used.
//!
//! The order and types of variants and fields must never change, because the encoding identifies them by
//! position.

use crate::change::Change;
use crate::entry::Entry;
use crate::revision::{Position, Revision};
use crate::state::{Pair, Text};
use serde::{Deserialize, Serialize};

/// Maximum length of an encoded message, in bytes. With the headers of the datagram layer, a message of this
/// length fits into a datagram of 1,400 bytes.
pub const BODY_BYTES_MAX: usize = 1_100;
/// Maximum length of the name of a member, a region or a zone, in bytes.
pub const NAME_BYTES_MAX: usize = 64;
/// Maximum number of members that a [`Message::Digest`] lists as neighbours. A neighbour is another member of
/// the sender's zone.
pub const NEIGHBOURS_MAX: usize = 3;
/// Maximum length of the reason for which a member rejects a revision, in bytes.
pub const REASON_BYTES_MAX: usize = 200;

/// Reason in a [`LaggingSummary`] of a member that is away: it has reported before and is not alive in the
/// leader's view. Release 0.2 shows it like any other reason.
pub const AWAY_REASON: &str = "away";

/// States the number of the last entry in the leader's committed log at a given time. Members use the
/// leader's statement to find out whether they hold the newest entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Freshness {
    /// Time at which the leader made the statement, in Unix milliseconds of the leader's clock. The value 0
    /// means that no statement was received.
    pub at_ms: u64,
    /// Number of the last entry in the leader's committed log when the leader made the statement.
    pub number: u64,
}

/// The region and the zone in which a member runs.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Location {
    /// Name of the region.
    pub region: String,
    /// Name of the zone, unique within the region.
    pub zone: String,
}

/// Identifies an operator's request. If a request is repeated, the leader recognizes it by this identifier
/// and does not carry it out again.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// Name of the member that sent the request.
    pub from: String,
    /// Number of the request. Assigned by the member that sends the request.
    pub number: u64,
}

/// States that a member rejected a revision of the configuration, and why.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// Number of the revision that the member rejected.
    pub number: u64,
    /// The reason for which the member rejected the revision.
    pub reason: String,
}

/// A report that a member sends to the leader: which revisions it has applied or rejected, and which entries
/// it holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Number of the last revision that the member applied.
    pub applied: u64,
    /// Number of the last entry in the member's committed log.
    pub committed: u64,
    /// The last revision that the member rejected. `None` if the member has rejected none, or has since
    /// applied a later revision.
    pub rejected: Option<Rejection>,
}

/// Outcome of an operator's request to change the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestOutcome {
    /// The change is committed.
    Committed {
        /// Number of the last log entry of the committed change.
        number: u64,
    },
    /// The request was not carried out, and the configuration was not changed by it.
    Rejected {
        /// The reason why the request was not carried out, as text for the operator.
        reason: String,
    },
}

/// A member that has not applied the newest revision, as listed in a [`Message::Status`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LaggingSummary {
    /// The member's name.
    pub name: String,
    /// Number of the last revision that the member applied. The value is 0 if the member has not sent a
    /// report yet.
    pub applied: u64,
    /// The beginning of the reason for which the member rejected a revision. Empty if it rejected none.
    /// [`AWAY_REASON`] if the member is away.
    pub reason: String,
}

impl LaggingSummary {
    /// Returns whether the member is away. Such a member is not counted in the status.
    pub fn is_away(&self) -> bool {
        self.reason == AWAY_REASON
    }
}

/// A message between members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Anti-entropy: states which entries the sender holds. If the receiver holds entries that the sender
    /// lacks, it answers with `Entries` or a `SnapshotOffer`.
    Digest {
        /// Number of the last entry in the sender's committed log.
        number: u64,
        /// The newest freshness statement that the sender has adopted. Such a statement gives the number of
        /// the last entry in the leader's committed log at a given time. All fields are zero if the sender
        /// has adopted no statement.
        freshness: Freshness,
        /// Region and zone of the sender.
        location: Location,
        /// Names of some other members of the sender's zone. From these names, the receiver learns which
        /// members are in this zone.
        neighbours: Vec<String>,
        /// Whether the sender wants the receiver's digest in reply. The receiver sends its digest only if it
        /// holds fewer entries than the sender, or if its `freshness` is newer by more than a tolerated
        /// difference.
        wants_reply: bool,
    },
    /// Transfers committed entries.
    Entries {
        /// The committed log entries, in ascending order of their numbers and without gaps.
        entries: Vec<Entry>,
        /// Name of the most recent leader that the sender knows of.
        leader: Option<String>,
        /// Whether the sender pushed the entries without a request. If so, the receiver pushes the entries
        /// that it did not have yet to further members.
        pushed: bool,
        /// Number of the last entry in the sender's committed log.
        newest: u64,
    },
    /// Offers a checkpoint to a receiver that lags far behind. The sender no longer holds all entries that
    /// the receiver lacks.
    SnapshotOffer {
        /// Revision of the checkpoint.
        checkpoint: Revision,
        /// Number of the last entry in the sender's committed log.
        newest: u64,
    },
    /// Requests key-value pairs of a checkpoint, in the order of the keys.
    FetchChunk {
        /// Number of the checkpoint.
        checkpoint: u64,
        /// The last key that the sender has already received. The requested pairs begin after this key;
        /// `None` requests the first pairs.
        after: Option<Text>,
    },
    /// Answers `FetchChunk` with some of the key-value pairs of the checkpoint.
    SnapshotChunk {
        /// Number of the checkpoint.
        checkpoint: u64,
        /// The key `after` from the request. The pairs in this message begin after this key.
        after: Option<Text>,
        /// The pairs, ordered by key.
        pairs: Vec<Pair>,
        /// Whether this message contains the last pairs of the checkpoint.
        last: bool,
    },
    /// Reports to the leader which revisions the sender has applied or rejected.
    Report {
        /// The report.
        report: Report,
        /// Region and zone of the sender.
        location: Location,
    },
    /// Sent by the leader to request a report from a member.
    PollReport,
    /// Between replicas: a candidate for leadership requests two things from the receiver: a promise of the
    /// candidate's epoch, and entries of the receiver's log.
    Prepare {
        /// The candidate's epoch.
        epoch: u64,
        /// The candidate requests the entries with numbers above this number.
        after: u64,
    },
    /// Between replicas: answers `Prepare`. The sender promises to reject messages of all earlier epochs, and
    /// sends entries of its log to the candidate.
    Promise {
        /// The candidate's epoch.
        epoch: u64,
        /// Position of the last entry in the sender's log, including uncommitted entries.
        last: Position,
        /// The number `after` in the candidate's request. The first entry in `entries` has the next number.
        after: u64,
        /// Entries of the sender's log after number `after`, as many as fit into the message.
        entries: Vec<Entry>,
    },
    /// Between replicas: rejects a message of an earlier epoch. The sender of this answer has promised a
    /// later epoch.
    EpochRejected {
        /// The later epoch, which the sender of this answer has promised.
        promised: u64,
    },
    /// Between replicas: the leader sends entries to store. Without entries, the message is a heartbeat.
    Append {
        /// The leader's epoch.
        epoch: u64,
        /// Position (epoch and number) of the entry that directly precedes `entries` in the leader's log.
        previous: Position,
        /// Entries that the receiver is to store, as many as fit into the message.
        entries: Vec<Entry>,
        /// Number of the last entry in the leader's committed log.
        committed: u64,
    },
    /// Between replicas: answers `Append`. Confirms that the sender's log is equal to the leader's log up to
    /// and including entry `number`.
    Appended {
        /// The leader's epoch.
        epoch: u64,
        /// Number of the last entry up to which the sender's log is equal to the leader's log.
        number: u64,
    },
    /// Between replicas: rejects `Append`. The replica that sends this answer has no log entry at the
    /// position `previous` that the `Append` states.
    AppendRejected {
        /// The leader's epoch.
        epoch: u64,
        /// Number of the last entry up to which the sender's log may be equal to the leader's log. In reply
        /// to this answer, the leader sends the entries after this number.
        matched: u64,
    },
    /// An operator's request to the leader to make a change. A change that is too large for one message is
    /// submitted in several parts.
    Submit {
        /// Identifier of the request. All parts of a change have the same identifier.
        request: RequestId,
        /// Index of this part of the change, starting from 0.
        part: u32,
        /// Number of parts in which the change is submitted.
        parts: u32,
        /// Changes of this part.
        changes: Vec<Change>,
    },
    /// An operator's request to the leader to revert an earlier change.
    Revert {
        /// Identifier of the request.
        request: RequestId,
        /// Number of the last log entry of the change that is to be reverted.
        number: u64,
    },
    /// The leader's answer to `Submit` or `Revert`: the outcome of the request.
    Submitted {
        /// Identifier of the request that this message answers.
        request: RequestId,
        /// Outcome of the request.
        outcome: RequestOutcome,
    },
    /// Sent by a replica that is not the leader, in answer to an operator's request.
    NotLeader {
        /// Identifier of the request that this message answers.
        request: RequestId,
        /// Name of the leader, if known.
        leader: Option<String>,
    },
    /// An operator's request for the status of the fleet. The status has the number of members that have
    /// applied the newest revision, and lists members that lag.
    PollStatus {
        /// Identifier of the request.
        request: RequestId,
    },
    /// The leader's answer to `PollStatus`: how many members have applied the newest revision.
    Status {
        /// Identifier of the request that this message answers.
        request: RequestId,
        /// Number of the newest revision of the configuration. All entries of its last change are committed.
        number: u64,
        /// Number of members that participate in replication, including those that lag. The leader itself and
        /// the sender of the request are not counted.
        members: u32,
        /// Number of members that have applied the newest revision, among those counted in `members`.
        applied: u32,
        /// Members that have not applied the newest revision, among those that participate in replication.
        /// The list has at most eight members.
        lagging: Vec<LaggingSummary>,
    },
}
