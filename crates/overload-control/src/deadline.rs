//! Deadlines: until when an answer is owed, until when it has its full value, and until when a run may start.

use crate::{Arrival, Nanos, Operation};
use meadowstream_pending_queue::UsualTimes;

/// Share of the latency objective that is left for the way back to the client.
const RETURN_SHARE: f64 = 0.02;

/// Deadlines of an invocation, fixed at its arrival.
#[derive(Clone, Copy, Debug, Default)]
pub struct Deadlines {
    /// When the final answer is owed: the caller waits no longer.
    pub answer: Nanos,
    /// Until when the answer has its full value; never after the caller's deadline.
    pub objective: Nanos,
}

impl Deadlines {
    /// The deadlines of an arrival that is read now.
    pub fn of(arrival: &Arrival, operation: &Operation, now: Nanos) -> Self {
        let reached = now.saturating_sub(arrival.age);
        let caller = match arrival.remaining_deadline {
            Some(remaining) => now + remaining,
            None => reached + operation.client_timeout,
        };
        let objective = reached + (operation.latency_objective as f64 * (1.0 - RETURN_SHARE)) as Nanos;
        Self { answer: caller.max(now), objective: objective.min(caller) }
    }

    /// Until when the answer of an invocation that has left the queue is waited for. A late answer is waited
    /// for where it has a value, or where the run may have had an effect.
    pub fn wait_until(&self, is_late_useful: bool, last_answers: Nanos) -> Nanos {
        let useful = if is_late_useful { self.answer } else { self.objective };
        self.answer.min(last_answers).min(useful)
    }
}

/// When a pending invocation has to start, by operation and objective deadline; by the last answers of a
/// draining server at the latest.
pub fn latest_start(usual_times: &[UsualTimes], last_answers: Nanos) -> impl Fn(usize, Nanos) -> Nanos + '_ {
    move |operation, objective| {
        let usual = usual_times[operation].elapsed_ns as Nanos;
        objective.saturating_sub(usual).min(last_answers)
    }
}
