//! Who a member is.

use foca::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Longest name of a member, in bytes.
pub const NAME_BYTES_MAX: usize = 64;

/// Who a member is. Two identities at one address are one member: the higher incarnation wins, so a server
/// restarted under its old name and address replaces its old self as soon as it is heard.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberId {
    pub name: String,
    pub addr: SocketAddr,
    /// Raised at each start of the process (the server takes its start time in nanoseconds since the epoch),
    /// and by one where the fleet had declared this identity down while it lived.
    pub incarnation: u64,
}

impl Identity for MemberId {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Self> {
        Some(MemberId { incarnation: self.incarnation.wrapping_add(1), ..self.clone() })
    }

    fn addr(&self) -> SocketAddr {
        self.addr
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.incarnation > adversary.incarnation
    }
}
