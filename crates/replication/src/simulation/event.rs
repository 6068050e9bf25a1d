//! What happens in a simulated fleet.

use crate::snapshot::Snapshot;

/// Something that happens at a time. `incarnation` is that of the node when it was scheduled.
pub(super) enum Event {
    /// A message arrives.
    Message { to: usize, from: usize, body: Vec<u8> },
    /// A member is to be advanced.
    Due { node: usize, incarnation: u64 },
    /// A server has checked and written a revision.
    Applied { node: usize, incarnation: u64, snapshot: Box<Snapshot> },
    /// The fleet's view and the lease follow what has happened.
    View,
}
