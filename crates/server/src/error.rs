//! Errors of other crates.

/// An error of another crate, whose chain of causes is kept.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;
