//! The simulated network, the membership view, and the leadership lease of the replicated log.

use super::event::Event;
use super::{Delay, Fleet, member_name};
use crate::member::Outgoing;
use rand_chacha::rand_core::Rng;
use std::collections::HashSet;
use std::sync::Arc;

impl Fleet {
    /// Returns true if no partition separates the groups of the two nodes. If a partition separates the
    /// groups, the network loses every message from one node to the other.
    fn reaches(&self, from: usize, to: usize) -> bool {
        !self.cuts.contains(&(self.nodes[from].group, self.nodes[to].group))
    }

    /// Returns true with the probability `share` (0 to 1), otherwise false.
    fn draw_with_probability(&mut self, share: f64) -> bool {
        share > 0.0 && (self.rng.next_u64() as f64 / u64::MAX as f64) < share
    }

    /// Sends a message over the simulated network. The message is lost if a partition separates the two
    /// nodes. The layout determines whether any other message is lost, duplicated and delayed.
    pub(super) fn send(&mut self, from: usize, outgoing: Outgoing) {
        let Outgoing { to, body } = outgoing;
        self.messages += 1;
        self.sent_bytes += body.len() as u64;
        let Some(&to) = self.names.get(&to) else { return };
        if !self.reaches(from, to) {
            return;
        }
        let copies = if self.draw_with_probability(self.layout.duplicate) { 2 } else { 1 };
        for _ in 0..copies {
            if self.draw_with_probability(self.layout.loss) {
                continue;
            }
            let Delay { least, jitter } = (self.layout.delay)(from, to);
            let delay = least + self.rng.next_u64() % jitter.max(1);
            self.schedule(delay, Event::Message { to, from, body: body.clone() });
        }
    }

    /// Updates the membership view of each group: the alive members that the group can reach. Also assigns
    /// the leadership lease, unless `manual_lease` is set.
    pub(super) fn update_view(&mut self) {
        let groups: HashSet<u32> = self.nodes.iter().map(|node| node.group).collect();
        for group in groups {
            let is_reached = |node: &usize| !self.cuts.contains(&(group, self.nodes[*node].group));
            let mut names: Vec<String> =
                self.running().into_iter().filter(is_reached).map(member_name).collect();
            names.sort_unstable();
            self.views.insert(group, Arc::new(names));
        }
        if !self.manual_lease {
            self.assign_lease();
        }
    }

    /// Assigns the leadership lease to the first replica that can reach a majority of the replicas and whose
    /// disk is not full.
    fn assign_lease(&mut self) {
        let living: Vec<usize> =
            (0..self.layout.replicas).filter(|replica| self.nodes[*replica].member.is_some()).collect();
        let majority = self.layout.replicas / 2 + 1;
        let may_hold = |replica: &usize| {
            let reached = living.iter().filter(|other| self.reaches(*replica, **other)).count();
            !self.nodes[*replica].is_disk_full && reached >= majority
        };
        let holder = living.iter().copied().find(may_hold);
        for replica in living {
            self.set_holds_lease(replica, Some(replica) == holder);
        }
    }
}
