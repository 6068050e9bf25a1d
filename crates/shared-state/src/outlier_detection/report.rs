//! What servers report to each other of a service.

use crate::clock::Nanos;
use crate::server_id::ServerId;
use serde::{Deserialize, Serialize};

/// Health of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ServiceHealth {
    /// Neither of the others, or not known.
    #[serde(rename = "Good")]
    Healthy,
    /// Its calls take many times as long as those of the tier's other services.
    Slow,
    /// Many of its calls fail.
    Failing,
}

/// What one server finds of one service. Serialized by position: the order of fields is part of the wire
/// format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The server that finds so.
    pub by: ServerId,
    /// Index of the service in the settings.
    pub service: u32,
    /// What it finds.
    pub health: ServiceHealth,
    /// How long ago, in nanoseconds: no clocks of two servers are compared.
    pub age: Nanos,
}
