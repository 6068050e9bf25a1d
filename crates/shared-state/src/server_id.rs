//! Identity of a server.

use crate::NAME_MAX;
use serde::{Deserialize, Serialize};

/// One incarnation of a server: the time from one start of its process to its end.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerId {
    /// Name of the server in the fleet's view, 1 to 64 bytes.
    pub name: String,
    /// Start of the process, in nanoseconds since the epoch.
    pub incarnation: u64,
}

/// Whether a name has a length that is allowed, 1 to 64 bytes.
pub(crate) fn is_valid_name(name: &str) -> bool {
    (1..=NAME_MAX).contains(&name.len())
}
