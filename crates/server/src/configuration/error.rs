//! Errors that can occur when a configuration is loaded.

use crate::configuration::candidate::CandidateError;
use crate::configuration::defaults::MismatchError;
use crate::configuration::fleet::FleetError;
use crate::configuration::platform_file::PlatformFileError;
use crate::error::BoxError;
use std::path::PathBuf;

/// Reason why a configuration cannot be loaded or used.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The platform's file cannot be read.
    #[error("cannot read {path}")]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Cause of the failure.
        #[source]
        error: std::io::Error,
    },
    /// The content of the platform's file is invalid.
    #[error(transparent)]
    PlatformFile(#[from] PlatformFileError),
    /// The options file cannot be read or is invalid.
    #[error(transparent)]
    Options(BoxError),
    /// The candidate settings of a rollout are invalid.
    #[error(transparent)]
    Candidate(#[from] CandidateError),
    /// The options file was read once, but could not be read again to compute its hash.
    #[error(transparent)]
    Hash(#[from] std::io::Error),
    /// The replicated configuration cannot be merged into the options.
    #[error("replicated configuration")]
    Replicated(#[source] BoxError),
    /// The fleet settings in the options are invalid.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// The options file describes a tier, but the platform's file contains no address of a downstream
    /// service.
    #[error("<tier>: the configuration names no records to call")]
    TierWithoutRecords,
    /// The deployment's settings and the options file contradict each other.
    #[error(transparent)]
    Mismatch(#[from] MismatchError),
}
