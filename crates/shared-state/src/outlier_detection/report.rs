//! Reports that servers exchange on the health of services.

use crate::clock::Nanos;
use crate::server_id::ServerId;
use serde::{Deserialize, Serialize};

/// Health of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ServiceHealth {
    /// Neither slow nor failing, or unknown.
    #[serde(rename = "Good")]
    Healthy,
    /// Calls take many times as long as those of the tier's other services.
    Slow,
    /// Many calls fail.
    Failing,
}

/// A server's finding on one service. Serialized by position, so the order of fields is part of the wire
/// format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Server that made the finding.
    pub by: ServerId,
    /// Index of the service in the settings.
    pub service: u32,
    /// Health found by the server.
    pub health: ServiceHealth,
    /// Age of the report, in nanoseconds. An age is sent instead of a time because the clocks of two servers
    /// are never compared.
    pub age: Nanos,
}
