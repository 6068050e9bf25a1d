//! A fleet of members on a simulated network in simulated time, deterministic from its seed: loss, delay and
//! jitter, duplication, one-way and two-way partitions, crashes, stalls and restarts. For tests and for the
//! figures of `docs/membership.md`; no I/O.

mod network;
mod parallel;
mod process;

pub use network::NetworkConditions;

use crate::{MemberId, Membership, Nanos, Settings, Transmit};
use network::Network;
use process::Process;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

/// Simulated members have addresses 127.1.0.0 to 127.1.255.255 at this port.
const PORT: u16 = 7000;
const NETWORK: [u8; 2] = [127, 1];

/// A deadline of a member.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Timeout {
    at: Nanos,
    member: usize,
}

/// Members by index, the network between them, and the simulated time.
pub struct SimulatedFleet {
    settings: Settings,
    seed: u64,
    now: Nanos,
    processes: Vec<Process>,
    network: Network,
    /// Deadlines of the members; those that a later event has moved are passed over.
    timeouts: BinaryHeap<Reverse<Timeout>>,
    /// Threads that play members. One plays event by event. More play in windows of the network's least
    /// delay, within which no member receives what another sends, so that the outcome is the same for any
    /// number; they require a delay above 0.
    pub threads: usize,
    /// Datagrams sent since the start.
    pub sent: u64,
    /// Bytes sent since the start.
    pub sent_bytes: u64,
}

impl SimulatedFleet {
    /// A fleet of `members`, none of them started.
    pub fn new(
        members: usize,
        settings: Settings,
        seed: u64,
        conditions: NetworkConditions,
    ) -> SimulatedFleet {
        SimulatedFleet {
            settings,
            seed,
            now: 0,
            processes: (0..members).map(|_| Process::default()).collect(),
            network: Network::new(members, seed, conditions),
            timeouts: BinaryHeap::new(),
            threads: 1,
            sent: 0,
            sent_bytes: 0,
        }
    }

    /// Number of members, started or not.
    pub fn len(&self) -> usize {
        self.processes.len()
    }

    /// Whether the fleet has no member.
    pub fn is_empty(&self) -> bool {
        self.processes.is_empty()
    }

    /// The simulated time in nanoseconds since the start.
    pub fn now(&self) -> Nanos {
        self.now
    }

