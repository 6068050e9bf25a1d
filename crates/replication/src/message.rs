//! What members say to each other about configuration, in bodies of at most [`BODY_MAX`] bytes. Peers are
//! authenticated by the datagram; what they say is checked against bounds all the same.

use crate::revision::{Change, Entry, Position, Revision};
use crate::state::Text;
use serde::{Deserialize, Serialize};

/// Longest encoded message: with its envelopes it fits a datagram of 1,400 bytes.
pub const BODY_MAX: usize = 1_100;
/// Longest name of a member, a region or a zone, in bytes.
pub const NAME_MAX: usize = 64;
/// Neighbours that one message names.
pub const NEIGHBOURS_MAX: usize = 3;
/// Longest reason of a refusal, in bytes.
pub const REASON_MAX: usize = 200;

/// At this time, in Unix milliseconds by the leader's clock, the log ended with this number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Freshness {
    pub at_ms: u64,
    pub number: u64,
}

/// Where a member stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Location {
    pub region: String,
    pub zone: String,
}

/// A leader's number of a change that an operator has sent it, by who asked and its own number.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestId {
    pub from: String,
    pub number: u64,
}

/// What a server goes by, as it tells the leader.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The last revision that it put in force, and the last that it holds.
    pub applied: u64,
    pub held: u64,
    /// The last revision that it rejected, and why.
    pub rejected: Option<(u64, String)>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// What the sender holds. One that holds more answers with entries or an offer, one that holds less
    /// asks in turn where `asks` is set. `neighbours` are some others of the same zone, so that all find
    /// each other.
    Digest {
        number: u64,
        freshness: Freshness,
        location: Location,
        neighbours: Vec<String>,
        wants_reply: bool,
    },
    /// Committed entries in order, who published the last, and the newest number that the sender holds.
    /// Those that are pushed are pushed on by whoever did not know them.
    Entries {
        entries: Vec<Entry>,
        leader: Option<String>,
        pushed: bool,
        newest: u64,
    },
    /// The sender holds a checkpoint that the receiver needs, and goes on to a newest number.
    SnapshotOffer {
        checkpoint: Revision,
        newest: u64,
    },
    /// The pairs of a checkpoint that follow a key are wanted.
    FetchChunk {
        checkpoint: u64,
        after: Option<Text>,
    },
    SnapshotChunk {
        checkpoint: u64,
        after: Option<Text>,
        pairs: Vec<(Text, Text)>,
        last: bool,
    },
    /// To the leader, and what makes a server send it at once.
    Report {
        report: Report,
        location: Location,
    },
    PollReport,
    /// Between replicas: a candidate asks for promises, and for the log after a number.
    Prepare {
        epoch: u64,
        after: u64,
    },
    /// The replica takes part in no epoch before this one; its log's end, and entries after `after`.
    Promise {
        epoch: u64,
        last: Position,
        after: u64,
        entries: Vec<Entry>,
    },
    /// The replica has promised a later epoch, or its log does not reach so far back.
    EpochRejected {
        promised: u64,
    },
    /// The leader's entries after `previous`, and how far its log is committed.
    Append {
        epoch: u64,
        previous: Position,
        entries: Vec<Entry>,
        committed: u64,
    },
    /// The replica's log agrees with the leader's up to a number.
    Appended {
        epoch: u64,
        number: u64,
    },
    /// It does not have `previous`; its log may agree up to this number.
    AppendRejected {
        epoch: u64,
        agrees: u64,
    },
    /// An operator's change in parts, to the leader: part so-and-so of so many.
    Submit {
        request: RequestId,
        part: u32,
        parts: u32,
        changes: Vec<Change>,
    },
    /// The change that stands at a number is to be taken back.
    Revert {
        request: RequestId,
        number: u64,
    },
    /// What became of it: committed at a number, or rejected.
    Submitted {
        request: RequestId,
        outcome: Result<u64, String>,
    },
    /// This replica is not the leader; who is, as far as it knows.
    NotLeader {
        request: RequestId,
        leader: Option<String>,
    },
    /// An operator asks who goes by what; the leader answers with counts and some who do not.
    PollStatus {
        request: RequestId,
    },
    Status {
        request: RequestId,
        number: u64,
        members: u32,
        applied: u32,
        waiting: Vec<(String, u64, String)>,
    },
}

impl Message {
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("no part of it refuses")
    }

    /// `None` for anything that is not exactly one message of ours within its bounds.
    pub fn decode(body: &[u8]) -> Option<Message> {
        if body.len() > BODY_MAX {
            return None;
        }
        let (message, rest) = postcard::take_from_bytes::<Message>(body).ok()?;
        (rest.is_empty() && message.is_within_bounds()).then_some(message)
    }

    fn is_within_bounds(&self) -> bool {
        let short = |text: &str| text.len() <= NAME_MAX;
        match self {
            Message::Digest { location, neighbours, .. } => {
                let named = neighbours.len() <= NEIGHBOURS_MAX && neighbours.iter().all(|name| short(name));
                named && short(&location.region) && short(&location.zone)
            }
            Message::Report { report, .. } => {
                report.rejected.as_ref().is_none_or(|(_, why)| why.len() <= REASON_MAX)
            }
            Message::Entries { leader, .. } => leader.as_deref().is_none_or(short),
            Message::Submit { request, changes, .. } => {
                short(&request.from) && changes.iter().all(|change| change.fault().is_none())
            }
            _ => true,
        }
    }
}
