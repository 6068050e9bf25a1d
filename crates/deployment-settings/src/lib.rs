//! Reads the platform's settings of a deployment. A simulated instance receives the settings as `path=value`
//! lines at its start. A server reads the same settings as nested JSON.
//!
//! The platform uses other names than this project, and only this crate translates them: `wire_words`
//! contains the names of choices, and `deployment` the paths of settings.

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
    /// Settings of the overload controller.
    pub deployment: Deployment,
    /// Index of the gauge for the utilization of the cores in the platform's list of gauges; `None` if the
    /// list does not contain this gauge.
    pub utilization_gauge: Option<usize>,
    /// Index of the gauge for the number of runnable threads in the platform's list of gauges; `None` if the
    /// list does not contain this gauge.
    pub runnable_gauge: Option<usize>,
    /// Names of the operations, in the order of [`Deployment::operations`].
    pub operation_names: Vec<String>,
    /// Time in nanoseconds for which the answer to one caller's read operation may also be returned to other
    /// callers.
    pub read_sharing_window: Nanos,
    /// Whether the server is notified when a caller cancels an invocation.
    pub notifies_cancellation: bool,
    /// Whether an invocation carries the time that remains until its caller's deadline.
    pub passes_deadline: bool,
    /// Names of the tenants, in the order of [`Deployment::tenant_allowance`].
    pub tenant_names: Vec<String>,
    /// Mean number of concurrent calls that this server may have at a dependency shared by all servers; 0 if
    /// the settings contain no quota.
    pub dependency_quota: f64,
}

impl DeploymentSettings {
    /// Reads settings from `path=value` lines.
    ///
    /// # Errors
    /// Returns an error if a line has no `=`, a required path is missing, or a value is invalid.
    pub fn from_lines(text: &str) -> Result<Self, SettingsError> {
        deployment::read(&Values::from_lines(text)?)
    }

    /// Reads settings from nested JSON.
    ///
    /// # Errors
    /// Returns an error if a required path is missing or a value is invalid.
    pub fn from_json(settings: &Value) -> Result<Self, SettingsError> {
        deployment::read(&Values::from_json(settings))
    }
}
