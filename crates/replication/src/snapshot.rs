//! The whole content of one revision.

use crate::revision::Revision;
use crate::state::State;
use serde::{Deserialize, Serialize};

/// The content of one revision, at the end of a complete change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Position and hash of the content.
    pub revision: Revision,
    /// The content.
    pub state: State,
}

impl Snapshot {
    /// The number of its revision.
    pub fn number(&self) -> u64 {
        self.revision.number()
    }
}
