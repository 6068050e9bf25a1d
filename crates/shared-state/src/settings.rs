//! Settings of the shared state and their validation.

use crate::budget::{BudgetSettings, BudgetSettingsError};
use crate::clock::Nanos;
use crate::counters::Limits;
use crate::outlier_detection;
use thiserror::Error;

/// Minimum value of [`Settings::body_max`], in bytes.
const BODY_MAX_MIN: usize = 512;

/// Settings of one server's shared state.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Budgets, each with a unique name.
    pub budgets: Vec<BudgetSettings>,
    /// Limits of the fleet's counters.
    pub counters: Limits,
    /// Settings of outlier detection in the tier of downstream services, if enabled.
    pub outlier_detection: Option<outlier_detection::Settings>,
    /// Mean time between two rounds of gossip, in nanoseconds; greater than 0.
    pub gossip_interval: Nanos,
    /// Maximum size of a message body, in bytes; at least 512.
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
        /// Validation error of the budget.
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
    /// The interval between rounds of gossip is 0.
    #[error("gossip-ms: must be greater than 0, not {interval} ns")]
    GossipInterval {
        /// Configured interval, in nanoseconds.
        interval: Nanos,
    },
    /// The maximum size of a message body is too small.
    #[error("the maximum body size must be at least {BODY_MAX_MIN} bytes, not {body_max}")]
    BodyMax {
        /// Configured limit, in bytes.
        body_max: usize,
    },
}

impl Settings {
    /// Checks each setting.
    ///
    /// # Errors
    /// Returns the first invalid setting.
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
