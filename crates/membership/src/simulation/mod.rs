//! Simulation of a fleet of members and its network. The simulation uses simulated time, does no I/O, and is
//! deterministic for a given seed. A run can include packet loss, delay, jitter, duplication, one-way and
//! two-way partitions, crashes, stalls and restarts. Tests use the simulation, and it produces the figures in
//! `docs/membership.md`.

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

/// UDP port of every simulated member. The members' addresses are 127.1.0.0 to 127.1.255.255.
const PORT: u16 = 7000;
const NETWORK: [u8; 2] = [127, 1];

/// A scheduled call of [`Membership::handle_timeout`] for the member with index `member`, due at the time
/// `at`.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Timeout {
    at: Nanos,
    member: usize,
}

/// A simulated fleet: the members, addressed by index, the network between them, and the simulated time.
pub struct SimulatedFleet {
    settings: Settings,
    seed: u64,
    now: Nanos,
    processes: Vec<Process>,
    network: Network,
    /// Scheduled deadlines of the members. When a member's deadline changes, its old entry stays in the
    /// queue; such an outdated entry is skipped.
    timeouts: BinaryHeap<Reverse<Timeout>>,
    /// Number of threads that run the members. With one thread, the simulation runs event by event. With more
    /// threads, it runs in time windows. The length of a window is the network's minimum delay, which must be
    /// above 0. A datagram sent within a window therefore arrives in a later window, so the result does not
    /// depend on the number of threads.
    pub threads: usize,
    /// Number of datagrams that all members have sent since the start of the simulation.
    pub sent: u64,
    /// Total size of the datagrams that all members have sent since the start of the simulation, in bytes.
    pub sent_bytes: u64,
}

impl SimulatedFleet {
    /// Creates a fleet of `members` members. No member is started yet.
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

    /// Returns the number of members, including those that are not started.
    pub fn len(&self) -> usize {
        self.processes.len()
    }

    /// Returns true if the fleet has no members.
    pub fn is_empty(&self) -> bool {
        self.processes.is_empty()
    }

    /// Returns the simulated time since the start of the simulation, in nanoseconds.
    pub fn now(&self) -> Nanos {
        self.now
    }

    /// Returns the network address of the member with the index `member`.
    pub fn addr(member: usize) -> SocketAddr {
        let [.., high, low] = (member as u32).to_be_bytes();
        let [first, second] = NETWORK;
        SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::new(first, second, high, low), PORT))
    }

    /// Returns the index of the member with this address; `None` if the address does not belong to the
    /// simulated fleet.
    fn member_at(addr: SocketAddr) -> Option<usize> {
        let SocketAddr::V4(addr) = addr else { return None };
        let [first, second, high, low] = addr.ip().octets();
        let is_member = addr.port() == PORT && [first, second] == NETWORK;
        is_member.then(|| usize::from(u16::from_be_bytes([high, low])))
    }

    /// Returns the seed for the random numbers of a member. Each incarnation of the member has a different
    /// seed.
    fn member_seed(&self, member: usize, incarnation: u64) -> u64 {
        self.seed ^ ((member as u64) << 20) ^ incarnation
    }

    fn new_membership(&self, name: String, member: usize, incarnation: u64, seed: u64) -> Membership {
        let me = MemberId { name, addr: SimulatedFleet::addr(member), incarnation };
        Membership::new(me, &self.settings, seed, self.now).expect("the caller passes valid settings")
    }

    /// Starts a member, which announces itself to the seeds. A member that was started before gets its next
    /// incarnation.
    pub fn start(&mut self, member: usize, seeds: &[usize]) {
        let incarnation = self.processes[member].incarnation + 1;
        let seed = self.member_seed(member, incarnation);
        let mut membership = self.new_membership(format!("server-{member}"), member, incarnation, seed);
        let seeds: Vec<SocketAddr> = seeds.iter().map(|seed| SimulatedFleet::addr(*seed)).collect();
        membership.join(&seeds, self.now);
        self.processes[member].start(membership, incarnation);
        self.finish_event(member);
    }

    /// Kills a member's process at once (SIGKILL), so that it cannot announce to the fleet that it leaves.
    pub fn crash(&mut self, member: usize) {
        self.processes[member].crash();
    }

    /// Stalls a member's process (SIGSTOP): its timers do not fire, and its socket buffers a limited number
    /// of datagrams.
    pub fn stall(&mut self, member: usize) {
        self.processes[member].is_stalled = true;
    }

    /// Resumes a stalled member (SIGCONT): its overdue timers fire, and the datagrams in its socket buffer
    /// are handled.
    pub fn resume(&mut self, member: usize) {
        self.processes[member].resume(self.now);
        self.finish_event(member);
    }

    /// Assigns a member to a group of members that [`SimulatedFleet::cut_one_way`] can separate. Initially
    /// all members are in group 0.
    pub fn assign_group(&mut self, member: usize, group: u32) {
        self.network.assign_group(member, group);
    }

    /// Partitions the network in one direction: until [`SimulatedFleet::heal`] is called, all datagrams from
    /// group `from` to group `to` are lost.
    pub fn cut_one_way(&mut self, from: u32, to: u32) {
        self.network.cut_one_way(from, to);
    }

    /// Ends all partitions.
    pub fn heal(&mut self) {
        self.network.heal();
    }

    /// Returns the member with the index `member`; `None` if its process does not exist.
    pub fn member(&self, member: usize) -> Option<&Membership> {
        self.processes[member].membership.as_ref()
    }

    /// Returns a mutable reference to the member with the index `member`; `None` if its process does not
    /// exist.
    pub fn member_mut(&mut self, member: usize) -> Option<&mut Membership> {
        self.processes[member].membership.as_mut()
    }

    /// Returns true if the member's process exists and is not stalled.
    pub fn is_running(&self, member: usize) -> bool {
        self.processes[member].is_running()
    }

    /// Called after a member has processed an event. Sends the datagrams that the member has queued, and
    /// schedules the member's next deadline.
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

    /// Returns the time of the next event: the arrival of a datagram or a member's deadline, whichever is
    /// earlier.
    fn next_event(&self) -> Option<Nanos> {
        let timeout = self.timeouts.peek().map(|Reverse(timeout)| timeout.at);
        self.network.next_arrival().into_iter().chain(timeout).min()
    }

    /// Runs the simulation until all events up to and including the time `until` are processed.
    pub fn run_until(&mut self, until: Nanos) {
        if self.threads > 1 && self.network.min_delay() > 0 {
            self.run_windows(until);
        } else {
            self.run_events(until);
        }
        self.now = self.now.max(until);
    }

    /// Runs the simulation event by event, up to and including the time `until`. At equal times, the arrival
    /// of a datagram is processed before a deadline.
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

    /// Takes the earliest deadline from the queue, and processes it. Skips the deadline if it is outdated or
    /// if its member is not running.
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

    /// Returns whether the views of all running members in `members` agree. Views agree if each lists exactly
    /// the other members of `members` as alive or suspect, with their current incarnations.
    pub fn views_agree(&self, members: &[usize]) -> bool {
        let current = |member: &usize| self.processes[*member].current_incarnation();
        let identity = |member: &usize| (SimulatedFleet::addr(*member), current(member));
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

    /// Runs the simulation until the views of `members` agree. Checks the views at intervals of `step`.
    /// Returns the elapsed simulated time, or `None` if the views do not agree within `limit`.
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
