//! Settings of outlier detection and their validation.

use crate::NAME_MAX;
use crate::clock::Nanos;
use crate::server_id::is_valid_name;
use thiserror::Error;

/// Maximum number of services in a tier.
const SERVICES_MAX: usize = 256;
/// A whole tier, in thousandths.
const WHOLE_THOUSANDTHS: usize = 1000;

/// Settings of outlier detection in one tier of services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Distinct names of the tier's services; at most 256.
    pub services: Vec<String>,
    /// Number of servers that must find a service unhealthy before it is ejected; at least 1.
    pub accusers_min: usize,
    /// Maximum share of the tier that is ejected at the same time, in thousandths.
    pub max_ejected_thousandths: usize,
    /// Expiry time of a received report, and also the half-life of this server's own evidence, in
    /// nanoseconds; greater than 0. Both are one setting, so that a report expires as the evidence behind it
    /// decays.
    pub expiry: Nanos,
}

/// An invalid setting of outlier detection.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// Too many services.
    #[error("service: at most {SERVICES_MAX}, not {0}")]
    TooManyServices(usize),
    /// A service is listed twice.
    #[error("service: {0:?} is given twice, names must be distinct")]
    RepeatedService(String),
    /// The name of a service is empty or too long.
    #[error("service: name: 1 to {NAME_MAX} bytes, not {0:?}")]
    ServiceName(String),
    /// The required number of accusers is 0. The option is named `reports` in the options file.
    #[error("reports: must be at least 1, not {0}")]
    Reports(usize),
    /// The maximum ejected share is greater than the whole tier.
    #[error("eject-share: must be within 0 and 1, not {0} thousandths")]
    EjectShare(usize),
    /// The expiry time is 0, so that no report would ever be used.
    #[error("expiry-ms: must be greater than 0, not {0} ns")]
    Expiry(Nanos),
}

impl Settings {
    /// Checks each setting.
    ///
    /// # Errors
    /// Returns the first invalid setting.
    pub fn check(&self) -> Result<(), SettingsError> {
        self.check_services()?;
        if self.accusers_min == 0 {
            return Err(SettingsError::Reports(self.accusers_min));
        }
        if self.max_ejected_thousandths > WHOLE_THOUSANDTHS {
            return Err(SettingsError::EjectShare(self.max_ejected_thousandths));
        }
        if self.expiry == 0 {
            return Err(SettingsError::Expiry(self.expiry));
        }
        Ok(())
    }

    fn check_services(&self) -> Result<(), SettingsError> {
        if self.services.len() > SERVICES_MAX {
            return Err(SettingsError::TooManyServices(self.services.len()));
        }
        for (index, name) in self.services.iter().enumerate() {
            if self.services[..index].contains(name) {
                return Err(SettingsError::RepeatedService(name.clone()));
            }
            if !is_valid_name(name) {
                return Err(SettingsError::ServiceName(name.clone()));
            }
        }
        Ok(())
    }

    /// Returns the maximum number of services that may be ejected at the same time.
    pub fn ejected_max(&self) -> usize {
        self.services.len() * self.max_ejected_thousandths / WHOLE_THOUSANDTHS
    }
}
