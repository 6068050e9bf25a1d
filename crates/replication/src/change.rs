//! A change to one key of the configuration, with its length limits.

use serde::{Deserialize, Serialize};

/// Longest key, in bytes.
pub const KEY_BYTES_MAX: usize = 128;
/// Longest value, in bytes.
pub const VALUE_BYTES_MAX: usize = 512;

/// A change to one key: sets it to a value, or removes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The key, of 1 to [`KEY_BYTES_MAX`] bytes.
    pub key: String,
    /// The new value, of at most [`VALUE_BYTES_MAX`] bytes; `None` removes the key.
    pub value: Option<String>,
}

/// Reason why a change is invalid: its key or value is out of bounds.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// The key is empty or too long.
    #[error("a key of 1 to {KEY_BYTES_MAX} bytes, not {bytes}")]
    KeyLength {
        /// Length of the key, in bytes.
        bytes: usize,
    },
    /// The value is too long.
    #[error("{key:?}: a value of {VALUE_BYTES_MAX} bytes at most, not {bytes}")]
    ValueLength {
        /// The key whose value is too long.
        key: String,
        /// Length of the value, in bytes.
        bytes: usize,
    },
}

impl Change {
    /// Creates a change that sets a key to a value.
    pub fn set(key: &str, value: &str) -> Change {
        Change { key: key.to_string(), value: Some(value.to_string()) }
    }

    /// Creates a change that removes a key.
    pub fn remove(key: &str) -> Change {
        Change { key: key.to_string(), value: None }
    }

    /// Checks the lengths of the key and the value.
    ///
    /// # Errors
    /// If either length is out of bounds.
    pub fn check(&self) -> Result<(), ChangeError> {
        if self.key.is_empty() || self.key.len() > KEY_BYTES_MAX {
            return Err(ChangeError::KeyLength { bytes: self.key.len() });
        }
        let bytes = self.value.as_ref().map_or(0, String::len);
        if bytes > VALUE_BYTES_MAX {
            return Err(ChangeError::ValueLength { key: self.key.clone(), bytes });
        }
        Ok(())
    }
}
