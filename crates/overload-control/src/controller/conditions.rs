//! What the rules and events read off the state.

use super::Controller;
use crate::admission::{Admission, Distress};
use crate::downstream_calls::OpenCalls;
use crate::invocations::{Invocation, InvocationState};
use crate::regulator::CONTROL_PERIOD;
use crate::scheduling::RunLimits;
use crate::{Effect, Nanos};

impl Controller {
    pub(super) fn running(&self) -> f64 {
        self.invocations.count(&[InvocationState::Running])
    }

    /// Runs on the cores and at downstream calls.
    pub(super) fn open_runs(&self) -> f64 {
        let states = [InvocationState::Running, InvocationState::AwaitingCall, InvocationState::Calling];
        self.invocations.count(&states)
    }

    pub(super) fn open_calls(&self) -> OpenCalls {
        OpenCalls {
            awaiting: self.invocations.count(&[InvocationState::AwaitingCall]),
            calling: self.invocations.count(&[InvocationState::Calling]),
        }
    }

    pub(super) fn is_idempotent(&self, invocation: &Invocation) -> bool {
        self.effect(invocation) == Effect::Idempotent
    }

    pub(super) fn run_limits(&self) -> RunLimits {
        RunLimits {
            concurrency: self.concurrency.get(),
            survivable: self.concurrency.survivable(self.now),
            reading_threads: self.reading.threads(),
            cores: self.deployment.cores,
            is_downstream_tier: self.deployment.is_downstream_tier,
        }
    }

    /// Memory of invocations and idempotency keys, KB.
    pub(super) fn memory_needed_kb(&self) -> f64 {
        self.invocations.memory_kb() + self.keys.memory_kb()
    }

    /// Until when the answer of one that is not pending is waited for.
    pub(super) fn wait_until(&self, invocation: &Invocation) -> Nanos {
        let has_late_value = self.deployment.operations[invocation.operation].late_value > 0.0;
        let is_late_useful = has_late_value || !self.is_idempotent(invocation);
        invocation.deadlines.wait_until(is_late_useful, self.draining.last_answers())
    }

    /// Time that arrivals lie unread beyond what is ordinary, ns.
    pub(super) fn excess_reading_delay(&self) -> f64 {
        self.reading.excess_delay(self.now, self.times.longest_core_ns())
    }

    pub(super) fn unhealthy_ratio(&self) -> f64 {
        let oldest_run = self.invocations.oldest_run();
        self.health.unhealthy_ratio(self.now, oldest_run, self.times.longest_core_ns())
    }

    /// The server is in a state that only callers which stay away can help.
    pub(super) fn is_in_distress(&self) -> bool {
        self.reading.is_flooded(self.now) || self.unhealthy_ratio() > 0.0
    }

    /// Share of the control period in which arrivals of a rank are rejected.
    pub(super) fn refusal_ratio(&self, rank: usize) -> f64 {
        let distress = Distress {
            is_flooded: self.reading.is_flooded(self.now),
            unhealthy_ratio: self.unhealthy_ratio(),
        };
        Admission::refusal_ratio(self.regulator.ratios(), &self.classes, rank, &distress)
    }

    /// Work that the utilization cannot show, as it ends at 1: unread, pending, or at downstream calls beyond
    /// their limit; in control periods. Each term is the time that it takes to work off, ns: the core time
    /// that is pending over the runs that go on side by side, how long arrivals lie unread, and the call time
    /// that waits beyond the calls' limit.
    pub(super) fn backlog(&self) -> f64 {
        let queued = self.invocations.pending.queued_work(self.times.usual());
        let calls = self.calls.backlog(self.open_calls());
        let backlog_ns = queued / self.concurrency.get() + self.excess_reading_delay() + calls;
        backlog_ns / CONTROL_PERIOD as f64
    }
}
