//! A fleet of cores on a simulated network in simulated time, deterministic from its seed: loss, delay
//! and jitter, duplication, one-way and two-way partitions between groups, crashes, stalls and restarts.
//! For tests and for the figures of `docs/membership.md`; no I/O.

use crate::{MemberId, Membership, Nanos, Settings};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

/// What the network does to each datagram.
#[derive(Clone, Copy, Debug, Default)]
pub struct NetworkConditions {
    /// Share of datagrams lost, 0 to 1.
    pub loss: f64,
    /// Least delay, and the most added to it at random, in nanoseconds.
    pub delay: Nanos,
    pub jitter: Nanos,
    /// Share of datagrams that arrive twice.
    pub duplicate: f64,
}

/// Datagrams a stalled process's socket holds; later ones are lost, as a full receive buffer loses them.
const HELD_MAX: usize = 256;

struct Slot {
    core: Option<Membership>,
    stalled: bool,
    held: Vec<(SocketAddr, Vec<u8>)>,
    incarnation: u64,
}

/// Datagrams to whom.
type Outgoing = Vec<(SocketAddr, Vec<u8>)>;
/// Datagrams with when they come and from whom.
type Inbox = Vec<(Nanos, SocketAddr, Vec<u8>)>;
/// A member with what comes to it within a window.
type Busy<'a> = (usize, &'a mut Slot, Inbox);

impl Slot {
    /// Plays the datagrams of a window, in the order of their time, and the timers that are due before its
    /// end; what was sent when.
    fn play(&mut self, now: Nanos, end: Nanos, inbox: Inbox) -> Vec<(Nanos, Outgoing)> {
        let Some(core) = self.core.as_mut() else { return Vec::new() };
        if self.stalled {
            let room = HELD_MAX - self.held.len();
            self.held.extend(inbox.into_iter().take(room).map(|(_, from, bytes)| (from, bytes)));
            return Vec::new();
        }
        let mut sent = Vec::new();
        let mut inbox = inbox.into_iter().peekable();
        loop {
            let due = core.poll_timeout().filter(|due| *due < end).unwrap_or(Nanos::MAX);
            let at = if let Some((at, from, bytes)) = inbox.next_if(|(at, ..)| *at <= due) {
                let _ = core.handle_datagram(from, &bytes, at);
                at
            } else if due < Nanos::MAX {
                core.handle_timeout(due.max(now));
                due.max(now)
            } else {
                return sent;
            };
            let outgoing = core.take_transmits();
            if !outgoing.is_empty() {
                sent.push((at, outgoing));
            }
        }
    }
}

type Delivery = Reverse<(Nanos, u64, usize, SocketAddr, Vec<u8>)>;

pub struct SimulatedFleet {
    settings: Settings,
    seed: u64,
    slots: Vec<Slot>,
    groups: Vec<u32>,
    cut: HashSet<(u32, u32)>,
    queue: BinaryHeap<Delivery>,
    due: BinaryHeap<Reverse<(Nanos, usize)>>,
    rng: ChaCha8Rng,
    seq: u64,
    now: Nanos,
    pub net: NetworkConditions,
    /// Over how many threads members are played. One plays event by event; more play in windows of the
    /// network's least delay, within which no member hears another, so that the outcome is the same however
    /// many there are. More than one wants a delay above 0.
    pub threads: usize,
    /// Datagrams and bytes put on the network, from the start.
    pub sent: u64,
    pub sent_bytes: u64,
}

impl SimulatedFleet {
    /// `n` members, none started.
    pub fn new(n: usize, settings: Settings, seed: u64, net: NetworkConditions) -> SimulatedFleet {
        let slots =
            (0..n).map(|_| Slot { core: None, stalled: false, held: Vec::new(), incarnation: 0 }).collect();
        SimulatedFleet {
            settings,
            seed,
            slots,
            groups: vec![0; n],
            cut: HashSet::new(),
            queue: BinaryHeap::new(),
            due: BinaryHeap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            seq: 0,
            now: 0,
            net,
            threads: 1,
            sent: 0,
            sent_bytes: 0,
        }
    }