    /// Address of a member.
    pub fn addr(member: usize) -> SocketAddr {
        let [.., high, low] = (member as u32).to_be_bytes();
        let [first, second] = NETWORK;
        SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::new(first, second, high, low), PORT))
    }

    /// The member that has an address.
    fn member_at(addr: SocketAddr) -> Option<usize> {
        let SocketAddr::V4(addr) = addr else { return None };
        let [first, second, high, low] = addr.ip().octets();
        let is_member = addr.port() == PORT && [first, second] == NETWORK;
        is_member.then(|| usize::from(u16::from_be_bytes([high, low])))
    }

    /// Seed of the random draws of one member in one incarnation.
    fn member_seed(&self, member: usize, incarnation: u64) -> u64 {
        self.seed ^ ((member as u64) << 20) ^ incarnation
    }

    fn new_membership(&self, name: String, member: usize, incarnation: u64, seed: u64) -> Membership {
        let me = MemberId { name, addr: SimulatedFleet::addr(member), incarnation };
        Membership::new(me, &self.settings, seed, self.now)
            .expect("the caller gives settings that can be used")
    }

    /// Starts a member, or starts it again with a higher incarnation, and announces it to the seeds.
    pub fn start(&mut self, member: usize, seeds: &[usize]) {
        let incarnation = self.processes[member].incarnation + 1;
        let seed = self.member_seed(member, incarnation);
        let mut membership = self.new_membership(format!("server-{member}"), member, incarnation, seed);
        let seeds: Vec<SocketAddr> = seeds.iter().map(|seed| SimulatedFleet::addr(*seed)).collect();
        membership.join(&seeds, self.now);
        self.processes[member].start(membership, incarnation);
        self.finish_event(member);
    }

    /// Kills a member without notice (SIGKILL).
    pub fn crash(&mut self, member: usize) {
        self.processes[member].crash();
    }

    /// Stops a member's timers and reading (SIGSTOP); its socket buffers a few datagrams.
    pub fn stall(&mut self, member: usize) {
        self.processes[member].is_stalled = true;
    }

    /// Continues a stalled member (SIGCONT): late timers fire and buffered datagrams are read.
    pub fn resume(&mut self, member: usize) {
        self.processes[member].resume(self.now);
        self.finish_event(member);
    }

    /// Puts a member in a group, all being in group 0 at first; see [`SimulatedFleet::cut_one_way`].
    pub fn assign_group(&mut self, member: usize, group: u32) {
        self.network.assign_group(member, group);
    }

    /// Loses all datagrams from one group to another from now on, one way.
    pub fn cut_one_way(&mut self, from: u32, to: u32) {
        self.network.cut_one_way(from, to);
    }

    /// Ends every cut.
    pub fn heal(&mut self) {
        self.network.heal();
    }

    /// A member, where its process exists.
    pub fn member(&self, member: usize) -> Option<&Membership> {
        self.processes[member].membership.as_ref()
    }

    /// A member, where its process exists.
    pub fn member_mut(&mut self, member: usize) -> Option<&mut Membership> {
        self.processes[member].membership.as_mut()
    }

    /// Whether a member's process exists and is not stalled.
    pub fn is_running(&self, member: usize) -> bool {
        self.processes[member].is_running()
    }

    /// Sends what a member has to send after an event, and notes its next deadline.
    fn finish_event(&mut self, member: usize) {
        let Some(membership) = self.member_mut(member) else { return };
        let transmits = membership.take_transmits();
        self.send(member, transmits);
        let timeout = self.processes[member].next_timeout();
        self.timeouts.extend(timeout.map(|at| Reverse(Timeout { at, member })));
    }

    fn send(&mut self, member: usize, transmits: Vec<Transmit>) {
        let from = (member, SimulatedFleet::addr(member));
        for Transmit { to, datagram } in transmits {
            self.sent += 1;
            self.sent_bytes += datagram.len() as u64;
            if let Some(to) = SimulatedFleet::member_at(to) {
                self.network.send(self.now, from, to, &datagram);
            }
        }
    }

    /// When the next event is: a datagram's arrival or a deadline.
    fn next_event(&self) -> Option<Nanos> {
        let timeout = self.timeouts.peek().map(|Reverse(timeout)| timeout.at);
        self.network.next_arrival().into_iter().chain(timeout).min()
    }

    /// Plays every event up to `until`.
    pub fn run_until(&mut self, until: Nanos) {
        if self.threads > 1 && self.network.least_delay() > 0 {
            self.run_windows(until);
        } else {
            self.run_events(until);
        }
        self.now = self.now.max(until);
    }

    /// Plays event by event; of those at one time arrivals come first.
    fn run_events(&mut self, until: Nanos) {
        while let Some(next) = self.next_event().filter(|next| *next <= until) {
            self.now = self.now.max(next);
            if let Some(delivery) = self.network.pop_before(next + 1) {
                let receiver = &mut self.processes[delivery.to];
                if receiver.receive(delivery.from, delivery.datagram, self.now) {
                    self.finish_event(delivery.to);
                }
            } else {
                self.fire_timeout();
            }
        }
    }

    /// Plays the earliest deadline, where its member still has it.
    fn fire_timeout(&mut self) {
        let Some(Reverse(Timeout { at, member })) = self.timeouts.pop() else { return };
        let process = &mut self.processes[member];
        if !process.is_running() || process.next_timeout() != Some(at) {
            return;
        }
        if let Some(membership) = process.membership.as_mut() {
            membership.handle_timeout(self.now);
        }
        self.finish_event(member);
    }

    /// Whether each of these members that runs has exactly the others of them as members alive or suspect,
    /// each in its present incarnation.
    pub fn views_agree(&self, members: &[usize]) -> bool {
        let present = |member: &usize| self.processes[*member].present_incarnation();
        let identity = |member: &usize| (SimulatedFleet::addr(*member), present(member));
        let mut expected: Vec<(SocketAddr, u64)> = members.iter().map(identity).collect();
        expected.sort();
        let has_expected = |member: &usize| {
            let Some(membership) = self.member(*member) else { return true };
            let mut view = membership.members();
            view.push(identity(member));
            view.sort();
            view == expected
        };
        parallel::all(members, self.threads, &has_expected)
    }

    /// Plays in steps until the views of `members` agree or `limit` has passed; the time it took, if they do.
    pub fn run_until_views_agree(&mut self, members: &[usize], step: Nanos, limit: Nanos) -> Option<Nanos> {
        let start = self.now;
        while self.now - start <= limit {
            if self.views_agree(members) {
                return Some(self.now - start);
            }
            self.run_until(self.now + step);
        }
        None
    }
}
