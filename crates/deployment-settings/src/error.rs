//! Errors of reading settings.

use thiserror::Error;

/// Error that occurs while the platform's settings are read. An error about one setting contains its path,
/// and also its value if the setting has a value.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum SettingsError {
    /// A line of the settings does not have the form `path=value`.
    #[error("setting {line:?} has no '='")]
    NoSeparator {
        /// The whole line.
        line: String,
    },
    /// A required path is missing.
    #[error("setting {path} is missing")]
    Missing {
        /// The missing path.
        path: String,
    },
    /// The value cannot be parsed as the type of the setting.
    #[error("setting {path}: cannot read {value:?}")]
    Unreadable {
        /// Path of the value.
        path: String,
        /// The value as written.
        value: String,
    },
    /// The value can be parsed, but it is outside the range of the setting.
    #[error("setting {path}: {value} is out of range")]
    OutOfRange {
        /// Path of the value.
        path: String,
        /// The parsed value.
        value: String,
    },
    /// The value is not one of the words that the setting accepts.
    #[error("setting {path}: unknown choice {value:?}")]
    UnknownChoice {
        /// Path of the value.
        path: String,
        /// The value as written.
        value: String,
    },
    /// The settings define no operation.
    #[error("setting grades.count: no operation")]
    NoOperation,
}
