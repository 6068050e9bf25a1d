//! Encodes orders and reports. A message is a version number, followed by the fields of that version, encoded
//! with postcard. Later versions append fields, and a reader ignores the bytes after the fields that it
//! knows. [`decode`] rejects version 0, which is never sent. For every other version, [`decode`] reads the
//! fields of version 1. A build that adds fields must select the fields by the version number, because
//! messages of version 1 end before the added fields.
//!
//! postcard encodes fields and variants by position, so their order is part of the wire format.

use crate::metrics::IntervalMetrics;
use crate::plan::ChangeKind;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Version number of the messages that this build writes.
pub const VERSION: u16 = 1;
/// Maximum number of classes of invocations in a report. With more classes, the report might not fit into a
/// datagram.
pub const CLASSES_MAX: usize = 8;

/// Order of the coordinator to one server. An order is sent to each server in each interval. The server
/// answers with a [`Report`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Name of the plan.
    pub plan: String,
    /// Start time of the coordinator, in nanoseconds since the Unix epoch. Servers ignore an order that
    /// arrives after an order with a later start time.
    pub incarnation: u64,
    /// Sequence number of the order, counted since the start of the coordinator. Servers ignore an order if
    /// they have accepted an order with the same number or a higher number from this coordinator.
    pub sequence: u64,
    /// Kind of the change.
    pub kind: ChangeKind,
    /// Hash of the settings or program that the server must run. `None` orders the server to run its own
    /// settings or program, without the change.
    pub adopt: Option<u64>,
}

/// Report that a server sends to the coordinator in answer to an order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Sequence number of the order that this report answers.
    pub order_sequence: u64,
    /// Version of the program that the server runs.
    pub version: String,
    /// Hash of the server's settings if the plan changes settings, or of the server's program if the plan
    /// changes the program.
    pub running_hash: u64,
    /// Whether the server runs the settings or program that a plan rolls out. If false, the server runs its
    /// own settings or program, without the change.
    pub adopted: bool,
    /// Reason why the server does not carry out the order; `None` if the server carries out the order.
    pub refused: Option<String>,
    /// Number that identifies the server's last complete interval.
    pub interval: u64,
    /// Metrics of the server's last complete interval. There is one entry per class of invocations.
    pub classes: Vec<IntervalMetrics>,
}

/// Encodes a message. The version number precedes the fields.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    postcard::to_allocvec(&(VERSION, message)).expect("postcard can encode all types of the messages")
}

/// Decodes a message. Returns `None` if the message is truncated or has version 0.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let ((version, message), _fields_of_later_versions) =
        postcard::take_from_bytes::<(u16, T)>(bytes).ok()?;
    (version > 0).then_some(message)
}
