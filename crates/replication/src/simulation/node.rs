//! A node of the simulated fleet: its member, and a disk that survives restarts of the member.

use crate::member::Member;
use crate::persistence::{self, PersistedState};
use crate::time::Nanos;

/// The file on a node's disk.
pub(super) enum Disk {
    /// A complete file, kept in decoded form.
    Complete(PersistedState),
    /// The bytes of a truncated file.
    Truncated(Vec<u8>),
}

impl Disk {
    /// Decodes the file; `None` if it cannot be used.
    pub(super) fn read(&self) -> Option<PersistedState> {
        match self {
            Disk::Complete(state) => Some(state.clone()),
            Disk::Truncated(bytes) => persistence::decode(bytes).ok(),
        }
    }
}

/// One node of the fleet.
pub(super) struct Node {
    /// The node's member; `None` if the node is not running.
    pub(super) member: Option<Member>,
    /// Number of times that the node was started.
    pub(super) incarnation: u64,
    pub(super) disk: Option<Disk>,
    /// Whether writes to the disk fail.
    pub(super) is_disk_full: bool,
    /// Revisions that contain a key with this prefix are rejected, as by a server that does not know a
    /// configuration element.
    pub(super) rejected_prefix: Option<String>,
    /// Number of the newest revision ever applied, in any incarnation.
    pub(super) highest_applied: u64,
    /// Group of the node; the network can be partitioned between groups.
    pub(super) group: u32,
    /// Scheduled time of the next call of [`Member::advance`]; [`Nanos::MAX`] if none is scheduled.
    pub(super) due: Nanos,
}

impl Node {
    /// Creates a node that was never started.
    pub(super) fn new() -> Node {
        Node {
            member: None,
            incarnation: 0,
            disk: None,
            is_disk_full: false,
            rejected_prefix: None,
            highest_applied: 0,
            group: 0,
            due: Nanos::MAX,
        }
    }

    /// Reads the state on the node's disk; `None` if there is no usable file.
    pub(super) fn read_disk(&self) -> Option<PersistedState> {
        self.disk.as_ref().and_then(Disk::read)
    }
}
