//! Reads the platform's settings of a deployment, either from the `path=value` lines that a simulated
//! instance starts with or from the same settings as nested JSON.
//!
//! The platform's words are mapped to terms here and nowhere else: `wire_words` holds the words of choices,
//! `deployment` the paths.

#![deny(missing_docs, clippy::too_many_lines)]

mod deployment;
mod error;
mod values;
mod wire_words;

pub use error::SettingsError;

use meadowstream_overload_control::{Deployment, Nanos};
use serde_json::Value;
use values::Values;

/// What the settings say.
#[derive(Clone, Debug)]
pub struct DeploymentSettings {
    /// What the controller's decisions read.
    pub deployment: Deployment,
    /// Index of the utilization among the gauges, where there is one.
    pub utilization_gauge: Option<usize>,
    /// Index of the number of runnable threads among the gauges, where there is one.
    pub runnable_gauge: Option<usize>,
    /// Names of the operations, in the order of the deployment's.
    pub operation_names: Vec<String>,
    /// How long the answer of a read may be shared with other callers, ns.
    pub read_sharing_window: Nanos,
    /// Whether the server is notified of callers that cancel.
    pub notifies_cancellation: bool,
    /// Whether an invocation carries its caller's remaining deadline.
    pub passes_deadline: bool,
    /// Names of the tenants, in the order of their allowances.
    pub tenant_names: Vec<String>,
    /// Mean number of concurrent calls that this server may have at a shared dependency, 0 where none is
    /// stated.
    pub dependency_quota: f64,
}

impl DeploymentSettings {
    /// Reads `path=value` lines.
    ///
    /// # Errors
    /// Where a line has no `=`, a required path is missing, or a value cannot be read.
    pub fn from_lines(text: &str) -> Result<Self, SettingsError> {
        deployment::read(&Values::from_lines(text)?)
    }

    /// Reads nested JSON.
    ///
    /// # Errors
    /// Where a required path is missing, or a value cannot be read.
    pub fn from_json(settings: &Value) -> Result<Self, SettingsError> {
        deployment::read(&Values::from_json(settings))
    }
}
