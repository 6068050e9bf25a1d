//! The identity of a member.

use foca::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Maximum length of a member's name, in bytes.
pub const NAME_BYTES_MAX: usize = 64;

/// Identity of a member: its name, address and incarnation. Two identities with the same address stand for
/// the same member, and the one with the higher incarnation replaces the other. For example, a server that
/// restarts under its old name and address has a higher incarnation. Every other member replaces the earlier
/// incarnation as soon as it learns of the new one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberId {
    /// Name of the server, with a length of 1 to [`NAME_BYTES_MAX`] bytes. The name of a seed is empty as
    /// long as only its address is known.
    pub name: String,
    /// Address to which datagrams for the member are sent.
    pub addr: SocketAddr,
    /// Incarnation of the member: the start time of its process, in nanoseconds since the Unix epoch.
    /// Incremented by one when the fleet has declared the member down although its process is running.
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
