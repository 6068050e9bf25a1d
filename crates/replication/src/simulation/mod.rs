//! Test harness: a fleet of [`Member`]s with disks on a simulated network in simulated time, deterministic
//! from its seed. No I/O.
//!
//! At every step it checks what must never happen: two contents under one number, and a server that goes back
//! to an older revision. Messages are lost, doubled, delayed and reordered as the [`Layout`] says; `faults`
//! lists what else may happen. The fleet's view and the lease follow the simulated facts with a lag.

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

/// [`Fleet::run_until`] looks this often.
const LOOK_INTERVAL_NS: Nanos = 10 * MILLISECOND_NS;

/// A revision that a node applied for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppliedRevision {
    /// When, in Unix nanoseconds.
    pub at: Nanos,
    /// The node.
    pub node: usize,
    /// The revision's number.
    pub number: u64,
}

/// A simulated fleet.
pub struct Fleet {
    /// As given at the start.
    pub layout: Layout,
    nodes: Vec<Node>,
    /// Nodes by the names of their members.
    names: HashMap<String, usize>,
    /// Pairs of groups between which messages are lost.
    cuts: HashSet<(u32, u32)>,
    /// The sorted names of the living that each group reaches.
    views: HashMap<u32, Arc<Vec<String>>>,
    queue: EventQueue<Event>,
    now: Nanos,
    rng: ChaCha8Rng,
    /// The lease stays as [`Fleet::set_holds_lease`] says; otherwise it goes to one replica by the view.
    pub lease_by_hand: bool,
    /// Contents by number, of all revisions ever applied.
    contents: BTreeMap<u64, ContentHash>,
    /// Revisions as nodes applied them, in order of time.
    pub applied: Vec<AppliedRevision>,
    /// Bytes of all messages sent, without envelopes.
    pub sent_bytes: u64,
    /// Messages sent.
    pub messages: u64,
}

impl Fleet {
    /// A fleet of which no node is started. The first nodes are the replicas.
    pub fn new(layout: Layout, seed: u64) -> Fleet {
        Fleet {
            nodes: (0..layout.size).map(|_| Node::new()).collect(),
            names: (0..layout.size).map(|node| (member_name(node), node)).collect(),
            cuts: HashSet::new(),
            views: HashMap::new(),
            queue: EventQueue::default(),
            now: START_NS,
            rng: ChaCha8Rng::seed_from_u64(seed),
            lease_by_hand: false,
            contents: BTreeMap::new(),
            applied: Vec::new(),
            sent_bytes: 0,
            messages: 0,
            layout,
        }
    }

    /// A fleet of which all nodes are started and in the view.
    pub fn started(layout: Layout, seed: u64) -> Fleet {
        let mut fleet = Fleet::new(layout, seed);
        (0..fleet.nodes.len()).for_each(|node| fleet.start(node));
        fleet.update_view();
        fleet
    }

    /// Simulated time in Unix nanoseconds.
    pub fn now(&self) -> Nanos {
        self.now
    }

    /// A node's member, while it runs.
    pub fn member(&self, node: usize) -> Option<&Member> {
        self.nodes[node].member.as_ref()
    }

    /// The nodes that run.
    pub fn running(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|node| self.nodes[*node].member.is_some()).collect()
    }

    /// Starts a node with what is on its disk.
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
        self.serve(index);
        self.schedule_view();
    }

    /// Gives a replica the lease, or ends it.
    pub fn set_holds_lease(&mut self, node: usize, holds: bool) {
        if let Some(member) = &mut self.nodes[node].member {
            member.set_holds_lease(holds);
        }
        self.serve(node);
    }

    /// The first node whose member leads.
    pub fn leader(&self) -> Option<usize> {
        (0..self.layout.replicas).find(|node| self.member(*node).is_some_and(Member::is_leader))
    }

    /// Proposes a change to the leader; its number, where there is one that accepts it.
    pub fn propose(&mut self, changes: Vec<Change>) -> Option<u64> {
        let node = self.leader()?;
        self.propose_at(node, changes)
    }

    /// Proposes a change to a node; its number, where the node leads and accepts it.
    pub fn propose_at(&mut self, node: usize, changes: Vec<Change>) -> Option<u64> {
        let now = self.now;
        let number = self.nodes[node].member.as_mut()?.propose(changes, now).ok();
        self.serve(node);
        number
    }

    /// `after` is a span in nanoseconds from now.
    fn schedule(&mut self, after: Nanos, event: Event) {
        self.queue.push(self.now + after, event);
    }

    fn schedule_view(&mut self) {
        self.schedule(self.layout.view_lag, Event::View);
    }

    /// Plays for a span of nanoseconds.
    pub fn run_for(&mut self, span: Nanos) {
        let until = self.now + span;
        while let Some((at, event)) = self.queue.pop_until(until) {
            self.now = self.now.max(at);
            self.handle(event);
        }
        self.now = until;
    }

    /// Plays until `is_done`; how long it took, in nanoseconds, or `None` where it took longer than `limit`.
    pub fn run_until(&mut self, limit: Nanos, mut is_done: impl FnMut(&Fleet) -> bool) -> Option<Nanos> {
        let started_at = self.now;
        while self.now - started_at <= limit {
            if is_done(self) {
                return Some(self.now - started_at);
            }
            self.run_for(LOOK_INTERVAL_NS);
        }
        None
    }

    /// Whether all of these that run have applied `number` or a later revision.
    pub fn all_applied(&self, nodes: &[usize], number: u64) -> bool {
        nodes.iter().filter_map(|node| self.member(*node)).all(|member| member.applied() >= number)
    }
}
