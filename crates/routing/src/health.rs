//! Health of a downstream service, which the router takes into account when it chooses a service.

/// Current health of a service as seen by this server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HealthView {
    /// Whether the service is ejected, so that it receives only probes. Servers of the fleet eject a service
    /// together. A server that receives no reports from other servers ejects services by itself.
    pub ejected: bool,
    /// Whether this server's own calls to the service found it unhealthy.
    pub locally_unhealthy: bool,
    /// Whether this server may send probes to the service. Only some servers of the fleet probe a service.
    pub is_prober: bool,
}

impl HealthView {
    /// Whether the service is ejected, or unhealthy according to this server's own calls.
    pub fn is_unhealthy(self) -> bool {
        self.ejected || self.locally_unhealthy
    }
}
