//! The identity of a member.

use foca::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Longest name of a member, in bytes.
pub const NAME_BYTES_MAX: usize = 64;

/// Identity of a member. Two identities at one address are one member, of which the higher incarnation wins:
/// a server restarted under its old name and address replaces its earlier incarnation as soon as it is heard
/// of.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberId {
    /// Name of the server, 1 to [`NAME_BYTES_MAX`] bytes; empty where only the address of a seed is known.
    pub name: String,
    /// Address that its datagrams go to.
    pub addr: SocketAddr,
    /// One start of the process: its start time in nanoseconds since the epoch. It is raised by one when the
    /// fleet has declared this identity down while the process lived.
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
