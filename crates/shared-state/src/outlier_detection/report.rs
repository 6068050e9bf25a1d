//! Reports that servers exchange on the health of services.

use crate::clock::Nanos;
use crate::server_id::ServerId;
use serde::{Deserialize, Serialize};

/// Health of a downstream service, as found by one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ServiceHealth {
    /// The service is neither slow nor failing, or its health is unknown.
    #[serde(rename = "Good")]
    Healthy,
    /// Calls to the service take many times as long as those to the tier's other services.
    Slow,
    /// Many calls to the service fail.
    Failing,
}

/// A server's finding on one service. Reports are serialized by position (postcard), so the order of fields
/// is part of the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Server that made the finding.
    pub by: ServerId,
    /// Index of the service in [`Settings::services`](super::Settings::services).
    pub service: u32,
    /// Health of the service, as the server found it.
    pub health: ServiceHealth,
    /// Age of the report when it is sent, in nanoseconds. An age is sent instead of a time because clocks of
    /// two servers are never compared.
    pub age: Nanos,
}
