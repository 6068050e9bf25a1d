//! Reads the secret key that all members of a fleet share.

use std::io::Error;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

/// Minimum length of the fleet's secret key, in bytes.
const KEY_MIN_BYTES: usize = 16;
/// Maximum size, in bytes, of the file that contains the fleet's secret key.
const KEY_FILE_MAX_BYTES: usize = 1024;

/// Reason why the file that contains the fleet's secret key cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum KeyFileError {
    /// The file cannot be read.
    #[error("<membership>: key-file: cannot read {path}")]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Cause of the failure.
        #[source]
        error: Error,
    },
    /// Users other than the owner can access the file with the fleet's secret key, so the key is not secret.
    #[error("<membership>: key-file: {path} has mode {mode:o}; others may read it")]
    OthersMayRead {
        /// Path of the file.
        path: PathBuf,
        /// Permission bits of the file.
        mode: u32,
    },
    /// The file with the fleet's secret key is larger than [`KEY_FILE_MAX_BYTES`].
    #[error("<membership>: key-file: {0} has more than {KEY_FILE_MAX_BYTES} bytes")]
    TooLong(PathBuf),
    /// The fleet's secret key is shorter than [`KEY_MIN_BYTES`].
    #[error("<membership>: key-file: the key in {0} has fewer than {KEY_MIN_BYTES} bytes")]
    TooShort(PathBuf),
}

/// Reads the fleet's secret key from the file at `path`. Returns an error if users other than the owner can
/// access the file.
pub fn read(path: &Path) -> Result<Vec<u8>, KeyFileError> {
    let unreadable = |error| KeyFileError::Read { path: path.to_path_buf(), error };
    let metadata = std::fs::metadata(path).map_err(unreadable)?;
    let mode = metadata.permissions().mode() & 0o777;
    if mode & 0o077 != 0 {
        return Err(KeyFileError::OthersMayRead { path: path.to_path_buf(), mode });
    }
    if metadata.len() > KEY_FILE_MAX_BYTES as u64 {
        return Err(KeyFileError::TooLong(path.to_path_buf()));
    }
    let key = std::fs::read(path).map_err(unreadable)?;
    let key = key.trim_ascii();
    if key.len() < KEY_MIN_BYTES {
        return Err(KeyFileError::TooShort(path.to_path_buf()));
    }
    Ok(key.to_vec())
}
