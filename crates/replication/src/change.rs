//! Changes to single keys of the configuration, and the maximum lengths of keys and values.

use serde::{Deserialize, Serialize};

/// Longest key, in bytes.
pub const KEY_BYTES_MAX: usize = 128;
/// Longest value, in bytes.
pub const VALUE_BYTES_MAX: usize = 512;

/// A change to one key of the configuration. It sets the key to a value or removes the key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The key to change, with a length of 1 to [`KEY_BYTES_MAX`] bytes.
    pub key: String,
    /// The new value, with a length of at most [`VALUE_BYTES_MAX`] bytes. `None` removes the key.
    pub value: Option<String>,
}

/// Reason why a change is invalid: the length of its key or of its value is not allowed.
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
    /// Returns an error if the length of the key or of the value is not allowed.
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
