//! A fleet of [`Member`]s with disks on a simulated network in simulated time, deterministic from its seed:
//! loss, doubling, delay and reordering, cuts, crashes and restarts, disks that fail. At every step it
//! checks what must never happen: two contents under one number, and a server that goes back to an older
//! revision. The fleet's view and the lease are played ideally, with a lag. For tests and figures; no I/O.

use crate::Nanos;
use crate::committed_log::Snapshot;
use crate::member::{Member, Settings};
use crate::message::Location;
use crate::replica::PersistedState;
use crate::state::ContentHash;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::sync::Arc;

/// Simulated time begins here, in Unix nanoseconds.
pub const EPOCH: Nanos = 1_700_000_000_000_000_000;
const MILLISECOND: Nanos = 1_000_000;

/// How the fleet is laid out, and what its network does.
#[derive(Clone)]
pub struct Layout {
    pub size: usize,
    pub replicas: usize,
    /// Where a member stands.
    pub location: fn(usize) -> Location,
    /// Least delay between two members, and the most added to it at random.
    pub delay: fn(usize, usize) -> (Nanos, Nanos),
    /// Shares of messages lost and doubled, 0 to 1.
    pub loss: f64,
    pub duplicate: f64,
    /// After so long the view and the lease follow what has happened.
    pub lag: Nanos,
    /// How long a server takes to check a revision and write it.
    pub apply: Nanos,
    pub pull_period: Nanos,
}

struct Node {
    member: Option<Member>,
    life: u64,
    disk: Option<Disk>,
    disk_full: bool,
    /// Keys beginning so are rejected, as by a server that does not know an element.
    refuses: Option<String>,
    /// The last revision ever in force, over all lives.
    highest: u64,
}

/// What is on a disk: whole, which costs nothing to keep, or the bytes of a file that was spoilt.
enum Disk {
    Whole(PersistedState),
    Spoilt(Vec<u8>),
}

impl Disk {
    fn read(&self) -> Option<PersistedState> {
        match self {
            Disk::Whole(saved) => Some(saved.clone()),
            Disk::Spoilt(bytes) => crate::persistence::decode(bytes).ok(),
        }
    }
}

enum Event {
    Message { to: usize, from: usize, body: Vec<u8> },
    Due { node: usize, life: u64 },
    Applied { node: usize, life: u64, snapshot: Box<Snapshot> },
    View,
}

struct Scheduled {
    at: Nanos,
    sequence: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

pub struct Fleet {
    pub layout: Layout,
    nodes: Vec<Node>,
    names: HashMap<String, usize>,
    groups: Vec<u32>,
    cuts: HashSet<(u32, u32)>,
    /// The living that each group hears of.
    views: HashMap<u32, Arc<Vec<String>>>,
    queue: BinaryHeap<Reverse<Scheduled>>,
    /// When each node is next due, as scheduled.
    due: Vec<Nanos>,
    sequence: u64,
    now: Nanos,
    rng: ChaCha8Rng,
    /// The lease goes to one replica as the view says; tests may give it by hand.
    pub lease_by_hand: bool,
    /// Contents by number, of all that were ever in force.
    contents: BTreeMap<u64, ContentHash>,
    /// When each number came in force on each node for the first time.
    pub applied: Vec<(Nanos, usize, u64)>,
    pub sent_bytes: u64,
    pub messages: u64,
}

pub fn name(node: usize) -> String {
    format!("s{node}")
}

impl Fleet {
    /// The first nodes are the replicas; none is started.
    pub fn new(layout: Layout, seed: u64) -> Fleet {
        let node = || Node { member: None, life: 0, disk: None, disk_full: false, refuses: None, highest: 0 };
        Fleet {
            nodes: (0..layout.size).map(|_| node()).collect(),
            names: (0..layout.size).map(|i| (name(i), i)).collect(),
            groups: vec![0; layout.size],
            cuts: HashSet::new(),
            views: HashMap::new(),
            queue: BinaryHeap::new(),
            due: vec![Nanos::MAX; layout.size],
            sequence: 0,
            now: EPOCH,
            rng: ChaCha8Rng::seed_from_u64(seed),
            lease_by_hand: false,
            contents: BTreeMap::new(),
            applied: Vec::new(),
            sent_bytes: 0,
            messages: 0,
            layout,
        }
    }

    /// All started and seen by all.
    pub fn started(layout: Layout, seed: u64) -> Fleet {
        let mut fleet = Fleet::new(layout, seed);
        (0..fleet.nodes.len()).for_each(|node| fleet.start(node));
        fleet.follow_view();
        fleet
    }

    pub fn now(&self) -> Nanos {
        self.now
    }

    pub fn member(&self, node: usize) -> Option<&Member> {
        self.nodes[node].member.as_ref()
    }

