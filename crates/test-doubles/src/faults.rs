//! Network faults that the relays inject.

use std::collections::{HashMap, HashSet};

/// What is done to traffic; shares from 0 to 1, times in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Share of datagrams lost.
    pub loss: f64,
    /// Delay of all traffic.
    pub delay_ms: u64,
    /// Further delay, drawn evenly from 0 to this.
    pub jitter_ms: u64,
    /// Share of datagrams delivered twice.
    pub duplicate: f64,
    /// Share of datagrams delayed by a further `reorder_ms`, so that later ones overtake them.
    pub reorder: f64,
    /// That delay.
    pub reorder_ms: u64,
    /// Group of each member by index; members not named are in group 0.
    pub groups: HashMap<usize, u32>,
    /// Traffic from the first group to the second is lost, or held up on a stream.
    pub cuts: HashSet<(u32, u32)>,
}

impl Faults {
    /// Cuts two groups off from each other, both ways.
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

    /// Whether traffic from one group to another is cut.
    pub(crate) fn is_cut(&self, from: u32, to: u32) -> bool {
        self.cuts.contains(&(from, to))
    }
}
