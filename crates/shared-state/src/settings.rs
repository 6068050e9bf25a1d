//! Settings of the shared state, and the validation of the settings.

use crate::budget::{BudgetSettings, BudgetSettingsError};
use crate::clock::Nanos;
use crate::counters::Limits;
use crate::outlier_detection;
use thiserror::Error;

/// Smallest valid value of [`Settings::body_max`], the maximum size of a message body, in bytes.
const BODY_MAX_MIN: usize = 512;

/// Settings of one server's shared state.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Settings of each budget. The names of the budgets must be distinct.
    pub budgets: Vec<BudgetSettings>,
    /// Limits on the counter rows that peers can make this server store.
    pub counters: Limits,
    /// Settings of outlier detection for the tier of downstream services, or `None` if outlier detection is
    /// disabled.
    pub outlier_detection: Option<outlier_detection::Settings>,
    /// Mean time from one round of gossip to the next, in nanoseconds. The time must be greater than 0.
    pub gossip_interval: Nanos,
    /// Maximum size of a message body, in bytes. The value must be at least 512.
    pub body_max: usize,
}

/// An invalid setting.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// A setting of a budget is invalid.
    #[error("budget {name:?}: {fault}")]
    Budget {
        /// Name of the budget.
        name: String,
        /// Reason why the settings of the budget are invalid.
        fault: BudgetSettingsError,
    },
    /// Two budgets have the same name.
    #[error("budget {name:?}: given twice")]
    RepeatedBudget {
        /// Repeated name.
        name: String,
    },
    /// A setting of outlier detection is invalid.
    #[error(transparent)]
    OutlierDetection(#[from] outlier_detection::SettingsError),
    /// The mean time between rounds of gossip is 0.
    #[error("gossip-ms: must be greater than 0, not {interval} ns")]
    GossipInterval {
        /// Configured time between rounds of gossip, in nanoseconds.
        interval: Nanos,
    },
    /// The maximum size of a message body is less than `BODY_MAX_MIN`.
    #[error("the maximum body size must be at least {BODY_MAX_MIN} bytes, not {body_max}")]
    BodyMax {
        /// Configured maximum size of a message body, in bytes.
        body_max: usize,
    },
}

impl Settings {
    /// Checks that each setting is valid.
    ///
    /// # Errors
    ///
    /// Returns an error for the first invalid setting.
    pub fn check(&self) -> Result<(), SettingsError> {
        for (index, budget) in self.budgets.iter().enumerate() {
            let name = || budget.name.clone();
            budget.check().map_err(|fault| SettingsError::Budget { name: name(), fault })?;
            if self.budgets[..index].iter().any(|other| other.name == budget.name) {
                return Err(SettingsError::RepeatedBudget { name: name() });
            }
        }
        if let Some(settings) = &self.outlier_detection {
            settings.check()?;
        }
        if self.gossip_interval == 0 {
            return Err(SettingsError::GossipInterval { interval: self.gossip_interval });
        }
        if self.body_max < BODY_MAX_MIN {
            return Err(SettingsError::BodyMax { body_max: self.body_max });
        }
        Ok(())
    }
}