    pub fn len(&self) -> usize {
        self.slots.len()
    }

    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    pub fn now(&self) -> Nanos {
        self.now
    }

    /// Member `i`'s address: 127.0.0.0/8 by index, for the simulation only.
    pub fn addr(i: usize) -> SocketAddr {
        let i = i as u32;
        SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::new(127, 1, (i >> 8) as u8, i as u8), 7000))
    }

    fn index(addr: SocketAddr) -> Option<usize> {
        match addr {
            SocketAddr::V4(v4) if v4.port() == 7000 && v4.ip().octets()[..2] == [127, 1] => {
                let o = v4.ip().octets();
                Some(((o[2] as usize) << 8) | o[3] as usize)
            }
            _ => None,
        }
    }

    /// Starts (or starts again, with a higher incarnation) member `i` and has it announce itself to `seeds`.
    pub fn start(&mut self, i: usize, seeds: &[usize]) {
        let slot = &mut self.slots[i];
        slot.incarnation += 1;
        slot.stalled = false;
        slot.held.clear();
        let me = MemberId {
            name: format!("server-{i}"),
            addr: SimulatedFleet::addr(i),
            incarnation: slot.incarnation,
        };
        let seed = self.seed ^ ((i as u64) << 20) ^ slot.incarnation;
        let core =
            Membership::new(me, &self.settings, seed, self.now).expect("settings checked by the caller");
        slot.core = Some(core);
        let seeds: Vec<SocketAddr> = seeds.iter().map(|s| SimulatedFleet::addr(*s)).collect();
        if let Some(core) = self.slots[i].core.as_mut() {
            core.join(&seeds, self.now);
        }
        self.after(i);
    }

    /// Starts all members with the whole fleet known to each already: a join of many thousands costs the
    /// square of them, which is not what is measured.
    pub fn start_with_complete_views(&mut self) {
        let n = self.slots.len();
        let id = |i: usize| MemberId { name: format!("s{i}"), addr: SimulatedFleet::addr(i), incarnation: 1 };
        let (settings, seed, now) = (&self.settings, self.seed, self.now);
        let made = |i: usize| {
            let mut core = Membership::new(id(i), settings, seed ^ ((i as u64) << 20), now)
                .expect("settings checked by the caller");
            core.restore((0..n).map(id), now);
            core.take_changes();
            core
        };
        let part = n.div_ceil(self.threads.max(1)).max(1);
        std::thread::scope(|scope| {
            for (p, slots) in self.slots.chunks_mut(part).enumerate() {
                scope.spawn(move || {
                    for (k, slot) in slots.iter_mut().enumerate() {
                        slot.core = Some(made(p * part + k));
                        slot.incarnation = 1;
                    }
                });
            }
        });
        (0..n).for_each(|i| self.after(i));
    }

    /// SIGKILL: gone without a word.
    pub fn crash(&mut self, i: usize) {
        self.slots[i].core = None;
        self.slots[i].held.clear();
    }

    /// SIGSTOP: neither timers nor datagrams are handled; the socket holds a few datagrams.
    pub fn stall(&mut self, i: usize) {
        self.slots[i].stalled = true;
    }

    /// SIGCONT: what was held is read, late timers fire.
    pub fn resume(&mut self, i: usize) {
        self.slots[i].stalled = false;
        let held = std::mem::take(&mut self.slots[i].held);
        let now = self.now;
        if let Some(core) = self.slots[i].core.as_mut() {
            core.handle_timeout(now);
            for (from, bytes) in held {
                let _ = core.handle_datagram(from, &bytes, now);
            }
        }
        self.after(i);
    }

    /// Puts member `i` in group `g`; see [`SimulatedFleet::cut_one_way`].
    pub fn assign_group(&mut self, i: usize, g: u32) {
        self.groups[i] = g;
    }

    /// Datagrams from group `from` to group `to` are lost from now on (one way).
    pub fn cut_one_way(&mut self, from: u32, to: u32) {
        self.cut.insert((from, to));
    }

    /// Every cut is mended.
    pub fn heal(&mut self) {
        self.cut.clear();
    }

    pub fn member(&self, i: usize) -> Option<&Membership> {
        self.slots[i].core.as_ref()
    }

    pub fn member_mut(&mut self, i: usize) -> Option<&mut Membership> {
        self.slots[i].core.as_mut()
    }

    pub fn is_running(&self, i: usize) -> bool {
        self.slots[i].core.is_some() && !self.slots[i].stalled
    }

    fn after(&mut self, i: usize) {
        let Some(core) = self.slots[i].core.as_mut() else { return };
        let outgoing = core.take_transmits();
        self.route(i, outgoing);
        if let Some(due) = self.slots[i].core.as_ref().and_then(|c| c.poll_timeout()) {
            self.due.push(Reverse((due, i)));
        }
    }

    /// Puts on the network what member `i` sends now.
    fn route(&mut self, i: usize, outgoing: Outgoing) {
        for (to, bytes) in outgoing {
            self.sent += 1;
            self.sent_bytes += bytes.len() as u64;
            let Some(j) = SimulatedFleet::index(to) else { continue };
            if self.cut.contains(&(self.groups[i], self.groups[j])) {
                continue;
            }
            let copies = if self.chance(self.net.duplicate) { 2 } else { 1 };
            for _ in 0..copies {
                if self.chance(self.net.loss) {
                    continue;
                }
                let jitter = if self.net.jitter > 0 { self.rng.next_u64() % self.net.jitter } else { 0 };
                self.seq += 1;
                let at = self.now + self.net.delay + jitter;
                self.queue.push(Reverse((at, self.seq, j, SimulatedFleet::addr(i), bytes.clone())));
            }
        }
    }

    fn chance(&mut self, p: f64) -> bool {
        p > 0.0 && (self.rng.next_u64() as f64 / u64::MAX as f64) < p
    }

    /// Plays every event up to `until`.
    pub fn run_until(&mut self, until: Nanos) {
        if self.threads > 1 && self.net.delay > 0 {
            return self.run_windows(until);
        }
        loop {
            let next_msg = self.queue.peek().map(|Reverse(d)| d.0);
            let next_timer = self.due.peek().map(|Reverse(d)| d.0);
            let next = match (next_msg, next_timer) {
                (Some(m), Some(t)) => m.min(t),
                (Some(m), None) => m,
                (None, Some(t)) => t,
                (None, None) => break,
            };
            if next > until {
                break;
            }
            self.now = self.now.max(next);
            if next_msg == Some(next) {
                let Reverse((_, _, j, from, bytes)) = self.queue.pop().expect("peeked");
                let now = self.now;
                let slot = &mut self.slots[j];
                match slot.core.as_mut() {
                    None => {}
                    Some(_) if slot.stalled && slot.held.len() < HELD_MAX => slot.held.push((from, bytes)),
                    Some(_) if slot.stalled => {}
                    Some(core) => {
                        let _ = core.handle_datagram(from, &bytes, now);
                        self.after(j);
                    }
                }
            } else {
                let Reverse((due, i)) = self.due.pop().expect("peeked");
                if !self.is_running(i) {
                    continue;
                }
                let now = self.now;
                let Some(core) = self.slots[i].core.as_mut() else { continue };
                if core.poll_timeout() != Some(due) {
                    continue;
                }
                core.handle_timeout(now);
                self.after(i);
            }
        }
        self.now = self.now.max(until);
    }

    /// The same in windows: what comes within one is sorted to its members, these are played side by side,
    /// and what they send is put on the network in the order of time and member.
    fn run_windows(&mut self, until: Nanos) {
        loop {
            let next_msg = self.queue.peek().map(|Reverse(d)| d.0);
            let next_timer = self.due.peek().map(|Reverse(d)| d.0);
            let Some(next) = next_msg.into_iter().chain(next_timer).min().filter(|next| *next <= until)
            else {
                break;
            };
            let end = (next.max(self.now) + self.net.delay).min(until + 1);
            let mut inboxes: BTreeMap<usize, Inbox> = BTreeMap::new();
            while self.queue.peek().is_some_and(|Reverse(d)| d.0 < end) {
                let Reverse((at, _, j, from, bytes)) = self.queue.pop().expect("peeked");
                inboxes.entry(j).or_default().push((at, from, bytes));
            }
            while self.due.peek().is_some_and(|Reverse(d)| d.0 < end) {
                let Reverse((_, i)) = self.due.pop().expect("peeked");
                inboxes.entry(i).or_default();
            }
            let now = self.now;
            let mut busy: Vec<Busy> = (self.slots.iter_mut().enumerate())
                .filter_map(|(i, slot)| Some((i, slot, inboxes.remove(&i)?)))
                .collect();
            let part = busy.len().div_ceil(self.threads).max(4);
            let mut sent: Vec<(Nanos, usize, Outgoing)> = Vec::new();
            let mut due: Vec<(Nanos, usize)> = Vec::new();
            std::thread::scope(|scope| {
                let play = |part: &mut [Busy]| {
                    let (mut sent, mut due) = (Vec::new(), Vec::new());
                    for (i, slot, inbox) in part {
                        let outgoing = slot.play(now, end, std::mem::take(inbox));
                        sent.extend(outgoing.into_iter().map(|(at, out)| (at, *i, out)));
                        // One that is stalled has its timers again when it goes on.
                        let core = slot.core.as_ref().filter(|_| !slot.stalled);
                        due.extend(core.and_then(|core| core.poll_timeout()).map(|at| (at, *i)));
                    }
                    (sent, due)
                };
                let mut parts = busy.chunks_mut(part);
                let first = parts.next();
                let others: Vec<_> = parts.map(|part| scope.spawn(move || play(part))).collect();
                let mine = first.map(play);
                let theirs = others.into_iter().map(|other| other.join().expect("a member panicked"));
                for (of_part, due_of_part) in mine.into_iter().chain(theirs) {
                    sent.extend(of_part);
                    due.extend(due_of_part);
                }
            });
            sent.sort_by_key(|(at, i, _)| (*at, *i));
            for (at, i, outgoing) in sent {
                self.now = at;
                self.route(i, outgoing);
            }
            self.due.extend(due.into_iter().map(Reverse));
            self.now = self.now.max(end - 1);
        }
        self.now = self.now.max(until);
    }

    /// Whether every running member in `who` holds exactly the others of `who` as members (alive or suspect),
    /// each in its present incarnation.
    pub fn views_agree(&self, who: &[usize]) -> bool {
        let incarnation = |j: usize| {
            self.slots[j].core.as_ref().map_or(self.slots[j].incarnation, |c| c.identity().incarnation)
        };
        let mut want: Vec<(SocketAddr, u64)> =
            who.iter().map(|&j| (SimulatedFleet::addr(j), incarnation(j))).collect();
        want.sort();
        let holds = |i: usize| {
            let Some(core) = self.slots[i].core.as_ref() else { return true };
            let mut have = core.members();
            have.push((SimulatedFleet::addr(i), incarnation(i)));
            have.sort();
            have == want
        };
        let part = who.len().div_ceil(self.threads).max(1);
        std::thread::scope(|scope| {
            let parts = who.chunks(part);
            let parts: Vec<_> =
                parts.map(|part| scope.spawn(move || part.iter().all(|&i| holds(i)))).collect();
            parts.into_iter().all(|part| part.join().expect("a member panicked"))
        })
    }

    /// Plays in steps of `step` until [`SimulatedFleet::views_agree`] on `who` or `limit`; the time it took, if it did.
    pub fn run_until_views_agree(&mut self, who: &[usize], step: Nanos, limit: Nanos) -> Option<Nanos> {
        let start = self.now;
        while self.now - start <= limit {
            if self.views_agree(who) {
                return Some(self.now - start);
            }
            let next = self.now + step;
            self.run_until(next);
        }
        None
    }
}
