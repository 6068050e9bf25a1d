//! Simulated network. It loses, duplicates, delays and reorders messages, and can be partitioned into groups
//! of servers.

use super::random::Random;
use crate::clock::Nanos;
use std::collections::HashSet;

/// Faults and delays of the simulated network.
#[derive(Clone, Copy, Debug, Default)]
pub struct NetworkFaults {
    /// Probability that a copy of a message is lost, from 0 to 1.
    pub loss: f64,
    /// Probability that a message is duplicated, from 0 to 1.
    pub duplicate: f64,
    /// Minimum delay of a message, in nanoseconds.
    pub delay: Nanos,
    /// Upper bound of the random time that is added to the delay of each message, in nanoseconds. A large
    /// value reorders messages.
    pub jitter: Nanos,
}

impl NetworkFaults {
    /// Returns the delays, in nanoseconds, with which the copies of one message are delivered. The list is
    /// empty if the message is lost.
    pub(super) fn delays(&self, random: &mut Random) -> Vec<Nanos> {
        let copies = if random.chance(self.duplicate) { 2 } else { 1 };
        let mut delays = Vec::new();
        for _ in 0..copies {
            if !random.chance(self.loss) {
                delays.push(self.delay + random.below(self.jitter));
            }
        }
        delays
    }
}

/// Pairs of network groups whose servers are disconnected from each other.
#[derive(Default)]
pub(super) struct Partitions {
    cut: HashSet<(u32, u32)>,
}

impl Partitions {
    /// Disconnects two network groups from each other, in both directions.
    pub fn cut(&mut self, group: u32, other: u32) {
        self.cut.extend([(group, other), (other, group)]);
    }

    /// Reconnects all network groups.
    pub fn heal(&mut self) {
        self.cut.clear();
    }

    pub fn are_connected(&self, from: u32, to: u32) -> bool {
        !self.cut.contains(&(from, to))
    }
}
