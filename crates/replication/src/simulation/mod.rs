//! Simulated fleet of [`Member`]s with disks and a network, for tests. The simulation uses simulated time,
//! does no I/O, and is deterministic for a given seed.
//!
//! At every step, the simulation checks two invariants: a revision number never has two different contents,
//! and a server never goes back to an older revision. The [`Layout`] determines how messages are lost,
//! duplicated, delayed and reordered. The module `faults` injects the other faults. The membership view and
//! the lease follow changes of the fleet with a delay.

mod event;
mod event_queue;
mod faults;
mod host;
mod layout;
mod network;
mod node;

use crate::change::Change;
use crate::content_hash::ContentHash;
use crate::member::{Member, Settings};
use crate::time::{MILLISECOND_NS, Nanos};
use event::Event;
pub use event_queue::EventQueue;
pub use layout::{Delay, Layout, START_NS, member_name};
use node::Node;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

/// Interval of simulated time at which [`Fleet::run_until`] checks whether its condition is true.
const CHECK_INTERVAL_NS: Nanos = 10 * MILLISECOND_NS;

/// Records that a node applied a revision that it had not applied before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppliedRevision {
    /// Time at which the node applied the revision, in Unix nanoseconds.
    pub at: Nanos,
    /// Index of the node.
    pub node: usize,
    /// Number of the revision.
    pub number: u64,
}

/// A simulated fleet.
pub struct Fleet {
    /// Configuration of the fleet.
    pub layout: Layout,
    nodes: Vec<Node>,
    /// Index of each node, by the name of its member.
    names: HashMap<String, usize>,
    /// Pairs of groups between which the network is currently partitioned.
    cuts: HashSet<(u32, u32)>,
    /// The membership view of each group of nodes: the sorted names of the alive members that the group can
    /// reach.
    views: HashMap<u32, Arc<Vec<String>>>,
    queue: EventQueue<Event>,
    now: Nanos,
    rng: ChaCha8Rng,
    /// If true, only [`Fleet::set_holds_lease`] grants and ends the leadership lease. If false, every update
    /// of the membership view assigns the lease to one replica. The holder of the lease tries to lead the
    /// log.
    pub manual_lease: bool,
    /// Content hash of every revision that any node has applied, by revision number.
    contents: BTreeMap<u64, ContentHash>,
    /// All revisions that nodes have applied, in the order of time.
    pub applied: Vec<AppliedRevision>,
    /// Total size of all messages sent, in bytes, without the headers that the datagram layer adds.
    pub sent_bytes: u64,
    /// Number of messages sent.
    pub messages: u64,
}

impl Fleet {
    /// Creates a fleet. No node is started yet. The nodes with the lowest indices are the replicas.
    pub fn new(layout: Layout, seed: u64) -> Fleet {
        Fleet {
            nodes: (0..layout.size).map(|_| Node::new()).collect(),
            names: (0..layout.size).map(|node| (member_name(node), node)).collect(),
            cuts: HashSet::new(),
            views: HashMap::new(),
            queue: EventQueue::default(),
            now: START_NS,
            rng: ChaCha8Rng::seed_from_u64(seed),
            manual_lease: false,
            contents: BTreeMap::new(),
            applied: Vec::new(),
            sent_bytes: 0,
            messages: 0,
            layout,
        }
    }

    /// Creates a fleet and starts all its nodes. All nodes are in the membership view.
    pub fn started(layout: Layout, seed: u64) -> Fleet {
        let mut fleet = Fleet::new(layout, seed);
        (0..fleet.nodes.len()).for_each(|node| fleet.start(node));
        fleet.update_view();
        fleet
    }

    /// Returns the simulated time, in Unix nanoseconds.
    pub fn now(&self) -> Nanos {
        self.now
    }

    /// Returns the member that a node runs; `None` if the node is not running.
    pub fn member(&self, node: usize) -> Option<&Member> {
        self.nodes[node].member.as_ref()
    }

    /// Indices of the running nodes.
    pub fn running(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|node| self.nodes[*node].member.is_some()).collect()
    }

    /// Starts a node, which continues from the state on its disk.
    pub fn start(&mut self, index: usize) {
        let replicas = (0..self.layout.replicas).map(member_name).collect();
        let defaults = Settings::new((self.layout.location)(index), replicas);
        let settings = Settings { pull_period: self.layout.pull_period, ..defaults };
        let seed = self.rng.next_u64();
        let node = &mut self.nodes[index];
        let disk = node.read_disk();
        let mut member = Member::new(&member_name(index), settings, seed, self.now, disk)
            .expect("the layout names an odd number of replicas and a pull period within bounds");
        if let Some(view) = self.views.get(&node.group) {
            member.advance(self.now, view);
        }
        node.member = Some(member);
        node.incarnation += 1;
        self.run_host(index);
        self.schedule_view();
    }

    /// Grants the leadership lease to a replica, or ends the replica's lease.
    pub fn set_holds_lease(&mut self, node: usize, holds: bool) {
        if let Some(member) = &mut self.nodes[node].member {
            member.set_holds_lease(holds);
        }
        self.run_host(node);
    }

    /// Returns the index of the first node whose member considers itself the leader.
    pub fn leader(&self) -> Option<usize> {
        (0..self.layout.replicas).find(|node| self.member(*node).is_some_and(Member::is_leader))
    }

    /// Proposes a change to the current leader. Returns the number of the change. Returns `None` if there is
    /// no leader, or if the leader rejects the change.
    pub fn propose(&mut self, changes: Vec<Change>) -> Option<u64> {
        let node = self.leader()?;
        self.propose_at(node, changes)
    }

    /// Proposes a change to a node. Returns the number of the change. Returns `None` if the node is not the
    /// leader, or if it rejects the change.
    pub fn propose_at(&mut self, node: usize, changes: Vec<Change>) -> Option<u64> {
        let now = self.now;
        let number = self.nodes[node].member.as_mut()?.propose(changes, now).ok();
        self.run_host(node);
        number
    }

    /// Schedules an event at `after` nanoseconds from the current simulated time.
    fn schedule(&mut self, after: Nanos, event: Event) {
        self.queue.push(self.now + after, event);
    }

    fn schedule_view(&mut self) {
        self.schedule(self.layout.view_lag, Event::View);
    }

    /// Runs the simulation for the duration `span`, in nanoseconds.
    pub fn run_for(&mut self, span: Nanos) {
        let until = self.now + span;
        while let Some((at, event)) = self.queue.pop_until(until) {
            self.now = self.now.max(at);
            self.handle(event);
        }
        self.now = until;
    }

    /// Runs the simulation until `is_done` returns true. Returns the elapsed simulated time in nanoseconds.
    /// Returns `None` if `is_done` does not return true within `limit`.
    pub fn run_until(&mut self, limit: Nanos, mut is_done: impl FnMut(&Fleet) -> bool) -> Option<Nanos> {
        let started_at = self.now;
        while self.now - started_at <= limit {
            if is_done(self) {
                return Some(self.now - started_at);
            }
            self.run_for(CHECK_INTERVAL_NS);
        }
        None
    }

    /// Returns whether every running node of `nodes` has applied the revision `number` or a later revision.
    pub fn all_applied(&self, nodes: &[usize], number: u64) -> bool {
        nodes.iter().filter_map(|node| self.member(*node)).all(|member| member.applied() >= number)
    }
}
