//! Runs that were told to stop and of which no end was reported: how they come to linger, and how evidence
//! excludes them.

use super::{CONTROL_PERIOD, Controller};
use crate::invocations::{Invocation, InvocationState};
use crate::{Effect, Host, Nanos, Outcome, Preemption};

impl Controller {
    /// Handles the receipt of a command to stop a run, if it was shown before any end of the run was
    /// reported. Either the run does not exist, or the cores stand still and nothing was stopped.
    pub fn on_stop_unconfirmed(&mut self, now: Nanos, id: u64, host: &mut dyn Host) {
        self.advance(now);
        if let Some(key) = self.invocations.find(id) {
            self.handle_unconfirmed_stop(key, host);
        }
        self.apply_rules(host);
    }

    fn handle_unconfirmed_stop(&mut self, key: usize, host: &mut dyn Host) {
        let invocation = &mut self.invocations[key];
        invocation.stop.record_unconfirmed(self.now);
        match invocation.state() {
            InvocationState::Unconfirmed if !invocation.answered => self.restart_run(key, host),
            InvocationState::Running | InvocationState::AwaitingCall | InvocationState::Calling
                if invocation.answered =>
            {
                if invocation.state() == InvocationState::Running {
                    invocation.stop.record_resistance();
                    self.stopped_in_period += 1.0;
                }
                self.linger(key);
            }
            _ => {}
        }
    }

    /// Starts a run again that may have been lost. It keeps its place among the runs on the cores, because
    /// the earlier start may have been received.
    fn restart_run(&mut self, key: usize, host: &mut dyn Host) {
        self.enter(key, InvocationState::Running);
        let invocation = &mut self.invocations[key];
        invocation.run_started = self.now;
        invocation.core_time = 0;
        invocation.stop = Default::default();
        host.restart_run(invocation.id);
    }

    /// Keeps the run of an answered invocation in the counts, although no report of its end is expected.
    pub(super) fn linger(&mut self, key: usize) {
        self.refund_open_call(key);
        self.enter(key, InvocationState::Lingering);
        self.invocations[key].stop.begin_lingering(self.now);
    }

    /// Keeps a run in the counts that may have been lost, after its invocation was answered. The host has
    /// told the run to stop, if it can.
    pub(super) fn linger_after_loss(&mut self, key: usize) {
        self.linger(key);
        self.invocations[key].stop.record_sent(self.now);
    }

    /// Whether an answered invocation's run was told to stop, so that it will make no downstream call.
    pub(super) fn is_told_to_stop(&self, key: usize) -> bool {
        let invocation = &self.invocations[key];
        let lingers = invocation.state() == InvocationState::Lingering;
        lingers || (invocation.answered && !invocation.stop.is_due())
    }

    /// Returns the unused part of a call's timeout to the call budget if the run ends while its call is in
    /// progress. The outcome of the call is unknown.
    pub(super) fn refund_open_call(&mut self, key: usize) {
        let invocation = &self.invocations[key];
        if invocation.state() == InvocationState::Calling {
            let duration = self.now - invocation.state_since;
            self.calls.refund(invocation.call_timeout, duration, Outcome::Unknown);
        }
    }

    /// Whether an invocation was answered and its run must be told to stop. A run with an idempotency key is
    /// stopped only if its end will not be reported, because repeats with its key would then fail for the
    /// rest of the idempotency window.
    pub(super) fn needs_stop(&self, invocation: &Invocation) -> bool {
        let is_unneeded = match invocation.state() {
            InvocationState::Running => self.effect(invocation) != Effect::IdempotentWithKey,
            InvocationState::Lingering => true,
            _ => false,
        };
        invocation.answered && is_unneeded && invocation.stop.is_due()
    }

    /// Reviews, once in a control period, the evidence on runs that were told to stop, and ends the wait for
    /// those that it excludes. `runnable` is the gauge of runnable threads.
    pub(super) fn review_stopped_runs(&mut self, runnable: Option<f64>, host: &mut dyn Host) {
        if let Some(last_progress) = self.health.last_progress() {
            self.observe_progress_of_others(last_progress);
        }
        let preemption = self.deployment.preemption;
        for key in self.lingering() {
            if self.invocations[key].stop.excludes_run(preemption) {
                self.abandon(key, host);
            }
        }
        self.abandon_beyond_bound(runnable, host);
        let own = self.possibly_running() - self.inherited.bound();
        self.inherited.observe_gauge(runnable, own);
        self.stopped_in_period = 0.0;
    }

    fn observe_progress_of_others(&mut self, last_progress: Nanos) {
        if self.now.saturating_sub(last_progress) < CONTROL_PERIOD {
            self.runnable_bound.observe_progress();
        }
        let is_stopped = |state| matches!(state, InvocationState::Running | InvocationState::Lingering);
        for key in self.invocations.keys_where(|invocation| is_stopped(invocation.state())) {
            self.invocations[key].stop.observe_progress(self.now, last_progress);
        }
    }

    /// Ends the wait for the oldest lingering runs if the gauge of runnable threads shows that fewer are on
    /// the cores.
    fn abandon_beyond_bound(&mut self, runnable: Option<f64>, host: &mut dyn Host) {
        // Until the receipt of its stop command was shown, a run was certainly on the cores.
        let certain = self.invocations.count(&[InvocationState::Running]) + self.stopped_in_period;
        let Some(bound) = self.runnable_bound.observe(runnable, certain, self.deployment.cores) else {
            return;
        };
        let lingering = self.lingering();
        let kept = (bound + self.stopped_in_period) as usize;
        let excess = lingering.len().saturating_sub(kept);
        for key in lingering.into_iter().take(excess) {
            self.abandon(key, host);
        }
    }

    /// Takes account of the end of a run that started at `started`, for inherited runs and for runs that
    /// cannot be stopped.
    pub(super) fn observe_successor(&mut self, started: Nanos) {
        self.inherited.observe_end(started, self.now);
        let can_stop = self.deployment.preemption != Preemption::Unsupported;
        if can_stop || self.invocations.count(&[InvocationState::Lingering]) == 0.0 {
            return;
        }
        for key in self.lingering() {
            self.invocations[key].stop.observe_successor(started, self.now);
        }
    }

    /// Returns the time at which the oldest of the runs entered the cores that are certainly on them; `None`
    /// without such a run. A run that a stop command did not end is one of them.
    pub(super) fn oldest_certain_run(&self) -> Option<Nanos> {
        let certain = self.invocations.active().filter(|(_, invocation)| match invocation.state() {
            InvocationState::Running => true,
            InvocationState::Lingering => invocation.stop.has_resisted(),
            _ => false,
        });
        certain.map(|(_, invocation)| invocation.on_cores_since).min()
    }

    fn lingering(&self) -> Vec<usize> {
        self.invocations.keys_where(|invocation| invocation.state() == InvocationState::Lingering)
    }

    fn abandon(&mut self, key: usize, host: &mut dyn Host) {
        host.abandon_run(self.invocations[key].id);
        self.remove(key);
    }
}
