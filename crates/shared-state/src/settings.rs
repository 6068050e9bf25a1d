//! Settings of all that is shared and their check.

use crate::budget::{BudgetSettings, BudgetSettingsError};
use crate::clock::Nanos;
use crate::counters::Limits;
use crate::outlier_detection;
use thiserror::Error;

/// Smallest limit of a message's size, in bytes.
const BODY_MAX_LEAST: usize = 512;

/// Settings of all that one server shares with the others.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Budgets, each with a name of its own.
    pub budgets: Vec<BudgetSettings>,
    /// Limits of the fleet's counters.
    pub counters: Limits,
    /// Outlier detection in the tier of services below, if any.
    pub outlier_detection: Option<outlier_detection::Settings>,
    /// Time between two rounds of gossip, in nanoseconds; above 0.
    pub gossip_interval: Nanos,
    /// Longest body of a message, in bytes; 512 at least.
    pub body_max: usize,
}

/// A setting that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// A setting of a budget.
    #[error("budget {name:?}: {fault}")]
    Budget {
        /// Name of the budget.
        name: String,
        /// The setting.
        fault: BudgetSettingsError,
    },
    /// Two budgets have the same name.
    #[error("budget {name:?}: given twice")]
    RepeatedBudget {
        /// The name.
        name: String,
    },
    /// A setting of outlier detection.
    #[error(transparent)]
    OutlierDetection(#[from] outlier_detection::SettingsError),
    /// There would be no time between rounds of gossip.
    #[error("gossip-ms: above 0, not {interval} ns")]
    GossipInterval {
        /// The interval, in nanoseconds.
        interval: Nanos,
    },
    /// Messages would be too small.
    #[error("bodies of {BODY_MAX_LEAST} bytes at least, not {body_max}")]
    BodyMax {
        /// The limit, in bytes.
        body_max: usize,
    },
}

impl Settings {
    /// Checks each setting.
    ///
    /// # Errors
    /// The first setting that cannot be used.
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
        if self.body_max < BODY_MAX_LEAST {
            return Err(SettingsError::BodyMax { body_max: self.body_max });
        }
        Ok(())
    }
}
