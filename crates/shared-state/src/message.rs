//! Messages between the servers of a fleet. They are serialized by position (postcard): the order of variants
//! and fields is part of the wire format.

use crate::NAME_MAX;
use crate::budget::BudgetMessage;
use crate::counters::CounterRow;
use crate::outlier_detection::Report;
use crate::server_id::{ServerId, is_valid_name};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Topic of [`Payload::Other`]: orders of a rollout's coordinator to a server.
pub const ROLLOUT_ORDERS: u16 = 1;
/// Topic of [`Payload::Other`]: a server's reports to the coordinator.
pub const ROLLOUT_REPORTS: u16 = 2;
/// Topic of [`Payload::Other`]: which program and configuration each server runs.
pub const VERSION_ANNOUNCEMENTS: u16 = 3;
/// Topic of [`Payload::Other`]: replication of the configuration.
pub const REPLICATION: u16 = 4;

/// A message and its sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: ServerId,
    /// What it sends.
    pub payload: Payload,
}

/// What a message carries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Payload {
    /// A message about one budget.
    Budget {
        /// Name of the budget.
        name: String,
        /// The message.
        message: BudgetMessage,
    },
    /// What the sender knows of the counters of a part of all incarnations.
    Digest {
        /// First incarnation of the part; `None` for the beginning.
        start: Option<ServerId>,
        /// First incarnation after the part; `None` for the end.
        end: Option<ServerId>,
        /// Versions of the rows in the part.
        versions: Vec<(ServerId, u64)>,
        /// Whether the sender asks for the receiver's digest of the part.
        wants_reply: bool,
    },
    /// Rows of counters.
    Rows(Vec<(ServerId, CounterRow)>),
    /// Reports on services.
    Reports(Vec<Report>),
    /// A message of another part of the program, which this crate only carries. Unknown topics are ignored,
    /// so that later releases may add some.
    Other {
        /// Which part of the program it is for.
        topic: u16,
        /// The message as that part encodes it.
        body: Vec<u8>,
    },
}

/// Why a received message is dropped.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ReceiveError {
    /// The bytes are no message.
    #[error("no message in {length} bytes")]
    Malformed {
        /// Length of the body, in bytes.
        length: usize,
        /// What the decoder found.
        source: postcard::Error,
    },
    /// Bytes follow the message.
    #[error("{count} bytes left over after the message")]
    TrailingBytes {
        /// How many.
        count: usize,
    },
    /// The name of the sender is empty or too long.
    #[error("a sender's name of 1 to {NAME_MAX} bytes, not of {length}")]
    SenderName {
        /// Length of the name, in bytes.
        length: usize,
    },
    /// This server has no budget of that name.
    #[error("a budget not known here: {name:?}")]
    UnknownBudget {
        /// The name.
        name: String,
    },
    /// Too many messages of other topics wait.
    #[error("no capacity for a message of topic {topic}: {waiting} wait")]
    TooManyWaiting {
        /// The topic.
        topic: u16,
        /// Messages of other topics that wait.
        waiting: usize,
    },
}

impl Message {
    /// Bytes of the message as it is sent.
    pub(crate) fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("writing the message's types to a vector does not fail")
    }

    /// Reads a whole body and checks the sender's name.
    pub(crate) fn decode(body: &[u8]) -> Result<Message, ReceiveError> {
        let (message, rest) = postcard::take_from_bytes::<Message>(body)
            .map_err(|source| ReceiveError::Malformed { length: body.len(), source })?;
        if !rest.is_empty() {
            return Err(ReceiveError::TrailingBytes { count: rest.len() });
        }
        if !is_valid_name(&message.from.name) {
            return Err(ReceiveError::SenderName { length: message.from.name.len() });
        }
        Ok(message)
    }
}
