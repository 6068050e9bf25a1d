//! The simulated network. It holds the datagrams in flight and can lose, delay and duplicate datagrams.

use crate::Nanos;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};
use std::net::SocketAddr;

/// Conditions that apply to every datagram in the network: the probabilities of loss and duplication, and the
/// delay.
#[derive(Clone, Copy, Debug, Default)]
pub struct NetworkConditions {
    /// Probability that a datagram is lost, 0 to 1.
    pub loss: f64,
    /// Minimum delay in nanoseconds.
    pub delay: Nanos,
    /// Upper bound of the random delay, in nanoseconds. The random delay is added to the minimum delay.
    pub jitter: Nanos,
    /// Probability that a datagram is duplicated, 0 to 1.
    pub duplicate: f64,
}

/// A datagram in flight. Datagrams are delivered in the order of their arrival times. Datagrams with the same
/// arrival time are delivered in the order in which they were sent.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Delivery {
    pub(super) at: Nanos,
    sequence: u64,
    /// Index of the member that receives the datagram.
    pub(super) to: usize,
    pub(super) from: SocketAddr,
    pub(super) datagram: Vec<u8>,
}

/// The state of the simulated network: the datagrams in flight, and the partitions between groups of members.
pub(super) struct Network {
    conditions: NetworkConditions,
    in_flight: BinaryHeap<Reverse<Delivery>>,
    sequence: u64,
    /// The group of each member. The position in the vector is the member's index.
    groups: Vec<u32>,
    /// One-way partitions, as pairs of groups: datagrams from the first group to the second are lost.
    cuts: HashSet<(u32, u32)>,
    rng: ChaCha8Rng,
}

impl Network {
    pub(super) fn new(members: usize, seed: u64, conditions: NetworkConditions) -> Network {
        Network {
            conditions,
            in_flight: BinaryHeap::new(),
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

    /// Returns the minimum time from the sending of a datagram to its arrival, in nanoseconds.
    pub(super) fn min_delay(&self) -> Nanos {
        self.conditions.delay
    }

    /// Returns the arrival time of the datagram that arrives next; `None` if no datagram is in flight.
    pub(super) fn next_arrival(&self) -> Option<Nanos> {
        self.in_flight.peek().map(|Reverse(delivery)| delivery.at)
    }

    /// Removes and returns the datagram that arrives next, if its arrival time is before `end`.
    pub(super) fn pop_before(&mut self, end: Nanos) -> Option<Delivery> {
        if self.next_arrival().is_none_or(|at| at >= end) {
            return None;
        }
        self.in_flight.pop().map(|Reverse(delivery)| delivery)
    }

    /// Sends a datagram from one member to another at the time `now`. The datagram may be lost or duplicated.
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
            let random_delay = if jitter > 0 { self.rng.next_u64() % jitter } else { 0 };
            self.sequence += 1;
            self.in_flight.push(Reverse(Delivery {
                at: now + delay + random_delay,
                sequence: self.sequence,
                to,
                from: from_addr,
                datagram: datagram.to_vec(),
            }));
        }
    }

    /// Returns true with the given probability. If the probability is 0, draws no random number.
    fn draw(&mut self, probability: f64) -> bool {
        probability > 0.0 && (self.rng.next_u64() as f64 / u64::MAX as f64) < probability
    }
}
