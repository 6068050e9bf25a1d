//! The last good revision of replicated configuration, as it stands on the server's disk.

use meadowstream_replication::persistence;
use meadowstream_replication::persistence::{DecodeError, PersistedState};
use std::io::ErrorKind;
use std::path::{Path, PathBuf};

/// Why the file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum PersistedRevisionError {
    /// It is there and cannot be read.
    #[error(transparent)]
    Read(#[from] std::io::Error),
    /// It holds no revision.
    #[error("{path}: {error}")]
    Decode {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        error: DecodeError,
    },
}

/// Reads the file; `Ok(None)` where there is none.
pub fn read(path: &Path) -> Result<Option<PersistedState>, PersistedRevisionError> {
    let bytes = match std::fs::read(path) {
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
        bytes => bytes?,
    };
    let decoded = persistence::decode(&bytes);
    decoded.map(Some).map_err(|error| PersistedRevisionError::Decode { path: path.to_path_buf(), error })
}
