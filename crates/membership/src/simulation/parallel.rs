//! Runs the members of a simulated fleet on several threads, for fleets of thousands of members. The result
//! does not depend on the number of threads.

use super::process::{Arrival, Process, Sent};
use super::{SimulatedFleet, Timeout};
use crate::{MemberId, Membership, Nanos};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::thread;

/// Minimum number of members per thread. For fewer members, starting a thread takes more time than the thread
/// saves.
const MEMBERS_PER_THREAD_MIN: usize = 4;

const FIRST_INCARNATION: u64 = 1;

/// The work of one member within one time window: the process to run, and the datagrams that arrive in the
/// window.
struct WindowTask<'a> {
    member: usize,
    process: &'a mut Process,
    arrivals: Vec<Arrival>,
}

/// Datagrams that one member sent at the same simulated time.
struct SentByMember {
    member: usize,
    sent: Sent,
}

/// Result of running members for one time window: the datagrams that the members sent, and the members' next
/// deadlines.
#[derive(Default)]
struct WindowOutcome {
    sent: Vec<SentByMember>,
    timeouts: Vec<Timeout>,
}

impl WindowTask<'_> {
    fn run(&mut self, now: Nanos, end: Nanos, outcome: &mut WindowOutcome) {
        let arrivals = std::mem::take(&mut self.arrivals);
        for sent in self.process.run_window(now, end, arrivals) {
            outcome.sent.push(SentByMember { member: self.member, sent });
        }
        // A stalled member has no deadline to schedule here. Its deadline is scheduled when it resumes.
        if self.process.is_running() {
            let timeout = self.process.next_timeout();
            outcome.timeouts.extend(timeout.map(|at| Timeout { at, member: self.member }));
        }
    }
}

impl SimulatedFleet {
    /// Starts all members with complete views of the fleet. This skips the simulation of the joins, whose
    /// cost grows with the square of the number of members.
    pub fn start_with_complete_views(&mut self) {
        let count = self.processes.len();
        let share = count.div_ceil(self.threads.max(1)).max(1);
        let mut processes = std::mem::take(&mut self.processes);
        let fleet = &*self;
        thread::scope(|scope| {
            for (part, processes) in processes.chunks_mut(share).enumerate() {
                scope.spawn(move || {
                    for (offset, process) in processes.iter_mut().enumerate() {
                        let membership = fleet.membership_with_complete_view(part * share + offset, count);
                        process.start(membership, FIRST_INCARNATION);
                    }
                });
            }
        });
        self.processes = processes;
        for member in 0..count {
            self.finish_event(member);
        }
    }

    fn membership_with_complete_view(&self, member: usize, count: usize) -> Membership {
        let name = |member: usize| format!("s{member}");
        let seed = self.member_seed(member, 0);
        let mut membership = self.new_membership(name(member), member, FIRST_INCARNATION, seed);
        let ids = (0..count).map(|member| MemberId {
            name: name(member),
            addr: SimulatedFleet::addr(member),
            incarnation: FIRST_INCARNATION,
        });
        membership.restore(ids, self.now);
        membership.take_changes();
        membership
    }

    /// Runs the simulation in time windows. The length of a window is the network's minimum delay. For each
    /// window, assigns the arriving datagrams to their receivers and runs the members in parallel.
    /// Afterwards, the datagrams that the members sent are passed to the network, ordered by time and then by
    /// member.
    pub(super) fn run_windows(&mut self, until: Nanos) {
        while let Some(next) = self.next_event().filter(|next| *next <= until) {
            let now = self.now;
            let end = (next.max(now) + self.network.min_delay()).min(until + 1);
            let outcome = self.run_window(now, end);
            for SentByMember { member, sent } in outcome.sent {
                self.now = sent.at;
                self.send(member, sent.transmits);
            }
            self.timeouts.extend(outcome.timeouts.into_iter().map(Reverse));
            self.now = self.now.max(end - 1);
        }
    }

    fn run_window(&mut self, now: Nanos, end: Nanos) -> WindowOutcome {
        let mut arrivals = self.arrivals_before(end);
        let mut tasks = Vec::new();
        for (member, process) in self.processes.iter_mut().enumerate() {
            if let Some(arrivals) = arrivals.remove(&member) {
                tasks.push(WindowTask { member, process, arrivals });
            }
        }
        let mut outcome = run_tasks(tasks, self.threads, now, end);
        outcome.sent.sort_by_key(|sent| (sent.sent.at, sent.member));
        outcome
    }

    /// Returns the datagrams that arrive before `end`, grouped by receiving member. A member that receives
    /// none but has a deadline before `end` is included with an empty list.
    fn arrivals_before(&mut self, end: Nanos) -> BTreeMap<usize, Vec<Arrival>> {
        let mut arrivals: BTreeMap<usize, Vec<Arrival>> = BTreeMap::new();
        while let Some(delivery) = self.network.pop_before(end) {
            let arrival = Arrival { at: delivery.at, from: delivery.from, datagram: delivery.datagram };
            arrivals.entry(delivery.to).or_default().push(arrival);
        }
        while self.timeouts.peek().is_some_and(|Reverse(timeout)| timeout.at < end) {
            if let Some(Reverse(timeout)) = self.timeouts.pop() {
                arrivals.entry(timeout.member).or_default();
            }
        }
        arrivals
    }
}

/// Runs all members of `tasks` for one time window, on up to `threads` threads. The results are ordered by
/// member.
fn run_tasks(mut tasks: Vec<WindowTask>, threads: usize, now: Nanos, end: Nanos) -> WindowOutcome {
    let share = tasks.len().div_ceil(threads).max(MEMBERS_PER_THREAD_MIN);
    let run = |part: &mut [WindowTask]| {
        let mut outcome = WindowOutcome::default();
        for task in part {
            task.run(now, end, &mut outcome);
        }
        outcome
    };
    let mut whole = WindowOutcome::default();
    thread::scope(|scope| {
        let mut parts = tasks.chunks_mut(share);
        // The members are divided into one part per thread. The current thread runs the first part itself, so
        // only the other parts get new threads.
        let first = parts.next();
        let others: Vec<_> = parts.map(|part| scope.spawn(move || run(part))).collect();
        let mut outcomes: Vec<WindowOutcome> = first.map(run).into_iter().collect();
        for other in others {
            outcomes.push(other.join().expect("a member does not panic"));
        }
        for outcome in outcomes {
            whole.sent.extend(outcome.sent);
            whole.timeouts.extend(outcome.timeouts);
        }
    });
    whole
}

/// Returns whether the condition `holds` is true for all `members`. The condition is evaluated on up to
/// `threads` threads.
pub(super) fn all(members: &[usize], threads: usize, holds: &(impl Fn(&usize) -> bool + Sync)) -> bool {
    let share = members.len().div_ceil(threads).max(1);
    thread::scope(|scope| {
        let parts = members.chunks(share).map(|part| scope.spawn(move || part.iter().all(holds)));
        let parts: Vec<_> = parts.collect();
        parts.into_iter().all(|part| part.join().expect("reading a view does not panic"))
    })
}
