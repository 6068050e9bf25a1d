//! The complete content of one revision.

use crate::revision::Revision;
use crate::state::State;
use serde::{Deserialize, Serialize};

/// The content of the configuration at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Position in the log, and hash of the content.
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
