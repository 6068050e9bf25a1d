//! Errors of reading settings.

use thiserror::Error;

/// Error of reading settings, with the path and the value.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum SettingsError {
    /// A line does not have the form `path=value`.
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
    /// The value cannot be parsed as the type of its path.
    #[error("setting {path}: cannot read {value:?}")]
    Unreadable {
        /// Path of the value.
        path: String,
        /// The value as written.
        value: String,
    },
    /// The value has the type of its path, but is out of range.
    #[error("setting {path}: {value} is out of range")]
    OutOfRange {
        /// Path of the value.
        path: String,
        /// The parsed value.
        value: String,
    },
    /// The value is not one of the choices of its path.
    #[error("setting {path}: unknown choice {value:?}")]
    UnknownChoice {
        /// Path of the value.
        path: String,
        /// The value as written.
        value: String,
    },
    /// The deployment has no operation.
    #[error("setting grades.count: no operation")]
    NoOperation,
}
