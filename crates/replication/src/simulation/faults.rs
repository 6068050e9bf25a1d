//! Faults of a fleet: crashes, cuts of the network, truncated and full disks, forged messages.

use super::Fleet;
use super::event::Event;
use super::node::Disk;
use crate::persistence;

impl Fleet {
    /// Ends a node's process; its disk stays.
    pub fn crash(&mut self, node: usize) {
        self.nodes[node].member = None;
        self.schedule_view();
    }

    /// Cuts the file on a node's disk to a share of its length, 0 to 1.
    pub fn truncate_disk(&mut self, node: usize, share: f64) {
        let Some(state) = self.nodes[node].read_disk() else { return };
        let mut bytes = persistence::encode(&state);
        bytes.truncate((bytes.len() as f64 * share) as usize);
        self.nodes[node].disk = Some(Disk::Truncated(bytes));
    }

    /// Whether a node's disk holds nothing that can be used.
    pub fn is_disk_empty(&self, node: usize) -> bool {
        self.nodes[node].read_disk().is_none()
    }

    /// Whether a node's disk takes no writes.
    pub fn set_disk_full(&mut self, node: usize, is_full: bool) {
        self.nodes[node].is_disk_full = is_full;
    }

    /// A node rejects revisions with a key that begins so; `None` for none.
    pub fn set_rejected_prefix(&mut self, node: usize, prefix: Option<&str>) {
        self.nodes[node].rejected_prefix = prefix.map(str::to_string);
    }

    /// Puts a node into a group; all begin in group 0.
    pub fn set_group(&mut self, node: usize, group: u32) {
        self.nodes[node].group = group;
    }

    /// Messages between two groups are lost from now on.
    pub fn cut(&mut self, a: u32, b: u32) {
        self.cuts.extend([(a, b), (b, a)]);
        self.schedule_view();
    }

    /// Ends all cuts.
    pub fn heal(&mut self) {
        self.cuts.clear();
        self.schedule_view();
    }

    /// Delivers a body to a node now, as if another had sent it.
    pub fn inject(&mut self, to: usize, from: usize, body: Vec<u8>) {
        self.schedule(0, Event::Message { to, from, body });
    }
}
