//! Events of a simulated fleet.

use crate::snapshot::Snapshot;

/// A scheduled event. `incarnation` is the node's incarnation at the time of scheduling, so that an event
/// from before a restart of the node can be ignored.
pub(super) enum Event {
    /// A message is delivered to the node `to`.
    Message { to: usize, from: usize, body: Vec<u8> },
    /// A node's member is to be advanced.
    Due { node: usize, incarnation: u64 },
    /// A node's host has checked a revision and is ready to write and apply it.
    Applied { node: usize, incarnation: u64, snapshot: Box<Snapshot> },
    /// The membership view and the lease are updated to the current state of the nodes.
    View,
}
