//! Settings of outlier detection and their check.

use crate::NAME_MAX;
use crate::clock::Nanos;
use crate::server_id::is_valid_name;
use thiserror::Error;

/// Most services of a tier.
const SERVICES_MAX: usize = 256;
/// The whole of a tier, in thousandths.
const WHOLE_THOUSANDTHS: usize = 1000;

/// Settings of outlier detection in one tier of services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The tier's services by name, each once; at most 256.
    pub services: Vec<String>,
    /// Servers that must find a service unhealthy before it is ejected; at least 1.
    pub accusers_min: usize,
    /// Largest part of the tier that is ejected at the same time, in thousandths.
    pub max_ejected_thousandths: usize,
    /// How long a received report counts, and also the half-life of this server's own evidence, in
    /// nanoseconds; above 0. One setting serves both, so that a report lapses as the evidence behind it
    /// fades.
    pub expiry: Nanos,
}

/// A setting of outlier detection that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// Too many services.
    #[error("service: at most {SERVICES_MAX}, not {0}")]
    TooManyServices(usize),
    /// A service is given twice.
    #[error("service: {0:?} is given twice, each name once")]
    RepeatedService(String),
    /// The name of a service is empty or too long.
    #[error("service: name: 1 to {NAME_MAX} bytes, not {0:?}")]
    ServiceName(String),
    /// No accusers are asked for; `reports` is the name in the options file.
    #[error("reports: 1 at least, not {0}")]
    Reports(usize),
    /// The part to eject is over the whole.
    #[error("eject-share: 0 to 1, not {0} thousandths")]
    EjectShare(usize),
    /// Reports would not count at all.
    #[error("expiry-ms: above 0, not {0} ns")]
    Expiry(Nanos),
}

impl Settings {
    /// Checks each setting.
    ///
    /// # Errors
    /// The first setting that cannot be used.
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

    /// Most services that may be ejected at the same time.
    pub fn ejected_max(&self) -> usize {
        self.services.len() * self.max_ejected_thousandths / WHOLE_THOUSANDTHS
    }
}