    pub fn running(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|node| self.nodes[*node].member.is_some()).collect()
    }

    pub fn start(&mut self, node: usize) {
        let settings = Settings {
            pull_period: self.layout.pull_period,
            ..Settings::new((self.layout.location)(node), (0..self.layout.replicas).map(name).collect())
        };
        let disk = self.nodes[node].disk.as_ref().and_then(Disk::read);
        let seed = self.rng.next_u64();
        let mut member = Member::new(&name(node), settings, seed, self.now, disk).expect("good settings");
        if let Some(view) = self.views.get(&self.groups[node]) {
            member.advance(self.now, &view.clone());
        }
        let slot = &mut self.nodes[node];
        (slot.member, slot.life) = (Some(member), slot.life + 1);
        self.after(node);
        self.view_changes();
    }

    pub fn crash(&mut self, node: usize) {
        self.nodes[node].member = None;
        self.view_changes();
    }

    /// What is on a node's disk is lost, or cut to a part of its length.
    pub fn spoil_disk(&mut self, node: usize, part: f64) {
        let Some(saved) = self.nodes[node].disk.as_ref().and_then(Disk::read) else { return };
        let mut bytes = crate::persistence::encode(&saved);
        bytes.truncate((bytes.len() as f64 * part) as usize);
        self.nodes[node].disk = Some(Disk::Spoilt(bytes));
    }

    pub fn disk_is_empty(&self, node: usize) -> bool {
        self.nodes[node].disk.as_ref().and_then(Disk::read).is_none()
    }

    pub fn set_disk_full(&mut self, node: usize, full: bool) {
        self.nodes[node].disk_full = full;
    }

    /// A server refuses keys that begin so.
    pub fn set_rejects(&mut self, node: usize, prefix: Option<&str>) {
        self.nodes[node].refuses = prefix.map(str::to_string);
    }

    pub fn group(&mut self, node: usize, group: u32) {
        self.groups[node] = group;
    }

    pub fn cut(&mut self, a: u32, b: u32) {
        self.cuts.extend([(a, b), (b, a)]);
        self.view_changes();
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
        self.view_changes();
    }

    pub fn set_holds_lease(&mut self, node: usize, may: bool) {
        if let Some(member) = &mut self.nodes[node].member {
            member.set_holds_lease(may);
        }
        self.after(node);
    }

    pub fn leader(&self) -> Option<usize> {
        (0..self.layout.replicas).find(|node| self.member(*node).is_some_and(Member::is_leader))
    }

    /// Publishes through whoever is the leader now.
    pub fn propose(&mut self, changes: Vec<crate::revision::Change>) -> Option<u64> {
        let node = self.leader()?;
        self.propose_at(node, changes)
    }

    pub fn propose_at(&mut self, node: usize, changes: Vec<crate::revision::Change>) -> Option<u64> {
        let now = self.now;
        let number = self.nodes[node].member.as_mut()?.propose(changes, now).ok();
        self.after(node);
        number
    }

    /// Gives a node a body as if another had sent it now.
    pub fn inject(&mut self, to: usize, from: usize, body: Vec<u8>) {
        self.schedule(0, Event::Message { to, from, body });
    }

