//! Parameters of a simulated fleet: its nodes, the network and delays.

use crate::message::Location;
use crate::time::Nanos;

/// Simulated time at the start of a run, in Unix nanoseconds.
pub const START_NS: Nanos = 1_700_000_000_000_000_000;

/// Delay of a message from one node to another, in nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Delay {
    /// Minimum delay, in nanoseconds.
    pub least: Nanos,
    /// Upper bound of the random delay, in nanoseconds. The random delay is added to the minimum delay.
    pub jitter: Nanos,
}

/// Parameters of a simulated fleet: its nodes, the network between them, and the times that hosts and the
/// membership view take to react.
#[derive(Clone)]
pub struct Layout {
    /// Number of nodes.
    pub size: usize,
    /// Number of control machines. The nodes with the lowest indices are control machines.
    pub replicas: usize,
    /// Function that returns the region and zone of a node.
    pub location: fn(usize) -> Location,
    /// Function that returns the delay of messages from one node (first argument) to another (second
    /// argument).
    pub delay: fn(usize, usize) -> Delay,
    /// Probability that a message is lost, 0 to 1.
    pub loss: f64,
    /// Probability that a message is delivered twice, 0 to 1.
    pub duplicate: f64,
    /// Delay between a crash, start or partition and the resulting update of the membership view and of the
    /// leadership lease, in nanoseconds.
    pub view_lag: Nanos,
    /// Time that a host takes to check and write a revision, in nanoseconds.
    pub apply_time: Nanos,
    /// Mean time between two pulls (requests for missing entries) of each member, in nanoseconds. See
    /// [`crate::member::Settings::pull_period`].
    pub pull_period: Nanos,
}

/// Name of a node's member.
pub fn member_name(node: usize) -> String {
    format!("s{node}")
}
