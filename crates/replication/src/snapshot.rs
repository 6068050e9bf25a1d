//! Snapshots of the configuration. A snapshot is the complete content of the configuration at one revision.

use crate::revision::Revision;
use crate::state::State;
use serde::{Deserialize, Serialize};

/// The complete content of the configuration at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The revision of the snapshot: the position in the log, and the hash of the content.
    pub revision: Revision,
    /// The content.
    pub state: State,
}

impl Snapshot {
    /// Number of the revision.
    pub fn number(&self) -> u64 {
        self.revision.number()
    }
}
