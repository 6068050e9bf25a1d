//! Deadlines of an invocation: the latest useful time of an answer, the latest time of an answer with full
//! value, and the latest start of the run.

use crate::{Arrival, Nanos, Operation};
use meadowstream_pending_queue::UsualTimes;

/// Share of the latency objective that is reserved for sending the answer to the client. A run must end this
/// much earlier than the objective, so that its answer arrives in time.
const RETURN_SHARE: f64 = 0.02;

/// Deadlines of an invocation, computed once when it arrives.
#[derive(Clone, Copy, Debug, Default)]
pub struct Deadlines {
    /// Answer deadline: after this time the caller no longer waits for an answer.
    pub answer: Nanos,
    /// Objective deadline: an answer has its full value until this time. The objective deadline is never
    /// later than the caller's own deadline.
    pub objective: Nanos,
}

impl Deadlines {
    /// Computes the deadlines of an arrival that the host reads at `now`.
    pub fn of(arrival: &Arrival, operation: &Operation, now: Nanos) -> Self {
        let reached = now.saturating_sub(arrival.age);
        let caller = match arrival.remaining_deadline {
            Some(remaining) => now + remaining,
            None => reached + operation.client_timeout,
        };
        let objective = reached + (operation.latency_objective as f64 * (1.0 - RETURN_SHARE)) as Nanos;
        Self { answer: caller.max(now), objective: objective.min(caller) }
    }

    /// Returns the time at which the controller stops waiting for the result of an invocation that has left
    /// the pending queue. This time is the answer deadline if a late result is useful (`is_late_useful`), and
    /// otherwise the objective deadline. The time is never later than `last_answers`, the time at which a
    /// draining server sends its last answers.
    pub fn wait_until(&self, is_late_useful: bool, last_answers: Nanos) -> Nanos {
        let useful = if is_late_useful { self.answer } else { self.objective };
        self.answer.min(last_answers).min(useful)
    }
}

/// Returns a function that computes the latest time at which a pending invocation may start. The arguments of
/// the function are the operation and the objective deadline of the invocation. The result is never later
/// than `last_answers`, the time at which a draining server sends its last answers.
pub fn latest_start(usual_times: &[UsualTimes], last_answers: Nanos) -> impl Fn(usize, Nanos) -> Nanos + '_ {
    move |operation, objective| {
        let usual = usual_times[operation].elapsed_ns as Nanos;
        objective.saturating_sub(usual).min(last_answers)
    }
}
