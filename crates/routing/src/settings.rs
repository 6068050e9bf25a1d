//! Settings of routing and their check.

use crate::Nanos;
use thiserror::Error;

/// Settings of routing in one tier; durations are nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Services of the tier; at least 1.
    pub services: usize,
    /// Time between two probes of an unhealthy service by this server; above 0.
    pub probe_interval: Nanos,
    /// How long a service that has recovered takes to get its whole share of calls; 0 for at once.
    pub slow_start: Nanos,
}

/// A setting that cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// The tier has no service.
    #[error("service: at least one, not {0}")]
    Services(usize),
    /// There would be no time between probes.
    #[error("probes: above 0 ns apart, not {0}")]
    ProbeInterval(Nanos),
}

impl Settings {
    /// Checks each setting.
    ///
    /// # Errors
    /// The first setting that cannot be used.
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
