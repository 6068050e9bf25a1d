//! Events of a simulated fleet.

use crate::snapshot::Snapshot;

/// An event scheduled in the simulation. `incarnation` is the incarnation that the node had at the time of
/// scheduling. An event from before a restart of the node is ignored.
pub(super) enum Event {
    /// A message from the node `from` is delivered to the node `to`.
    Message { to: usize, from: usize, body: Vec<u8> },
    /// [`Member::advance`](crate::member::Member::advance) is due for a node.
    Due { node: usize, incarnation: u64 },
    /// A node's host has finished checking a revision, and now writes and applies it.
    Applied { node: usize, incarnation: u64, snapshot: Box<Snapshot> },
    /// The membership view and the leadership lease are updated to reflect which nodes are running and
    /// reachable.
    View,
}
