//! Values that the controller computes from its state. The rules and the event handlers use these values.

use super::Controller;
use crate::admission::{Admission, Distress};
use crate::downstream_calls::OpenCalls;
use crate::invocations::{Invocation, InvocationState};
use crate::regulator::CONTROL_PERIOD;
use crate::scheduling::{RunLimits, RunsInProgress};
use crate::{Effect, Nanos};

/// Time after which an unconfirmed run counts as lost, as a multiple of the usual time of its operation's
/// runs.
const PRESUMED_LOST_RATIO: f64 = 2.0;

/// Counts by which the controller decides whether another run may start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunCounts {
    /// Number of runs that are expected to be on the cores.
    pub running: f64,
    /// Maximum number of runs that may be on the cores. Runs whose end would not be reported are included.
    pub possible: f64,
    /// Number of open runs. An open run is on a core, waits to make a downstream call, or has a downstream
    /// call in progress.
    pub open: f64,
    /// Learned limit on `running`.
    pub limit: f64,
    /// Maximum of `open`.
    pub survivable: f64,
    /// Number of pending invocations.
    pub pending: usize,
}

impl Controller {
    /// Returns the counts by which the controller decides whether another run may start.
    pub fn run_counts(&self) -> RunCounts {
        RunCounts {
            running: self.running(),
            possible: self.possibly_running(),
            open: self.open_runs(),
            limit: self.concurrency.get(),
            survivable: self.concurrency.survivable(self.now),
            pending: self.invocations.count(&[InvocationState::Pending]) as usize,
        }
    }

    /// Number of runs on the cores. Unconfirmed runs are included as long as they are expected to end.
    pub(super) fn running(&self) -> f64 {
        self.invocations.count(&[InvocationState::Running]) + self.unconfirmed_runs_on_cores()
    }

    /// Number of unconfirmed runs that are probably on the cores.
    fn unconfirmed_runs_on_cores(&self) -> f64 {
        if self.invocations.count(&[InvocationState::Unconfirmed]) == 0.0 {
            return 0.0;
        }
        let unconfirmed = self
            .invocations
            .active()
            .filter(|(_, invocation)| invocation.state() == InvocationState::Unconfirmed);
        unconfirmed.filter(|(_, invocation)| self.now < self.presumed_lost_at(invocation)).count() as f64
    }

    /// Time after which an unconfirmed run has probably been lost: a run that exists would have ended, or
    /// would have reached its downstream call.
    pub(super) fn presumed_lost_at(&self, invocation: &Invocation) -> Nanos {
        let usual_ns = self.times.usual()[invocation.operation].elapsed_ns * invocation.cost_ratio;
        invocation.state_since + (usual_ns * PRESUMED_LOST_RATIO) as Nanos
    }

    /// Maximum number of runs that may be on the cores: nothing has excluded that they are there.
    pub(super) fn possibly_running(&self) -> f64 {
        let states = [InvocationState::Running, InvocationState::Unconfirmed, InvocationState::Lingering];
        self.invocations.count(&states) + self.inherited.bound()
    }

    /// Returns the runs by which the limits decide whether another run may start.
    pub(super) fn runs_in_progress(&self) -> RunsInProgress {
        RunsInProgress { running: self.running(), possible: self.possibly_running(), open: self.open_runs() }
    }

    /// Number of open runs. An open run is on a core, waits to make a downstream call, or has a downstream
    /// call in progress. Unconfirmed, lingering and inherited runs are included, because any of them may be
    /// open.
    pub(super) fn open_runs(&self) -> f64 {
        let states = [
            InvocationState::Running,
            InvocationState::Unconfirmed,
            InvocationState::Lingering,
            InvocationState::AwaitingCall,
            InvocationState::Calling,
        ];
        self.invocations.count(&states) + self.inherited.bound()
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
            collapse: self.concurrency.collapse(self.now),
            are_cores_standing_still: self.standstill.is_standing_still(),
            since_last_start: self.now.saturating_sub(self.last_start),
            reading_threads: self.reading.threads(),
            cores: self.deployment.cores,
            is_downstream_tier: self.deployment.is_downstream_tier,
        }
    }

    /// Memory that all invocations and idempotency keys use, KB.
    pub(super) fn memory_needed_kb(&self) -> f64 {
        self.invocations.memory_kb() + self.keys.memory_kb()
    }

    /// Time at which the controller stops waiting for the result of an invocation that has left the pending
    /// queue. The controller then answers without the result.
    pub(super) fn wait_until(&self, invocation: &Invocation) -> Nanos {
        let has_late_value = self.deployment.operations[invocation.operation].late_value > 0.0;
        let is_late_useful = has_late_value || !self.is_idempotent(invocation);
        invocation.deadlines.wait_until(is_late_useful, self.draining.last_answers())
    }

    /// Excess reading delay, ns: the time that arrivals wait until they are read, minus the normal delay.
    pub(super) fn excess_reading_delay(&self) -> f64 {
        self.reading.excess_delay(self.now, self.times.longest_core_ns())
    }

    pub(super) fn unhealthy_ratio(&self) -> f64 {
        let oldest_run = self.invocations.oldest_run();
        self.health.unhealthy_ratio(self.now, oldest_run, self.times.longest_core_ns())
    }

    /// Whether the server is in distress: it is flooded by arrivals or unhealthy. Such a server recovers only
    /// if callers send fewer invocations.
    pub(super) fn is_in_distress(&self) -> bool {
        self.reading.is_flooded(self.now) || self.unhealthy_ratio() > 0.0
    }

    /// Share of the control period, from 0 to 1, in which arrivals of `rank` are rejected.
    pub(super) fn refusal_ratio(&self, rank: usize) -> f64 {
        let distress = Distress {
            is_flooded: self.reading.is_flooded(self.now),
            unhealthy_ratio: self.unhealthy_ratio(),
        };
        Admission::refusal_ratio(self.regulator.ratios(), &self.classes, rank, &distress)
    }

    /// Backlog: work in excess of full utilization, as a multiple of the control period. The utilization
    /// gauge cannot show this work, because the gauge is capped at 1.
    ///
    /// The backlog is the sum of three times: the core time of pending invocations divided by the concurrency
    /// limit, the excess delay of reading arrivals, and the delay of downstream calls that exceed the limit
    /// on calls.
    pub(super) fn backlog(&self) -> f64 {
        let queued = self.invocations.pending.queued_work(self.times.usual());
        let calls = self.calls.backlog(self.open_calls());
        let backlog_ns = queued / self.concurrency.get() + self.excess_reading_delay() + calls;
        backlog_ns / CONTROL_PERIOD as f64
    }
}
