//! Encoding of orders and reports: a version number, then the fields of that version in postcard. Later
//! versions append fields, and a reader ignores the bytes after the fields that it knows. [`decode`] rejects
//! version 0, which does not exist, and reads the same fields for every other version. A build of a later
//! version must select the fields by the version number, since messages of version 1 end before the fields
//! added later.
//!
//! postcard encodes fields and variants by position, so their order is part of the wire format.

use crate::metrics::IntervalMetrics;
use crate::plan::ChangeKind;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Version number written by this build.
pub const VERSION: u16 = 1;
/// Maximum number of classes in a report, so that the report fits into a datagram.
pub const CLASSES_MAX: usize = 8;

/// Order of the coordinator to one server, sent in each interval. The server answers with a [`Report`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Name of the plan.
    pub plan: String,
    /// Start time of the coordinator, in nanoseconds since the Unix epoch. Servers ignore orders of earlier
    /// incarnations.
    pub incarnation: u64,
    /// Sequence number of the order within the incarnation. Servers ignore an order that arrives after one
    /// with a higher number.
    pub sequence: u64,
    /// Kind of the change.
    pub kind: ChangeKind,
    /// Hash of the settings or program to run; `None` selects the server's own settings or program.
    pub adopt: Option<u64>,
}

/// Answer of a server to an order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Sequence number of the answered order.
    pub order_sequence: u64,
    /// Version of the running program.
    pub version: String,
    /// Hash of the settings or program in use, depending on the kind of the change.
    pub running_hash: u64,
    /// Whether the server runs the settings or program of a plan instead of its own settings or program.
    pub adopted: bool,
    /// Reason why the server does not carry out the order; `None` if it carries out the order.
    pub refused: Option<String>,
    /// Number of the server's last complete interval.
    pub interval: u64,
    /// Metrics of the server's last complete interval, one entry per class of invocations.
    pub classes: Vec<IntervalMetrics>,
}

/// Encodes a message, preceded by the version number.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    postcard::to_allocvec(&(VERSION, message)).expect("postcard can encode all types of the messages")
}

/// Decodes a message; `None` if it is truncated or has version 0.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let ((version, message), _fields_of_later_versions) =
        postcard::take_from_bytes::<(u16, T)>(bytes).ok()?;
    (version > 0).then_some(message)
}
