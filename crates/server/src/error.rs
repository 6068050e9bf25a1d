//! Helpers for handling errors.

use std::error::Error;

/// A boxed error of any type. [`Error::source`] returns the cause of the error.
pub type BoxError = Box<dyn Error + Send + Sync>;

/// Formats an error and all its causes in one line.
pub fn with_causes(error: &dyn Error) -> String {
    let mut line = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        line += &format!(": {error}");
        cause = error.source();
    }
    line
}
