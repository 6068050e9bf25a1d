//! Identity of a server incarnation, that is, of one run of a server process.

use crate::NAME_MAX;
use serde::{Deserialize, Serialize};

/// Identity of one incarnation of a server. An incarnation lasts from the start of the server's process to
/// the end of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerId {
    /// Name of the server in the membership of the fleet. The length is 1 to 64 bytes.
    pub name: String,
    /// Start time of the server's process, in nanoseconds since the Unix epoch.
    pub incarnation: u64,
}

/// Returns whether the length of a name is valid, that is, 1 to 64 bytes.
pub(crate) fn is_valid_name(name: &str) -> bool {
    (1..=NAME_MAX).contains(&name.len())
}
