//! Health of a service as an input of routing.

/// Current health of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HealthView {
    /// Whether the fleet has ejected the service, or this server alone while it receives no reports.
    pub ejected: bool,
    /// Whether this server's own calls found the service unhealthy.
    pub locally_unhealthy: bool,
    /// Whether this server is one of the probers of the service.
    pub is_prober: bool,
}

impl HealthView {
    /// Whether the service is ejected or locally unhealthy.
    pub fn is_unhealthy(self) -> bool {
        self.ejected || self.locally_unhealthy
    }
}
