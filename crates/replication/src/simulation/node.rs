//! A node of the simulated fleet. It consists of a member and of a disk, whose content survives restarts of
//! the member.

use crate::member::Member;
use crate::persistence::{self, PersistedState};
use crate::time::Nanos;

/// The file on a node's disk.
pub(super) enum Disk {
    /// A file that is not truncated. It is kept as the decoded state, not as bytes.
    Complete(PersistedState),
    /// The bytes of a truncated file.
    Truncated(Vec<u8>),
}

impl Disk {
    /// Decodes the content of the file; `None` if the file cannot be used.
    pub(super) fn read(&self) -> Option<PersistedState> {
        match self {
            Disk::Complete(state) => Some(state.clone()),
            Disk::Truncated(bytes) => persistence::decode(bytes).ok(),
        }
    }
}

/// One node of the fleet.
pub(super) struct Node {
    /// The member that the node runs; `None` if the node is not running.
    pub(super) member: Option<Member>,
    /// Number of times that the node has been started.
    pub(super) incarnation: u64,
    pub(super) disk: Option<Disk>,
    /// Whether the disk is full, so that all writes to it fail.
    pub(super) is_disk_full: bool,
    /// The node rejects revisions that contain a key with this prefix. This simulates a server of an older
    /// version that does not know an element of the configuration.
    pub(super) rejected_prefix: Option<String>,
    /// Number of the newest revision that the node has ever applied, including before restarts.
    pub(super) highest_applied: u64,
    /// The group of nodes that this node belongs to. The network can be partitioned between groups.
    pub(super) group: u32,
    /// Time at which [`Member::advance`] is scheduled to be called next; [`Nanos::MAX`] if no call is
    /// scheduled.
    pub(super) due: Nanos,
}

impl Node {
    /// Creates a node that has never been started and has an empty disk.
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

    /// Returns the state on the node's disk; `None` if the disk has no file that can be used.
    pub(super) fn read_disk(&self) -> Option<PersistedState> {
        self.disk.as_ref().and_then(Disk::read)
    }
}
