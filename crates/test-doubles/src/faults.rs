//! Settings for the network faults that the relays inject.

use std::collections::{HashMap, HashSet};

/// Faults that a relay injects into the traffic of a fleet. Shares are numbers from 0 to 1.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Share of datagrams that are lost at random.
    pub loss: f64,
    /// Delay of all traffic, in milliseconds.
    pub delay_ms: u64,
    /// Maximum of the additional random delay, in milliseconds. The random delay is distributed uniformly
    /// from 0 to this value.
    pub jitter_ms: u64,
    /// Share of datagrams that are delivered twice.
    pub duplicate: f64,
    /// Share of datagrams that are delayed by an additional [`Self::reorder_ms`]. Later datagrams may
    /// overtake a datagram that is delayed in this way.
    pub reorder: f64,
    /// Additional delay of the datagrams selected by [`Self::reorder`], in milliseconds.
    pub reorder_ms: u64,
    /// Network partition group of each member, by the member's index. A member without an entry is in group
    /// 0.
    pub groups: HashMap<usize, u32>,
    /// Pairs `(sender's group, receiver's group)`. Traffic from the sender's group to the receiver's group is
    /// cut. During a cut, the UDP relay drops datagrams. The TCP relay holds back bytes until the cut ends.
    pub cuts: HashSet<(u32, u32)>,
}

impl Faults {
    /// Cuts the traffic between the groups `a` and `b` in both directions.
    pub fn partition(&mut self, a: u32, b: u32) {
        self.cuts.insert((a, b));
        self.cuts.insert((b, a));
    }

    /// Ends all cuts.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    pub(crate) fn group(&self, index: usize) -> u32 {
        self.groups.get(&index).copied().unwrap_or(0)
    }

    /// Returns whether traffic from the group `from` to the group `to` is cut.
    pub(crate) fn is_cut(&self, from: u32, to: u32) -> bool {
        self.cuts.contains(&(from, to))
    }
}
