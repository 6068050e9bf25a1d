//! The identity of a member.

use foca::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Longest name of a member, in bytes.
pub const NAME_BYTES_MAX: usize = 64;

/// Identity of a member. Two identities with the same address are the same member, and the higher incarnation
/// wins. A server that restarts under its old name and address therefore replaces its earlier incarnation in
/// another member's view as soon as that member learns of the new one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberId {
    /// Name of the server, of 1 to [`NAME_BYTES_MAX`] bytes; empty for a seed of which only the address is
    /// known.
    pub name: String,
    /// Address to which datagrams for the member are sent.
    pub addr: SocketAddr,
    /// Identifies one start of the process: the start time in nanoseconds since the Unix epoch. Incremented
    /// by one when the fleet has declared this identity down although the process is running.
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
