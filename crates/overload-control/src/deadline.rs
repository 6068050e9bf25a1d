//! Deadlines: for the answer, for an answer of full value, and for the start of a run.

use crate::{Arrival, Nanos, Operation};
use meadowstream_pending_queue::UsualTimes;

/// Share of the latency objective reserved for the transfer of the answer to the client.
const RETURN_SHARE: f64 = 0.02;

/// Deadlines of an invocation, fixed at its arrival.
#[derive(Clone, Copy, Debug, Default)]
pub struct Deadlines {
    /// Answer deadline: the caller does not wait for an answer after this time.
    pub answer: Nanos,
    /// Objective deadline: an answer has its full value up to this time, which is never after the caller's
    /// deadline.
    pub objective: Nanos,
}

impl Deadlines {
    /// Computes the deadlines of an arrival that is read at `now`.
    pub fn of(arrival: &Arrival, operation: &Operation, now: Nanos) -> Self {
        let reached = now.saturating_sub(arrival.age);
        let caller = match arrival.remaining_deadline {
            Some(remaining) => now + remaining,
            None => reached + operation.client_timeout,
        };
        let objective = reached + (operation.latency_objective as f64 * (1.0 - RETURN_SHARE)) as Nanos;
        Self { answer: caller.max(now), objective: objective.min(caller) }
    }

    /// Returns the time until which the controller waits for the result of an invocation that has left the
    /// queue. It waits beyond the objective if a late answer has value, or if the run may have taken
    /// effect.
    pub fn wait_until(&self, is_late_useful: bool, last_answers: Nanos) -> Nanos {
        let useful = if is_late_useful { self.answer } else { self.objective };
        self.answer.min(last_answers).min(useful)
    }
}

/// Returns the latest start of a pending invocation as a function of its operation and objective deadline.
/// It is at most `last_answers`, the time of the last answers of a draining server.
pub fn latest_start(usual_times: &[UsualTimes], last_answers: Nanos) -> impl Fn(usize, Nanos) -> Nanos + '_ {
    move |operation, objective| {
        let usual = usual_times[operation].elapsed_ns as Nanos;
        objective.saturating_sub(usual).min(last_answers)
    }
}