    fn schedule(&mut self, after: Nanos, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse(Scheduled { at: self.now + after, sequence: self.sequence, event }));
    }

    fn view_changes(&mut self) {
        self.schedule(self.layout.lag, Event::View);
    }

    fn hears(&self, from: usize, to: usize) -> bool {
        !self.cuts.contains(&(self.groups[from], self.groups[to]))
    }

    /// Every group sees the living that it hears, and the lease goes to a replica that a majority hears.
    fn follow_view(&mut self) {
        let groups: HashSet<u32> = self.groups.iter().copied().collect();
        for group in groups {
            let heard = |node: &usize| !self.cuts.contains(&(group, self.groups[*node]));
            let mut names: Vec<String> = self.running().into_iter().filter(heard).map(name).collect();
            names.sort_unstable();
            self.views.insert(group, Arc::new(names));
        }
        if self.lease_by_hand {
            return;
        }
        let living: Vec<usize> =
            (0..self.layout.replicas).filter(|r| self.nodes[*r].member.is_some()).collect();
        let majority = self.layout.replicas / 2 + 1;
        let has_majority =
            |node: &usize| living.iter().filter(|other| self.hears(*node, **other)).count() >= majority;
        let can = |replica: &usize| !self.nodes[*replica].disk_full && has_majority(replica);
        let holder = living.iter().copied().find(can);
        for replica in living {
            self.set_holds_lease(replica, Some(replica) == holder);
        }
    }

    fn chance(&mut self, share: f64) -> bool {
        share > 0.0 && (self.rng.next_u64() as f64 / u64::MAX as f64) < share
    }

    /// What a host does after each call: save, put in force, send, and wake when due.
    fn after(&mut self, node: usize) {
        let now = self.now;
        let slot = &mut self.nodes[node];
        let Some(member) = &mut slot.member else { return };
        while let Some(saved) = member.unsaved_state() {
            if slot.disk_full {
                member.on_persist_failed();
                break;
            }
            member.on_persisted(&saved, now);
            slot.disk = Some(Disk::Whole(saved));
        }
        let pending = member.next_to_apply();
        let (outgoing, due, life) = (member.outgoing(), member.next_due().max(now + MILLISECOND), slot.life);
        if let Some(snapshot) = pending {
            self.schedule(self.layout.apply, Event::Applied { node, life, snapshot: Box::new(snapshot) });
        }
        if due < self.due[node] || self.due[node] <= now {
            self.due[node] = due;
            self.schedule(due - now, Event::Due { node, life });
        }
        for (to, body) in outgoing {
            self.post(node, &to, body);
        }
    }

    fn post(&mut self, from: usize, to: &str, body: Vec<u8>) {
        self.messages += 1;
        self.sent_bytes += body.len() as u64;
        let Some(&to) = self.names.get(to) else { return };
        if !self.hears(from, to) {
            return;
        }
        let copies = if self.chance(self.layout.duplicate) { 2 } else { 1 };
        for _ in 0..copies {
            if self.chance(self.layout.loss) {
                continue;
            }
            let (least, jitter) = (self.layout.delay)(from, to);
            let delay = least + self.rng.next_u64() % jitter.max(1);
            self.schedule(delay, Event::Message { to, from, body: body.clone() });
        }
    }

    pub fn run_for(&mut self, span: Nanos) {
        let until = self.now + span;
        while self.queue.peek().is_some_and(|Reverse(next)| next.at <= until) {
            let Reverse(Scheduled { at, event, .. }) = self.queue.pop().expect("peeked");
            self.now = self.now.max(at);
            self.handle(event);
        }
        self.now = until;
    }

    /// Plays until `done` or for `limit`; how long it took, where it did.
    pub fn run_until_true(&mut self, limit: Nanos, mut done: impl FnMut(&Fleet) -> bool) -> Option<Nanos> {
        let began = self.now;
        while self.now - began <= limit {
            if done(self) {
                return Some(self.now - began);
            }
            self.run_for(10 * MILLISECOND);
        }
        None
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::View => self.follow_view(),
            Event::Message { to, from, body } => {
                let Some(member) = &mut self.nodes[to].member else { return };
                member.receive(now, &name(from), &body);
                self.after(to);
            }
            Event::Due { node, life } => {
                let slot = &mut self.nodes[node];
                let Some(member) =
                    slot.member.as_mut().filter(|_| slot.life == life && self.due[node] == now)
                else {
                    return;
                };
                self.due[node] = Nanos::MAX;
                let view = self.views.get(&self.groups[node]).cloned().unwrap_or_default();
                member.advance(now, &view);
                self.after(node);
            }
            Event::Applied { node, life, snapshot } => {
                if self.nodes[node].life == life {
                    self.applied(node, *snapshot);
                }
            }
        }
    }

    /// A server has checked a revision: it writes it, then it is in force; or it refuses it.
    fn applied(&mut self, node: usize, snapshot: Snapshot) {
        let now = self.now;
        let slot = &mut self.nodes[node];
        let Some(member) = &mut slot.member else { return };
        let number = snapshot.revision.position.number;
        let rejected = slot.refuses.as_ref().and_then(|prefix| {
            let (key, _) = snapshot.state.iter().find(|(key, _)| key.starts_with(prefix.as_str()))?;
            Some(format!("unknown element {key:?}"))
        });
        let outcome = match rejected {
            Some(why) => Err(why),
            None if slot.disk_full => Err("the disk is full".to_string()),
            None => Ok(()),
        };
        if outcome.is_ok() {
            assert!(number >= slot.highest, "s{node} went back from {} to {number}", slot.highest);
            let is_new = std::mem::replace(&mut slot.highest, number) < number;
            slot.disk = Some(Disk::Whole(member.state_to_persist(&snapshot)));
            let content = *self.contents.entry(number).or_insert(snapshot.revision.hash);
            assert_eq!(content, snapshot.revision.hash, "two contents under number {number}");
            if is_new {
                self.applied.push((now, node, number));
            }
        }
        member.settled(number, outcome, now);
        self.after(node);
    }

    /// Whether every running node of these goes by `number` at least.
    pub fn all_applied(&self, nodes: &[usize], number: u64) -> bool {
        nodes.iter().filter_map(|node| self.member(*node)).all(|member| member.applied() >= number)
    }
}
