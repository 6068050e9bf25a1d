//! The JSON file that the platform gives a server at its start.

use crate::configuration::{Addresses, Configuration};
use crate::error::BoxError;
use meadowstream_deployment_settings::DeploymentSettings;
use meadowstream_overload_control::TARGET_UTILIZATION;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::Path;

/// Why the platform's file cannot be used. Each names the path of the value in the file.
#[derive(Debug, thiserror::Error)]
pub enum PlatformFileError {
    /// It is not JSON.
    #[error("not JSON")]
    NotJson(#[source] serde_json::Error),
    /// A value is missing.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// A value is no string.
    #[error("{0} is no text")]
    NotText(&'static str),
    /// A value is no whole number.
    #[error("{0} is no whole number")]
    NotWhole(&'static str),
    /// A value is no address.
    #[error("{place}: {value:?} is no address with a port")]
    NotAddress {
        /// Where it stands.
        place: &'static str,
        /// The value.
        value: String,
    },
    /// The name is empty or has spaces.
    #[error("name: {0:?} is not one word")]
    BadName(String),
    /// The seed is no number.
    #[error("seed: {0:?} is not hexadecimal")]
    BadSeed(String),
    /// The deployment's settings cannot be used.
    #[error("settings")]
    Settings(#[source] BoxError),
}

/// The values of the file, by paths of names with dots between.
struct PlatformFile(Value);

impl PlatformFile {
    fn at(&self, place: &'static str) -> Result<&Value, PlatformFileError> {
        let found = place.split('.').try_fold(&self.0, |value, name| value.get(name));
        found.ok_or(PlatformFileError::Missing(place))
    }

    fn text(&self, place: &'static str) -> Result<&str, PlatformFileError> {
        self.at(place)?.as_str().ok_or(PlatformFileError::NotText(place))
    }

    fn whole(&self, place: &'static str) -> Result<u64, PlatformFileError> {
        self.at(place)?.as_u64().ok_or(PlatformFileError::NotWhole(place))
    }

    fn address(&self, place: &'static str) -> Result<SocketAddr, PlatformFileError> {
        let value = self.text(place)?;
        value.parse().map_err(|_| PlatformFileError::NotAddress { place, value: value.to_string() })
    }

    /// An address that may be left out or null.
    fn address_if_given(&self, place: &'static str) -> Result<Option<SocketAddr>, PlatformFileError> {
        let given = self.at(place).is_ok_and(|value| !value.is_null());
        if given { self.address(place).map(Some) } else { Ok(None) }
    }

    fn name(&self) -> Result<String, PlatformFileError> {
        let name = self.text("name")?;
        if name.is_empty() || name.contains(char::is_whitespace) {
            return Err(PlatformFileError::BadName(name.to_string()));
        }
        Ok(name.to_string())
    }
}

/// The configuration of a server without options.
pub fn read(text: &str, path: &Path) -> Result<Configuration, PlatformFileError> {
    let file = PlatformFile(serde_json::from_str(text).map_err(PlatformFileError::NotJson)?);
    let seed = file.text("seed")?;
    let name = file.name()?;
    let settings = file.at("settings");
    Ok(Configuration {
        path: path.to_path_buf(),
        name,
        listen: file.address("listen")?,
        addresses: Cell::new(Addresses {
            interpreter: file.address("vm")?,
            catalog: file.address("directory")?,
            records: file.address_if_given("records")?,
        }),
        seed: u64::from_str_radix(seed, 16).map_err(|_| PlatformFileError::BadSeed(seed.to_string()))?,
        stop_ms: file.whole("stop_ms")?,
        memory_mb: file.whole("limits.memory_mb")?,
        sockets: file.whole("limits.sockets")? as usize,
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
