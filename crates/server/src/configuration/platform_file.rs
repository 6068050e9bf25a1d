//! Reads the JSON file that the platform passes to a server at its start.

use crate::configuration::{Addresses, Configuration};
use crate::error::BoxError;
use meadowstream_deployment_settings::DeploymentSettings;
use meadowstream_overload_control::TARGET_UTILIZATION;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::Path;

/// Error in the platform's file. An error about a value contains the path of the value within the file.
#[derive(Debug, thiserror::Error)]
pub enum PlatformFileError {
    /// The file is not JSON.
    #[error("not JSON")]
    NotJson(#[source] serde_json::Error),
    /// A value is missing.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// A value is not a string.
    #[error("{0} is not a string")]
    NotString(&'static str),
    /// A value in the platform's file is not an integer of at least 0.
    #[error("{0} is not a non-negative integer")]
    NotInteger(&'static str),
    /// A value in the platform's file is not an IP address with a port.
    #[error("{path}: {value:?} is not an address with a port")]
    NotAddress {
        /// Path of the value in the file.
        path: &'static str,
        /// The invalid value.
        value: String,
    },
    /// The server's name is empty or contains white space.
    #[error("name: {0:?} is empty or contains white space")]
    InvalidName(String),
    /// The seed for the random number generators is not a hexadecimal number.
    #[error("seed: {0:?} is not hexadecimal")]
    InvalidSeed(String),
    /// The deployment's settings in the platform's file are invalid.
    #[error("settings")]
    Settings(#[source] BoxError),
}

/// The parsed JSON file. A value is addressed by its path: the keys from the root to the value, separated by
/// dots.
struct PlatformFile(Value);

impl PlatformFile {
    fn value(&self, path: &'static str) -> Result<&Value, PlatformFileError> {
        let found = path.split('.').try_fold(&self.0, |value, name| value.get(name));
        found.ok_or(PlatformFileError::Missing(path))
    }

    fn string(&self, path: &'static str) -> Result<&str, PlatformFileError> {
        self.value(path)?.as_str().ok_or(PlatformFileError::NotString(path))
    }

    fn integer(&self, path: &'static str) -> Result<u64, PlatformFileError> {
        self.value(path)?.as_u64().ok_or(PlatformFileError::NotInteger(path))
    }

    fn address(&self, path: &'static str) -> Result<SocketAddr, PlatformFileError> {
        let value = self.string(path)?;
        value.parse().map_err(|_| PlatformFileError::NotAddress { path, value: value.to_string() })
    }

    /// Reads the address at `path`. Returns `None` if the value is missing or null.
    fn optional_address(&self, path: &'static str) -> Result<Option<SocketAddr>, PlatformFileError> {
        let given = self.value(path).is_ok_and(|value| !value.is_null());
        if given { self.address(path).map(Some) } else { Ok(None) }
    }

    fn name(&self) -> Result<String, PlatformFileError> {
        let name = self.string("name")?;
        if name.is_empty() || name.contains(char::is_whitespace) {
            return Err(PlatformFileError::InvalidName(name.to_string()));
        }
        Ok(name.to_string())
    }
}

/// Parses `text`, the content of the platform's file at `path`. The returned configuration does not yet
/// include the settings of the options file.
pub fn read(text: &str, path: &Path) -> Result<Configuration, PlatformFileError> {
    let file = PlatformFile(serde_json::from_str(text).map_err(PlatformFileError::NotJson)?);
    let seed = file.string("seed")?;
    let name = file.name()?;
    let settings = file.value("settings");
    Ok(Configuration {
        path: path.to_path_buf(),
        name,
        listen: file.address("listen")?,
        addresses: Cell::new(Addresses {
            interpreter: file.address("vm")?,
            catalog: file.address("directory")?,
            records: file.optional_address("records")?,
        }),
        seed: u64::from_str_radix(seed, 16).map_err(|_| PlatformFileError::InvalidSeed(seed.to_string()))?,
        stop_ms: file.integer("stop_ms")?,
        memory_mb: file.integer("limits.memory_mb")?,
        sockets: file.integer("limits.sockets")? as usize,
        settings: DeploymentSettings::from_json(settings?)
            .map_err(|error| PlatformFileError::Settings(error.into()))?,
        notes: Vec::new(),
        options: RefCell::default(),
        options_path: None,
        target_utilization: Cell::new(TARGET_UTILIZATION),
        candidate: RefCell::default(),
        replicated: RefCell::default(),
        membership: None,
    })
}
