//! Network faults that the relays inject.

use std::collections::{HashMap, HashSet};

/// Faults that a relay injects into traffic. Shares are from 0 to 1, times in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Share of datagrams lost.
    pub loss: f64,
    /// Delay of all traffic.
    pub delay_ms: u64,
    /// Upper bound of an additional random delay, which is drawn uniformly from 0 to this value.
    pub jitter_ms: u64,
    /// Share of datagrams delivered twice.
    pub duplicate: f64,
    /// Share of datagrams that are held back by the additional delay [`Self::reorder_ms`], so that later
    /// datagrams overtake them.
    pub reorder: f64,
    /// Additional delay of reordered datagrams, in milliseconds.
    pub reorder_ms: u64,
    /// Group of each member by its index; members without an entry are in group 0.
    pub groups: HashMap<usize, u32>,
    /// Pairs of groups (from, to) between which traffic is cut: datagrams are lost, bytes of a stream are
    /// delayed until the cut ends.
    pub cuts: HashSet<(u32, u32)>,
}

impl Faults {
    /// Cuts traffic between two groups in both directions.
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
