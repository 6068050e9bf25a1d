//! Health of a service as an input of routing.

/// Current health of a service, as used by the router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HealthView {
    /// Whether the service is ejected: by the fleet, or by this server alone while it receives no reports.
    pub ejected: bool,
    /// Whether this server's own calls found the service unhealthy.
    pub locally_unhealthy: bool,
    /// Whether this server is one of the servers that probe the service.
    pub is_prober: bool,
}

impl HealthView {
    /// Whether the service is ejected or locally unhealthy.
    pub fn is_unhealthy(self) -> bool {
        self.ejected || self.locally_unhealthy
    }
}
