//! Messages between the servers of a fleet. They are serialized by position (postcard), so the order of
//! variants and fields is part of the wire format.

use crate::NAME_MAX;
use crate::budget::BudgetMessage;
use crate::counters::CounterRow;
use crate::outlier_detection::Report;
use crate::server_id::{ServerId, is_valid_name};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Topic of [`Payload::Other`] for orders from a rollout's coordinator to a server.
pub const ROLLOUT_ORDERS: u16 = 1;
/// Topic of [`Payload::Other`] for reports from a server to the rollout's coordinator.
pub const ROLLOUT_REPORTS: u16 = 2;
/// Topic of [`Payload::Other`] for announcements of the program and configuration that a server runs.
pub const VERSION_ANNOUNCEMENTS: u16 = 3;
/// Topic of [`Payload::Other`] for replication of the configuration.
pub const REPLICATION: u16 = 4;

/// A message with its sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Server that sends the message.
    pub from: ServerId,
    /// Content of the message.
    pub payload: Payload,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Payload {
    /// A message about one budget.
    Budget {
        /// Name of the budget.
        name: String,
        /// Message to the server's part of that budget.
        message: BudgetMessage,
    },
    /// Versions of the sender's counter rows in a range of incarnations.
    Digest {
        /// First incarnation of the range; `None` if the range begins with the first row.
        start: Option<ServerId>,
        /// First incarnation after the range; `None` if the range extends to the last row.
        end: Option<ServerId>,
        /// Versions of the rows in the range.
        versions: Vec<(ServerId, u64)>,
        /// Whether the receiver should reply with its own digest of the range.
        wants_reply: bool,
    },
    /// Counter rows.
    Rows(Vec<(ServerId, CounterRow)>),
    /// Reports on the health of services.
    Reports(Vec<Report>),
    /// A message of another part of the program, which this crate only transports. Unknown topics are
    /// ignored, so that later releases can add topics.
    Other {
        /// Topic: the part of the program that handles the message.
        topic: u16,
        /// Message in the encoding of that part.
        body: Vec<u8>,
    },
}

/// Reason for dropping a received message.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ReceiveError {
    /// The bytes cannot be decoded as a message.
    #[error("{length} bytes cannot be decoded as a message")]
    Malformed {
        /// Length of the body, in bytes.
        length: usize,
        /// Error of the decoder.
        source: postcard::Error,
    },
    /// Extra bytes follow the message.
    #[error("{count} extra bytes after the message")]
    TrailingBytes {
        /// Number of extra bytes.
        count: usize,
    },
    /// The sender's name is empty or too long.
    #[error("the sender's name must have 1 to {NAME_MAX} bytes, not {length}")]
    SenderName {
        /// Length of the name, in bytes.
        length: usize,
    },
    /// This server has no budget with this name.
    #[error("unknown budget {name:?}")]
    UnknownBudget {
        /// Name of the budget.
        name: String,
    },
    /// The queue of received [`Payload::Other`] messages is full.
    #[error("message of topic {topic} dropped: {waiting} messages are queued")]
    TooManyWaiting {
        /// Topic of the dropped message.
        topic: u16,
        /// Number of messages in the queue.
        waiting: usize,
    },
}

impl Message {
    /// Encodes the message for sending.
    pub(crate) fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("serializing these types to a vector cannot fail")
    }

    /// Decodes a whole message body and validates the sender's name.
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
