//! Settings of one member for the replication of the configuration, with the allowed ranges.

use crate::message::{BODY_BYTES_MAX, Location};
use crate::time::{MILLISECOND_NS, Nanos};
use std::collections::BTreeSet;

/// Maximum number of control machines that keep the replicated log.
const REPLICAS_MAX: usize = 9;
const PULL_PERIOD_MIN_MS: u64 = 10;
const BYTES_PER_SECOND_MIN: u64 = 2 * BODY_BYTES_MAX as u64;

/// Settings of a member.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The member's region and zone.
    pub location: Location,
    /// Names of the control machines, which keep the replicated log. The number of names must be 1, 3, 5, 7
    /// or 9.
    pub replicas: Vec<String>,
    /// Mean time between two pulls (requests for missing entries), in nanoseconds. The actual time is random
    /// and up to a quarter shorter or longer.
    pub pull_period: Nanos,
    /// Maximum number of bytes that a server sends per second for replication. A control machine may send
    /// more.
    pub bytes_per_second: u64,
}

/// Reason why a setting is invalid. The message uses the name that the setting has in the options file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The list of control machines (replicas) is invalid: their number is even or too large, or two names
    /// are the same.
    #[error("replica: 1, 3, 5, 7 or 9 different names, not {names}")]
    Replicas {
        /// Number of configured names.
        names: usize,
    },
    /// The pull period is too short.
    #[error("pull-ms: {PULL_PERIOD_MIN_MS} at least")]
    PullPeriod,
    /// The limit on bytes per second is too low: it must allow two messages of maximum size per second.
    #[error("bytes-a-second: {BYTES_PER_SECOND_MIN} at least")]
    BytesPerSecond,
}

impl Settings {
    /// Creates settings with the defaults: a pull every 500 ms and 12,000 bytes per second.
    pub fn new(location: Location, replicas: Vec<String>) -> Settings {
        Settings { location, replicas, pull_period: 500 * MILLISECOND_NS, bytes_per_second: 12_000 }
    }

    /// Checks that all settings are within their allowed ranges.
    ///
    /// # Errors
    /// Returns the error for the first invalid setting.
    pub fn check(&self) -> Result<(), SettingsError> {
        let names = self.replicas.len();
        let distinct: BTreeSet<&String> = self.replicas.iter().collect();
        if names.is_multiple_of(2) || names > REPLICAS_MAX || distinct.len() != names {
            return Err(SettingsError::Replicas { names });
        }
        if self.pull_period < PULL_PERIOD_MIN_MS * MILLISECOND_NS {
            return Err(SettingsError::PullPeriod);
        }
        if self.bytes_per_second < BYTES_PER_SECOND_MIN {
            return Err(SettingsError::BytesPerSecond);
        }
        Ok(())
    }
}
