//! Settings of the router, and checks that they are valid.

use crate::Nanos;
use thiserror::Error;

/// Settings of a router, which chooses among the services of one tier. Durations are in nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Number of services in the tier, at least 1.
    pub services: usize,
    /// Time between two probes that this server sends to an unhealthy service; above 0.
    pub probe_interval: Nanos,
    /// Duration of slow start: time after its recovery in which a service regains its full share of calls. 0
    /// turns slow start off.
    pub slow_start: Nanos,
}

/// Error that states which setting is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// The tier has no services.
    #[error("service: at least one is required, got {0}")]
    Services(usize),
    /// The probe interval is 0.
    #[error("probes: the interval must be above 0 ns, got {0} ns")]
    ProbeInterval(Nanos),
}

impl Settings {
    /// Checks that the settings are valid.
    ///
    /// # Errors
    /// Returns an error about the first invalid setting.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.services == 0 {
            return Err(SettingsError::Services(self.services));
        }
        if self.probe_interval == 0 {
            return Err(SettingsError::ProbeInterval(self.probe_interval));
        }
        Ok(())
    }
}
