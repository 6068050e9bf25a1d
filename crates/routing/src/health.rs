//! Health of a service as routing sees it.

/// What is known of a service now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HealthView {
    /// Ejected by the fleet, or by this server alone where it receives no reports.
    pub ejected: bool,
    /// Unhealthy by this server's own calls.
    pub locally_unhealthy: bool,
    /// This server is one of those that probe the service.
    pub is_prober: bool,
}

impl HealthView {
    /// Whether the service is ejected or found unhealthy by this server.
    pub fn is_unhealthy(self) -> bool {
        self.ejected || self.locally_unhealthy
    }
}
