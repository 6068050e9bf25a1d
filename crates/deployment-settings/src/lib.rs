//! Reads the platform's settings of a deployment, either from `path=value` lines, which a simulated instance
//! receives at its start, or from the same settings as nested JSON.
//!
//! The platform's names are translated to the terms of this project only in this crate: `wire_words` holds
//! the names of choices, and `deployment` the paths of settings.

#![deny(missing_docs, clippy::too_many_lines)]

mod deployment;
mod error;
mod values;
mod wire_words;

pub use error::SettingsError;

use meadowstream_overload_control::{Deployment, Nanos};
use serde_json::Value;
use values::Values;

/// Settings of a deployment.
#[derive(Clone, Debug)]
pub struct DeploymentSettings {
    /// Settings that the overload controller uses.
    pub deployment: Deployment,
    /// Index of the utilization in the list of gauges, if present.
    pub utilization_gauge: Option<usize>,
    /// Index of the number of runnable threads in the list of gauges, if present.
    pub runnable_gauge: Option<usize>,
    /// Names of the operations, in the order of [`Deployment::operations`].
    pub operation_names: Vec<String>,
    /// Time for which the answer to a read may be shared with other callers, in nanoseconds.
    pub read_sharing_window: Nanos,
    /// Whether the server is notified when a caller cancels.
    pub notifies_cancellation: bool,
    /// Whether an invocation carries its caller's remaining deadline.
    pub passes_deadline: bool,
    /// Names of the tenants, in the order of [`Deployment::tenant_allowance`].
    pub tenant_names: Vec<String>,
    /// Mean number of concurrent calls that this server may have at a shared dependency; 0 if the settings
    /// contain no quota.
    pub dependency_quota: f64,
}

impl DeploymentSettings {
    /// Reads `path=value` lines.
    ///
    /// # Errors
    /// Returns an error if a line has no `=`, a required path is missing, or a value is invalid.
    pub fn from_lines(text: &str) -> Result<Self, SettingsError> {
        deployment::read(&Values::from_lines(text)?)
    }

    /// Reads nested JSON.
    ///
    /// # Errors
    /// Returns an error if a required path is missing, or a value is invalid.
    pub fn from_json(settings: &Value) -> Result<Self, SettingsError> {
        deployment::read(&Values::from_json(settings))
    }
}
