//! Orders and reports as bytes: a version, then the fields of that version in postcard. Later versions add
//! fields behind those of this one, and a reader skips what follows the fields it knows. [`decode`] rejects
//! version 0, which there is not, and reads the same fields whatever other version it finds: a build of a
//! later version has to choose the fields by the version, since a message of this one ends before them.
//!
//! postcard writes fields and variants by position: their order is the wire format.

use crate::metrics::IntervalMetrics;
use crate::plan::ChangeKind;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Version that this build writes.
pub const VERSION: u16 = 1;
/// Classes in one report, at most, so that it fits a datagram.
pub const CLASSES_MAX: usize = 8;

/// What the coordinator sends to each server in each interval; the server answers with a [`Report`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Name of the plan.
    pub plan: String,
    /// The coordinator's start in nanoseconds since the epoch; orders of an earlier incarnation are stale.
    pub incarnation: u64,
    /// Number of the order within the incarnation; one that arrives after a later one is stale.
    pub sequence: u64,
    /// What the change is of.
    pub kind: ChangeKind,
    /// Hash of the settings or program to run; `None` for the server's own.
    pub adopt: Option<u64>,
}

/// A server's answer to an order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Number of the order that it answers.
    pub order_sequence: u64,
    /// Version of the program.
    pub version: String,
    /// Hash of the settings or of the program in force, whichever the order is about.
    pub running_hash: u64,
    /// Whether these are the change of a plan.
    pub adopted: bool,
    /// Why the server does not carry out the order, where it does not.
    pub refused: Option<String>,
    /// Number of the server's last complete interval.
    pub interval: u64,
    /// What the server did in that interval.
    pub classes: Vec<IntervalMetrics>,
}

/// The message with its version.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    postcard::to_allocvec(&(VERSION, message)).expect("every type of a message is one that postcard writes")
}

/// Reads a message; `None` where it is truncated or has no version.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let ((version, message), _fields_of_later_versions) =
        postcard::take_from_bytes::<(u16, T)>(bytes).ok()?;
    (version > 0).then_some(message)
}
