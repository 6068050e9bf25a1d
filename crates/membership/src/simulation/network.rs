//! The simulated network: which datagrams are lost, delayed or doubled, and which are on their way.

use crate::Nanos;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};
use std::net::SocketAddr;

/// What the network does to each datagram.
#[derive(Clone, Copy, Debug, Default)]
pub struct NetworkConditions {
    /// Share of datagrams lost, 0 to 1.
    pub loss: f64,
    /// Least delay in nanoseconds.
    pub delay: Nanos,
    /// Most that is added to the delay at random, in nanoseconds.
    pub jitter: Nanos,
    /// Share of datagrams that arrive twice, 0 to 1.
    pub duplicate: f64,
}

/// A datagram on its way. Those that arrive at one time do so in the order of their sending.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Delivery {
    pub(super) at: Nanos,
    sequence: u64,
    /// Index of the receiver.
    pub(super) to: usize,
    pub(super) from: SocketAddr,
    pub(super) datagram: Vec<u8>,
}

/// The datagrams on their way, and the directions that are cut.
pub(super) struct Network {
    conditions: NetworkConditions,
    on_the_way: BinaryHeap<Reverse<Delivery>>,
    sequence: u64,
    /// Group of each member.
    groups: Vec<u32>,
    /// Pairs of groups of which the second receives nothing from the first.
    cuts: HashSet<(u32, u32)>,
    rng: ChaCha8Rng,
}

impl Network {
    pub(super) fn new(members: usize, seed: u64, conditions: NetworkConditions) -> Network {
        Network {
            conditions,
            on_the_way: BinaryHeap::new(),
            sequence: 0,
            groups: vec![0; members],
            cuts: HashSet::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    pub(super) fn assign_group(&mut self, member: usize, group: u32) {
        self.groups[member] = group;
    }

    pub(super) fn cut_one_way(&mut self, from: u32, to: u32) {
        self.cuts.insert((from, to));
    }

    pub(super) fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Least time between the sending of a datagram and its arrival.
    pub(super) fn least_delay(&self) -> Nanos {
        self.conditions.delay
    }

    /// When the next datagram arrives.
    pub(super) fn next_arrival(&self) -> Option<Nanos> {
        self.on_the_way.peek().map(|Reverse(delivery)| delivery.at)
    }

    /// The next datagram, where it arrives before `end`.
    pub(super) fn pop_before(&mut self, end: Nanos) -> Option<Delivery> {
        if self.next_arrival().is_none_or(|at| at >= end) {
            return None;
        }
        self.on_the_way.pop().map(|Reverse(delivery)| delivery)
    }

    /// Sends a datagram at `now` from one member to another.
    pub(super) fn send(
        &mut self,
        now: Nanos,
        (from, from_addr): (usize, SocketAddr),
        to: usize,
        datagram: &[u8],
    ) {
        let NetworkConditions { loss, delay, jitter, duplicate } = self.conditions;
        if self.cuts.contains(&(self.groups[from], self.groups[to])) {
            return;
        }
        let copies = if self.draw(duplicate) { 2 } else { 1 };
        for _ in 0..copies {
            if self.draw(loss) {
                continue;
            }
            let late = if jitter > 0 { self.rng.next_u64() % jitter } else { 0 };
            self.sequence += 1;
            self.on_the_way.push(Reverse(Delivery {
                at: now + delay + late,
                sequence: self.sequence,
                to,
                from: from_addr,
                datagram: datagram.to_vec(),
            }));
        }
    }

    /// True with the given probability; draws no number where that is 0.
    fn draw(&mut self, probability: f64) -> bool {
        probability > 0.0 && (self.rng.next_u64() as f64 / u64::MAX as f64) < probability
    }
}
