//! A network that loses, duplicates, delays and reorders messages, and that can be partitioned.

use super::random::Random;
use crate::clock::Nanos;
use std::collections::HashSet;

/// How the network treats messages.
#[derive(Clone, Copy, Debug, Default)]
pub struct NetworkFaults {
    /// Share of messages lost, 0 to 1.
    pub loss: f64,
    /// Share of messages that arrive twice, 0 to 1.
    pub duplicate: f64,
    /// Least delay, in nanoseconds.
    pub delay: Nanos,
    /// Most that is added to the delay at random, in nanoseconds; enough of it reorders messages.
    pub jitter: Nanos,
}

impl NetworkFaults {
    /// Delays of the copies of one message that arrive.
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

/// Which groups of servers do not reach each other.
#[derive(Default)]
pub(super) struct Partitions {
    cut: HashSet<(u32, u32)>,
}

impl Partitions {
    /// Cuts two groups apart.
    pub fn cut(&mut self, group: u32, other: u32) {
        self.cut.extend([(group, other), (other, group)]);
    }

    /// Joins all groups.
    pub fn heal(&mut self) {
        self.cut.clear();
    }

    pub fn are_connected(&self, from: u32, to: u32) -> bool {
        !self.cut.contains(&(from, to))
    }
}
