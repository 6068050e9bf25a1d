//! Settings of a member, and their bounds.

use crate::message::{BODY_BYTES_MAX, Location};
use crate::time::{MILLISECOND_NS, Nanos};
use std::collections::BTreeSet;

/// Most control machines that keep the log.
const REPLICAS_MAX: usize = 9;
const PULL_PERIOD_MIN_MS: u64 = 10;
const BYTES_PER_SECOND_MIN: u64 = 2 * BODY_BYTES_MAX as u64;

/// Settings of a member.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The member's region and zone.
    pub location: Location,
    /// Names of the control machines that keep the log: 1, 3, 5, 7 or 9.
    pub replicas: Vec<String>,
    /// Mean time between two pulls, in nanoseconds; each is up to a quarter longer or shorter.
    pub pull_period: Nanos,
    /// Most bytes that a server sends in a second.
    pub bytes_per_second: u64,
}

/// A setting that is out of bounds. The text names it as the options file does.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// An even number of replicas, too many, or two of one name.
    #[error("replica: 1, 3, 5, 7 or 9 different names, not {names}")]
    Replicas {
        /// Number of names given.
        names: usize,
    },
    /// Pulls that would follow each other too fast.
    #[error("pull-ms: {PULL_PERIOD_MIN_MS} at least")]
    PullPeriod,
    /// Less than two messages a second.
    #[error("bytes-a-second: {BYTES_PER_SECOND_MIN} at least")]
    BytesPerSecond,
}

impl Settings {
    /// Settings with a pull every 500 ms and 12,000 bytes a second.
    pub fn new(location: Location, replicas: Vec<String>) -> Settings {
        Settings { location, replicas, pull_period: 500 * MILLISECOND_NS, bytes_per_second: 12_000 }
    }

    /// Checks all bounds.
    ///
    /// # Errors
    /// For the first setting that is out of bounds.
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
