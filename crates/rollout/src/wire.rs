//! Orders and reports as bytes: a version, then the fields of that version in postcard. Later versions add
//! fields behind those of this one, and a reader passes over what comes behind what it knows; a reader of a
//! later version finds that they are absent by the version. A version of 0 is none.

use crate::canary::Figures;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

pub const VERSION: u16 = 1;
/// Classes in one report; a datagram holds no more.
pub const CLASSES_MAX: usize = 8;

/// What a change is of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Taken over by the running process.
    #[default]
    Settings,
    /// The process ends by itself, and what started it starts the other program.
    Program,
}

/// What a server is told each interval. It answers each with its [`Report`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    pub plan: String,
    /// The coordinator's start in nanoseconds since the epoch: orders of one before are stale.
    pub life: u64,
    /// Grows with each order of a life; one that comes after a later one is stale.
    pub number: u64,
    pub kind: Kind,
    /// What to go by: the settings or program of this hash, or the server's own.
    pub adopt: Option<u64>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The order that it answers.
    pub number: u64,
    /// The program's version, and the hash of the settings or the program (as the order has it) it goes by.
    pub version: String,
    pub settings: u64,
    /// Whether these are the change of a plan.
    pub adopted: bool,
    /// Why it does not do as it was told, where it does not.
    pub refused: Option<String>,
    /// Its last whole interval, by its own numbers.
    pub interval: u64,
    pub classes: Vec<Figures>,
}

pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_allocvec(&(VERSION, value)).expect("no part of it refuses")
}

/// `None` for what is truncated or no message of a version that there is.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let ((version, value), _later) = postcard::take_from_bytes::<(u16, T)>(bytes).ok()?;
    (version > 0).then_some(value)
}
