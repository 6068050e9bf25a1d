//! What all errors have in common.

use std::error::Error;

/// An error of another crate, whose chain of causes is kept.
pub type BoxError = Box<dyn Error + Send + Sync>;

/// An error with its causes, in one line.
pub fn with_causes(error: &dyn Error) -> String {
    let mut line = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        line += &format!(": {error}");
        cause = error.source();
    }
    line
}
