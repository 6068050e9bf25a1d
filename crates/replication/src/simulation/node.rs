//! One node: its member while it runs, and the disk that outlives it.

use crate::member::Member;
use crate::persistence::{self, PersistedState};
use crate::time::Nanos;

/// What is on a disk.
pub(super) enum Disk {
    /// A complete file, kept decoded.
    Complete(PersistedState),
    /// The bytes of a file that was cut.
    Truncated(Vec<u8>),
}

impl Disk {
    /// `None` where the file cannot be used.
    pub(super) fn read(&self) -> Option<PersistedState> {
        match self {
            Disk::Complete(state) => Some(state.clone()),
            Disk::Truncated(bytes) => persistence::decode(bytes).ok(),
        }
    }
}

/// One node of the fleet.
pub(super) struct Node {
    /// `None` while it does not run.
    pub(super) member: Option<Member>,
    /// Number of its starts.
    pub(super) incarnation: u64,
    pub(super) disk: Option<Disk>,
    /// Nothing can be written.
    pub(super) is_disk_full: bool,
    /// Revisions with a key that begins so are rejected, as by a server that does not know an element.
    pub(super) rejected_prefix: Option<String>,
    /// The last revision ever applied, over all incarnations.
    pub(super) highest_applied: u64,
    /// The side of a cut that it is on.
    pub(super) group: u32,
    /// When it is next advanced, as scheduled; [`Nanos::MAX`] where it is not.
    pub(super) due: Nanos,
}

impl Node {
    /// A node that was never started.
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

    /// The usable content of its disk.
    pub(super) fn read_disk(&self) -> Option<PersistedState> {
        self.disk.as_ref().and_then(Disk::read)
    }
}
