//! Configuration of a simulated fleet.

use crate::message::Location;
use crate::time::Nanos;

/// Start of simulated time, in Unix nanoseconds.
pub const START_NS: Nanos = 1_700_000_000_000_000_000;

/// Delay of messages between two nodes, in nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Delay {
    /// Minimum delay.
    pub least: Nanos,
    /// Upper bound of the random delay added to the minimum.
    pub jitter: Nanos,
}

/// The nodes of a simulated fleet, their network, and the timing of their environment.
#[derive(Clone)]
pub struct Layout {
    /// Number of nodes.
    pub size: usize,
    /// Number of control machines; they are the nodes with the lowest indices.
    pub replicas: usize,
    /// Region and zone of a node.
    pub location: fn(usize) -> Location,
    /// Delay of messages from one node to another.
    pub delay: fn(usize, usize) -> Delay,
    /// Share of messages lost, 0 to 1.
    pub loss: f64,
    /// Share of messages delivered twice, 0 to 1.
    pub duplicate: f64,
    /// Time from a crash, start or partition until the membership view and the holder of the leadership lease
    /// are updated accordingly, in nanoseconds.
    pub view_lag: Nanos,
    /// Time that a host takes to check and write a revision, in nanoseconds.
    pub apply_time: Nanos,
    /// [`crate::member::Settings::pull_period`] of all members.
    pub pull_period: Nanos,
}

/// Name of a node's member.
pub fn member_name(node: usize) -> String {
    format!("s{node}")
}
