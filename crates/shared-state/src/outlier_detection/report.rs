//! Reports on the health of services. The servers of a fleet exchange these reports with each other.

use crate::clock::Nanos;
use crate::server_id::ServerId;
use serde::{Deserialize, Serialize};

/// Health of a downstream service, as found by one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ServiceHealth {
    /// The service is neither slow nor failing, or its health is unknown.
    #[serde(rename = "Good")]
    Healthy,
    /// Calls to the service take many times as long as calls to the other services of its tier.
    Slow,
    /// Many calls to the service fail.
    Failing,
}

/// Report of a server on the health of one service. Reports are serialized by position (postcard), so the
/// order of fields is part of the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Server that made the finding.
    pub by: ServerId,
    /// Index of the service in [`Settings::services`](super::Settings::services).
    pub service: u32,
    /// Health of the service, as found by the reporting server.
    pub health: ServiceHealth,
    /// Age of the report at the time when the report is sent, in nanoseconds. The report contains an age and
    /// not a point in time because the clocks of two servers are never compared.
    pub age: Nanos,
}
