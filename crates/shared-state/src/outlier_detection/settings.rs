//! Settings of outlier detection, and the validation of the settings.

use crate::NAME_MAX;
use crate::clock::Nanos;
use crate::server_id::is_valid_name;
use thiserror::Error;

/// Maximum number of downstream services in a tier.
const SERVICES_MAX: usize = 256;
/// The whole tier as a share in thousandths. Shares of a tier are given in thousandths of its services.
const WHOLE_THOUSANDTHS: usize = 1000;

/// Settings of outlier detection in one tier of downstream services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Names of the tier's services. The names must be distinct, and there may be at most 256.
    pub services: Vec<String>,
    /// Number of servers that must find a service unhealthy before the service is ejected. The minimum is 1.
    pub accusers_min: usize,
    /// Maximum share of the tier's services that may be ejected at the same time, in thousandths.
    pub max_ejected_thousandths: usize,
    /// Time after which a report expires, in nanoseconds, greater than 0. The same time is the half-life of
    /// this server's own evidence. When a report expires, the evidence on which it is based has decayed to
    /// half.
    pub expiry: Nanos,
}

/// Reason why a setting of outlier detection is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// The tier has more services than the maximum.
    #[error("service: at most {SERVICES_MAX}, not {0}")]
    TooManyServices(usize),
    /// A service is listed twice.
    #[error("service: {0:?} is given twice, names must be distinct")]
    RepeatedService(String),
    /// The name of a service is empty or too long.
    #[error("service: name: 1 to {NAME_MAX} bytes, not {0:?}")]
    ServiceName(String),
    /// [`Settings::accusers_min`] is 0. This number of servers must find a service unhealthy before the
    /// service is ejected. The options file has the setting under the name `reports`.
    #[error("reports: must be at least 1, not {0}")]
    Reports(usize),
    /// The maximum share of the tier that may be ejected is greater than the whole tier (1000 thousandths).
    #[error("eject-share: must be within 0 and 1, not {0} thousandths")]
    EjectShare(usize),
    /// The time after which a report expires is 0, so that no report would ever be used.
    #[error("expiry-ms: must be greater than 0, not {0} ns")]
    Expiry(Nanos),
}

impl Settings {
    /// Checks that each setting is valid.
    ///
    /// # Errors
    ///
    /// Returns an error for the first invalid setting.
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

    /// Returns the maximum number of the tier's services that may be ejected at the same time.
    pub fn ejected_max(&self) -> usize {
        self.services.len() * self.max_ejected_thousandths / WHOLE_THOUSANDTHS
    }
}
