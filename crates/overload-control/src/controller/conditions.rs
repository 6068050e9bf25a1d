//! Values derived from the controller's state and shared by its rules and event handlers.

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

    /// Number of runs that have started and not ended: on the cores, waiting for a downstream call, or in
    /// one.
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

    /// Memory used by invocations and idempotency keys, KB.
    pub(super) fn memory_needed_kb(&self) -> f64 {
        self.invocations.memory_kb() + self.keys.memory_kb()
    }

    /// Time until which the controller waits for the result of an invocation that has left the pending
    /// queue.
    pub(super) fn wait_until(&self, invocation: &Invocation) -> Nanos {
        let has_late_value = self.deployment.operations[invocation.operation].late_value > 0.0;
        let is_late_useful = has_late_value || !self.is_idempotent(invocation);
        invocation.deadlines.wait_until(is_late_useful, self.draining.last_answers())
    }

    /// Time that arrivals wait to be read, in excess of the normal delay; ns.
    pub(super) fn excess_reading_delay(&self) -> f64 {
        self.reading.excess_delay(self.now, self.times.longest_core_ns())
    }

    pub(super) fn unhealthy_ratio(&self) -> f64 {
        let oldest_run = self.invocations.oldest_run();
        self.health.unhealthy_ratio(self.now, oldest_run, self.times.longest_core_ns())
    }

    /// Whether the server is flooded or unhealthy: it recovers only if callers send less.
    pub(super) fn is_in_distress(&self) -> bool {
        self.reading.is_flooded(self.now) || self.unhealthy_ratio() > 0.0
    }

    /// Share of the control period in which arrivals of `rank` are rejected.
    pub(super) fn refusal_ratio(&self, rank: usize) -> f64 {
        let distress = Distress {
            is_flooded: self.reading.is_flooded(self.now),
            unhealthy_ratio: self.unhealthy_ratio(),
        };
        Admission::refusal_ratio(self.regulator.ratios(), &self.classes, rank, &distress)
    }

    /// Excess work that the utilization gauge cannot show because it is capped at 1, in control periods.
    /// The sum of three times, ns: the core time of pending invocations divided by the concurrency limit,
    /// the excess delay of reading arrivals, and the call time in excess of the limit on downstream calls.
    pub(super) fn backlog(&self) -> f64 {
        let queued = self.invocations.pending.queued_work(self.times.usual());
        let calls = self.calls.backlog(self.open_calls());
        let backlog_ns = queued / self.concurrency.get() + self.excess_reading_delay() + calls;
        backlog_ns / CONTROL_PERIOD as f64
    }
}
