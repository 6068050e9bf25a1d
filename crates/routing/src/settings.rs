//! Routing settings and their validation.

use crate::Nanos;
use thiserror::Error;

/// Settings of routing to one tier; durations are in nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Number of services of the tier; at least 1.
    pub services: usize,
    /// Time between two probes of an unhealthy service by this server; above 0.
    pub probe_interval: Nanos,
    /// Time in which a recovered service regains its full share of calls; 0 turns slow start off.
    pub slow_start: Nanos,
}

/// Reason why the settings are invalid.
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
    /// Validates the settings.
    ///
    /// # Errors
    /// Returns the first setting that is invalid.
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
