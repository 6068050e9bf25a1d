//! Identity of a server process.

use crate::NAME_MAX;
use serde::{Deserialize, Serialize};

/// One incarnation of a server, from the start of its process to its end.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerId {
    /// Name of the server in the fleet's membership, 1 to 64 bytes.
    pub name: String,
    /// Start time of the process, in nanoseconds since the Unix epoch.
    pub incarnation: u64,
}

/// Returns whether a name has a valid length, 1 to 64 bytes.
pub(crate) fn is_valid_name(name: &str) -> bool {
    (1..=NAME_MAX).contains(&name.len())
}
