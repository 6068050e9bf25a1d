//! Faults that a test can inject: crashes, network partitions, truncated files, full disks, and forged
//! messages.

use super::Fleet;
use super::event::Event;
use super::node::Disk;
use crate::persistence;

impl Fleet {
    /// Stops the process of a node. The content of the node's disk is kept.
    pub fn crash(&mut self, node: usize) {
        self.nodes[node].member = None;
        self.schedule_view();
    }

    /// Truncates the file on a node's disk to a fraction `share` of its length, 0 to 1.
    pub fn truncate_disk(&mut self, node: usize, share: f64) {
        let Some(state) = self.nodes[node].read_disk() else { return };
        let mut bytes = persistence::encode(&state);
        bytes.truncate((bytes.len() as f64 * share) as usize);
        self.nodes[node].disk = Some(Disk::Truncated(bytes));
    }

    /// Returns true if a node's disk has no file that can be used.
    pub fn is_disk_empty(&self, node: usize) -> bool {
        self.nodes[node].read_disk().is_none()
    }

    /// Sets whether a node's disk is full. Writes to a full disk fail.
    pub fn set_disk_full(&mut self, node: usize, is_full: bool) {
        self.nodes[node].is_disk_full = is_full;
    }

    /// Makes a node reject all revisions that contain a key with this prefix. With `None`, the node accepts
    /// all revisions.
    pub fn set_rejected_prefix(&mut self, node: usize, prefix: Option<&str>) {
        self.nodes[node].rejected_prefix = prefix.map(str::to_string);
    }

    /// Assigns a node to a group of nodes. [`Fleet::cut`] partitions the network between two groups.
    /// Initially all nodes are in group 0.
    pub fn set_group(&mut self, node: usize, group: u32) {
        self.nodes[node].group = group;
    }

    /// Partitions the network between the groups `a` and `b`. All messages between them are lost until
    /// [`Fleet::heal`] is called.
    pub fn cut(&mut self, a: u32, b: u32) {
        self.cuts.extend([(a, b), (b, a)]);
        self.schedule_view();
    }

    /// Ends all partitions.
    pub fn heal(&mut self) {
        self.cuts.clear();
        self.schedule_view();
    }

    /// Delivers a message to the node `to` now, with the node `from` as its sender. Used for forged messages.
    pub fn inject(&mut self, to: usize, from: usize, body: Vec<u8>) {
        self.schedule(0, Event::Message { to, from, body });
    }
}
