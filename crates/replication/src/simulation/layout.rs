//! How a simulated fleet is laid out.

use crate::message::Location;
use crate::time::Nanos;

/// Simulated time begins here, in Unix nanoseconds.
pub const START_NS: Nanos = 1_700_000_000_000_000_000;

/// Delay of messages between two nodes, in nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Delay {
    /// Of every message.
    pub least: Nanos,
    /// Added at random up to this.
    pub jitter: Nanos,
}

/// The nodes, their network, and what surrounds the members.
#[derive(Clone)]
pub struct Layout {
    /// Number of nodes.
    pub size: usize,
    /// How many of them, the first, are control machines.
    pub replicas: usize,
    /// Region and zone of a node.
    pub location: fn(usize) -> Location,
    /// Delay from one node to another.
    pub delay: fn(usize, usize) -> Delay,
    /// Share of messages lost, 0 to 1.
    pub loss: f64,
    /// Share of messages delivered twice, 0 to 1.
    pub duplicate: f64,
    /// After so long the fleet's view and the lease follow what has happened, in nanoseconds.
    pub view_lag: Nanos,
    /// How long a server takes to check a revision and write it, in nanoseconds.
    pub apply_time: Nanos,
    /// [`crate::member::Settings::pull_period`] of all members.
    pub pull_period: Nanos,
}

/// The name of a node's member.
pub fn member_name(node: usize) -> String {
    format!("s{node}")
}
