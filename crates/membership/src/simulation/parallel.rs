//! Members played side by side over several threads, for fleets of thousands. The outcome does not depend on
//! the number of threads.

use super::process::{Arrival, Process, Sent};
use super::{SimulatedFleet, Timeout};
use crate::{MemberId, Membership, Nanos};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::thread;

/// Least number of members that a thread is given: fewer do not pay for its start.
const MEMBERS_PER_THREAD_MIN: usize = 4;

const FIRST_INCARNATION: u64 = 1;

/// A member with what arrives at it within a window.
struct WindowTask<'a> {
    member: usize,
    process: &'a mut Process,
    arrivals: Vec<Arrival>,
}

/// What one member sent at one time.
struct SentByMember {
    member: usize,
    sent: Sent,
}

/// What members did within a window.
#[derive(Default)]
struct WindowOutcome {
    sent: Vec<SentByMember>,
    timeouts: Vec<Timeout>,
}

impl WindowTask<'_> {
    fn play(&mut self, now: Nanos, end: Nanos, outcome: &mut WindowOutcome) {
        let arrivals = std::mem::take(&mut self.arrivals);
        for sent in self.process.play_window(now, end, arrivals) {
            outcome.sent.push(SentByMember { member: self.member, sent });
        }
        // A stalled member has its deadline noted again when it resumes.
        if self.process.is_running() {
            let timeout = self.process.next_timeout();
            outcome.timeouts.extend(timeout.map(|at| Timeout { at, member: self.member }));
        }
    }
}

impl SimulatedFleet {
    /// Starts all members with the whole fleet known to each already: the join of many thousands takes the
    /// square of their number.
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

    /// Plays in windows of the network's least delay: the arrivals of a window are sorted to their members,
    /// which are played side by side, and what they send is put on the network in the order of time and
    /// member.
    pub(super) fn run_windows(&mut self, until: Nanos) {
        while let Some(next) = self.next_event().filter(|next| *next <= until) {
            let now = self.now;
            let end = (next.max(now) + self.network.least_delay()).min(until + 1);
            let outcome = self.play_window(now, end);
            for SentByMember { member, sent } in outcome.sent {
                self.now = sent.at;
                self.send(member, sent.transmits);
            }
            self.timeouts.extend(outcome.timeouts.into_iter().map(Reverse));
            self.now = self.now.max(end - 1);
        }
    }

    fn play_window(&mut self, now: Nanos, end: Nanos) -> WindowOutcome {
        let mut arrivals = self.arrivals_before(end);
        let mut tasks = Vec::new();
        for (member, process) in self.processes.iter_mut().enumerate() {
            if let Some(arrivals) = arrivals.remove(&member) {
                tasks.push(WindowTask { member, process, arrivals });
            }
        }
        let mut outcome = play_tasks(tasks, self.threads, now, end);
        outcome.sent.sort_by_key(|sent| (sent.sent.at, sent.member));
        outcome
    }

    /// What arrives before `end`, by member; empty for one that has only a deadline before it.
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

/// Plays each member's window; the outcomes are in the order of the members.
fn play_tasks(mut tasks: Vec<WindowTask>, threads: usize, now: Nanos, end: Nanos) -> WindowOutcome {
    let share = tasks.len().div_ceil(threads).max(MEMBERS_PER_THREAD_MIN);
    let play = |part: &mut [WindowTask]| {
        let mut outcome = WindowOutcome::default();
        for task in part {
            task.play(now, end, &mut outcome);
        }
        outcome
    };
    let mut whole = WindowOutcome::default();
    thread::scope(|scope| {
        let mut parts = tasks.chunks_mut(share);
        // This thread plays the first part itself.
        let first = parts.next();
        let others: Vec<_> = parts.map(|part| scope.spawn(move || play(part))).collect();
        let mut outcomes: Vec<WindowOutcome> = first.map(play).into_iter().collect();
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

/// Whether the predicate holds for all members, looked at over several threads.
pub(super) fn all(members: &[usize], threads: usize, holds: &(impl Fn(&usize) -> bool + Sync)) -> bool {
    let share = members.len().div_ceil(threads).max(1);
    thread::scope(|scope| {
        let parts = members.chunks(share).map(|part| scope.spawn(move || part.iter().all(holds)));
        let parts: Vec<_> = parts.collect();
        parts.into_iter().all(|part| part.join().expect("reading a view does not panic"))
    })
}
