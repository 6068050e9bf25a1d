//! A change of one key of the configuration, and its bounds.

use serde::{Deserialize, Serialize};

/// Longest key, in bytes.
pub const KEY_BYTES_MAX: usize = 128;
/// Longest value, in bytes.
pub const VALUE_BYTES_MAX: usize = 512;

/// One key set, or removed where the value is absent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The key, 1 to [`KEY_BYTES_MAX`] bytes.
    pub key: String,
    /// The new value, at most [`VALUE_BYTES_MAX`] bytes; `None` removes the key.
    pub value: Option<String>,
}

/// A change whose key or value is out of bounds.
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
        /// The key whose value it is.
        key: String,
        /// Length of the value, in bytes.
        bytes: usize,
    },
}

impl Change {
    /// Sets a key to a value.
    pub fn set(key: &str, value: &str) -> Change {
        Change { key: key.to_string(), value: Some(value.to_string()) }
    }

    /// Removes a key.
    pub fn remove(key: &str) -> Change {
        Change { key: key.to_string(), value: None }
    }

    /// Checks the lengths of key and value.
    ///
    /// # Errors
    /// Where one of them is out of bounds.
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
