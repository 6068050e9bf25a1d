//! Why settings cannot be read.

use thiserror::Error;

/// Why settings cannot be read; each names the path and the value.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum SettingsError {
    /// A line is no pair of path and value.
    #[error("setting {line:?} has no '='")]
    NoSeparator {
        /// The line.
        line: String,
    },
    /// A required path is not there.
    #[error("setting {path} is missing")]
    Missing {
        /// The path.
        path: String,
    },
    /// The value is not of the path's type.
    #[error("setting {path}: cannot read {value:?}")]
    Unreadable {
        /// The path.
        path: String,
        /// The value as it stands there.
        value: String,
    },
    /// The value is of the path's type, but outside its range.
    #[error("setting {path}: {value} is out of range")]
    OutOfRange {
        /// The path.
        path: String,
        /// The value as it was understood.
        value: String,
    },
    /// The value is none of the path's words.
    #[error("setting {path}: unknown choice {value:?}")]
    UnknownChoice {
        /// The path.
        path: String,
        /// The value as it stands there.
        value: String,
    },
    /// The deployment has no operation.
    #[error("setting grades.count: no operation")]
    NoOperation,
}
