//! Reads the last good revision of replicated configuration from disk.

use meadowstream_replication::persistence;
use meadowstream_replication::persistence::{DecodeError, PersistedState};
use std::io::ErrorKind;
use std::path::{Path, PathBuf};

/// Reason why the file with the last good revision cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum PersistedRevisionError {
    /// The file with the last good revision exists but cannot be read.
    #[error(transparent)]
    Read(#[from] std::io::Error),
    /// The content of the file with the last good revision is not a valid revision of replicated
    /// configuration.
    #[error("{path}: {error}")]
    Decode {
        /// Path of the file.
        path: PathBuf,
        /// Cause of the failure.
        error: DecodeError,
    },
}

/// Reads the last good revision of replicated configuration from the file at `path`. Returns `Ok(None)` if
/// the file does not exist.
pub fn read(path: &Path) -> Result<Option<PersistedState>, PersistedRevisionError> {
    let bytes = match std::fs::read(path) {
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
        bytes => bytes?,
    };
    let decoded = persistence::decode(&bytes);
    decoded.map(Some).map_err(|error| PersistedRevisionError::Decode { path: path.to_path_buf(), error })
}
