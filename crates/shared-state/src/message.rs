//! Messages about the shared state between the servers of a fleet. Messages are serialized by position
//! (postcard), so the order of variants and fields is part of the wire format.

use crate::NAME_MAX;
use crate::budget::BudgetMessage;
use crate::counters::CounterRow;
use crate::outlier_detection::Report;
use crate::server_id::{ServerId, is_valid_name};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Topic number in [`Payload::Other`] for orders from a rollout's coordinator to a server.
pub const ROLLOUT_ORDERS: u16 = 1;
/// Topic number in [`Payload::Other`] for reports from a server to a rollout's coordinator.
pub const ROLLOUT_REPORTS: u16 = 2;
/// Topic number in [`Payload::Other`] for announcements in which a server names the program and the
/// configuration that it runs.
pub const VERSION_ANNOUNCEMENTS: u16 = 3;
/// Topic number in [`Payload::Other`] for messages that replicate the configuration.
pub const REPLICATION: u16 = 4;

/// A message together with the identity of its sender.
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
        /// Message for the receiving server's part of the named budget.
        message: BudgetMessage,
    },
    /// Versions of the sender's counter rows in a range of server incarnations. The receiver replies with the
    /// rows of which it has a newer version.
    Digest {
        /// First server incarnation of the range, or `None` if the range begins with the first row.
        start: Option<ServerId>,
        /// First server incarnation after the range, or `None` if the range extends to the last row.
        end: Option<ServerId>,
        /// Server incarnations in the range, each with the version of its counter row.
        versions: Vec<(ServerId, u64)>,
        /// Whether the receiver should reply with a digest of its own rows in the range.
        wants_reply: bool,
    },
    /// Counter rows, each with the server incarnation to which it belongs.
    Rows(Vec<(ServerId, CounterRow)>),
    /// Reports of servers on the health of downstream services.
    Reports(Vec<Report>),
    /// A message for another part of the program. This crate only transports the message. Messages with an
    /// unknown topic are ignored, so that later releases can add topics.
    Other {
        /// Topic number, which identifies the part of the program that handles the message. An example is
        /// [`REPLICATION`].
        topic: u16,
        /// Content of the message, as encoded by the part of the program that handles the topic.
        body: Vec<u8>,
    },
}

/// Reason why a received message is dropped.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ReceiveError {
    /// The received bytes cannot be decoded as a message.
    #[error("{length} bytes cannot be decoded as a message")]
    Malformed {
        /// Length of the received message body, in bytes.
        length: usize,
        /// Error of the decoder.
        source: postcard::Error,
    },
    /// The received message body has extra bytes after the encoded message.
    #[error("{count} extra bytes after the message")]
    TrailingBytes {
        /// Number of extra bytes.
        count: usize,
    },
    /// The length of the sender's name is invalid: the name is empty or too long.
    #[error("the sender's name must have 1 to {NAME_MAX} bytes, not {length}")]
    SenderName {
        /// Length of the name, in bytes.
        length: usize,
    },
    /// The message is about a budget that this server does not have.
    #[error("unknown budget {name:?}")]
    UnknownBudget {
        /// Name of the budget.
        name: String,
    },
    /// The message was dropped because the queue of received [`Payload::Other`] messages is full.
    #[error("message of topic {topic} dropped: {waiting} messages are queued")]
    TooManyWaiting {
        /// Topic of the dropped message.
        topic: u16,
        /// Number of messages in the full queue.
        waiting: usize,
    },
}

impl Message {
    /// Encodes the message as a message body for sending.
    pub(crate) fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("serializing these types to a vector cannot fail")
    }

    /// Decodes a message body, which must contain exactly one message, and validates the sender's name.
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
