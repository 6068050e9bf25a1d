//! Why a configuration cannot be used.

use crate::configuration::candidate::CandidateError;
use crate::configuration::defaults::MismatchError;
use crate::configuration::fleet::FleetError;
use crate::configuration::platform_file::PlatformFileError;
use crate::error::BoxError;
use std::path::PathBuf;

/// Why a configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The platform's file cannot be read.
    #[error("cannot read {path}")]
    Read {
        /// The file.
        path: PathBuf,
        /// Why not.
        #[source]
        error: std::io::Error,
    },
    /// The platform's file is wrong.
    #[error(transparent)]
    PlatformFile(#[from] PlatformFileError),
    /// The options file is wrong.
    #[error(transparent)]
    Options(BoxError),
    /// The settings of a rollout are wrong.
    #[error(transparent)]
    Candidate(#[from] CandidateError),
    /// The options file could not be read a second time.
    #[error(transparent)]
    Hash(#[from] std::io::Error),
    /// The replicated configuration does not fit over the options.
    #[error("replicated configuration")]
    Replicated(#[source] BoxError),
    /// The options make no member of a fleet.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// A tier is described and nothing is called.
    #[error("<tier>: the configuration names no records to call")]
    TierWithoutRecords,
    /// Settings and options do not fit together.
    #[error(transparent)]
    Mismatch(#[from] MismatchError),
}
