//! Event handlers of the controller. Each handler updates the measurements and then applies the rules.

use super::{CONTROL_PERIOD, CONTROL_TIMER, Controller};
use crate::concurrency_limit::Load;
use crate::deadline::Deadlines;
use crate::downstream_calls::DownstreamCalls;
use crate::invocations::{Invocation, InvocationState};
use crate::lingering::StopEvidence;
use crate::regulator::Shedding;
use crate::standstill::Standstill;
use crate::{Arrival, Gauges, Host, Nanos, Outcome, log_lines};

impl Controller {
    /// Handles the arrival of an invocation that the host has read.
    pub fn on_arrival(&mut self, now: Nanos, arrival: Arrival, host: &mut dyn Host) {
        self.advance(now);
        self.reading.observe_delay(now, arrival.age);
        self.retries.observe(now, arrival.is_marked_retry);
        let cost_ratio = self.times.cost_ratio(now, arrival.operation, arrival.cost_hint);
        let work = self.times.usual()[arrival.operation].core_ns * cost_ratio;
        let quota_decision = self.quotas.on_arrival(now, &arrival, work);
        let operation = &self.deployment.operations[arrival.operation];
        let quota_ratio =
            if quota_decision.is_over_quota { self.deployment.over_quota_value_ratio } else { 1.0 };
        self.keys.remember(now, &arrival, operation, host);
        let mut invocation = Invocation::new(now, &arrival, quota_decision.fair_admission);
        invocation.rank = self.classes.rank(operation.priority_weight * quota_ratio);
        invocation.deadlines = Deadlines::of(&arrival, operation, now);
        invocation.cost_ratio = cost_ratio;
        // An invocation with a valid ticket was promised admission, so it is exempt from the refusal window.
        // The exemption does not apply if the server is flooded or unhealthy.
        let is_promised = quota_decision.fair_admission.is_some_and(|admission| admission.promised);
        invocation.screened |= is_promised && !self.is_in_distress();
        // Two kinds of invocations are answered without a run. The first kind arrives after the drain grace.
        // The second kind has an idempotency key that the host could not store: a retry with this key would
        // not be recognized, and the operation would take effect twice.
        let answer_without_run = self.draining.is_too_late(invocation.arrived) || arrival.key_not_stored;
        self.invocations.insert(invocation, answer_without_run);
        self.apply_rules(host);
    }

    /// Handles the end of a run. Also handles the end of a replay, in which a repeated invocation is answered
    /// with the result of the original invocation.
    pub fn on_run_finished(&mut self, now: Nanos, id: u64, outcome: Outcome, host: &mut dyn Host) {
        self.advance(now);
        if let Some(key) = self.invocations.find(id) {
            self.finish_run(key, outcome, host);
        }
        self.apply_rules(host);
    }

    fn finish_run(&mut self, key: usize, outcome: Outcome, host: &mut dyn Host) {
        let state = self.invocations[key].state();
        self.refund_open_call(key);
        self.enter(key, InvocationState::Pending);
        self.invocations[key].stop = StopEvidence::default();
        if state == InvocationState::Unconfirmed && outcome == Outcome::Cancelled {
            // The run was lost. The time spent waiting for news of it is no core time.
            self.invocations[key].core_time = 0;
        }
        let invocation = &self.invocations[key];
        let has_ended = matches!(outcome, Outcome::Succeeded | Outcome::Failed);
        let started = invocation.run_started;
        if has_ended && state != InvocationState::Replaying {
            self.health.observe_run(self.now, outcome == Outcome::Failed);
            self.health.observe_progress(self.now);
            // The core time of a lingering run is not known.
            if outcome == Outcome::Succeeded && state != InvocationState::Lingering {
                let elapsed = self.now - invocation.run_started;
                self.times.observe(self.now, invocation.operation, invocation.core_time, elapsed);
            }
        }
        if has_ended && state != InvocationState::Replaying {
            self.observe_successor(started);
        }
        let invocation = &self.invocations[key];
        if has_ended || invocation.answered {
            self.remove(key);
        } else if invocation.has_run && !self.is_idempotent(invocation) {
            // The run ended without a result and its work is lost. The operation is not idempotent and must
            // not run again, so the caller gets an answer now.
            self.answer(key, 0, host);
        }
    }

    /// Handles a run that may have been lost, because the command that started or resumed it may have been
    /// lost. The host keeps waiting for news of the run. An unconfirmed run does not count as stalled, since
    /// it may not exist. If the invocation was answered, the run lingers.
    pub fn on_run_unconfirmed(&mut self, now: Nanos, id: u64, host: &mut dyn Host) {
        self.advance(now);
        if let Some(key) = self.invocations.find(id)
            && self.invocations[key].state() == InvocationState::Running
        {
            if self.invocations[key].answered {
                self.linger_after_loss(key);
            } else {
                self.enter(key, InvocationState::Unconfirmed);
            }
        }
        self.apply_rules(host);
    }

    /// Handles a run that needs to make its downstream call and waits until the controller permits the call.
    /// The run of an answered invocation that was told to stop lingers until it is told again.
    pub fn on_call_needed(&mut self, now: Nanos, id: u64, host: &mut dyn Host) {
        self.advance(now);
        if let Some(key) = self.invocations.find(id) {
            if self.is_told_to_stop(key) {
                self.health.observe_progress(now);
                self.linger(key);
            } else {
                self.enter(key, InvocationState::AwaitingCall);
            }
        }
        self.apply_rules(host);
    }

    /// Handles the end of an invocation's downstream call. The call lasted for `duration`.
    pub fn on_call_finished(
        &mut self,
        now: Nanos,
        id: u64,
        outcome: Outcome,
        duration: Nanos,
        host: &mut dyn Host,
    ) {
        self.advance(now);
        if let Some(key) = self.invocations.find(id) {
            self.finish_call(key, outcome, duration, host);
        }
        self.apply_rules(host);
    }

    fn finish_call(&mut self, key: usize, outcome: Outcome, duration: Nanos, host: &mut dyn Host) {
        self.calls.refund(self.invocations[key].call_timeout, duration, outcome);
        self.calls.observe(self.now, outcome, duration, self.open_calls());
        if outcome == Outcome::Succeeded {
            self.invocations[key].call_attempts = 0;
            self.enter(key, InvocationState::Running);
            return;
        }
        self.enter(key, InvocationState::AwaitingCall);
        if outcome == Outcome::NeverRan {
            let usual = self.times.usual()[self.invocations[key].operation];
            let backoff = DownstreamCalls::backoff(usual.elapsed_ns);
            self.invocations[key].retry_call_at = self.now + backoff;
        } else if !self.is_idempotent(&self.invocations[key]) {
            // The failed call may already have taken effect and must not be repeated, so the invocation is
            // answered now.
            self.answer(key, 0, host);
        }
    }

    /// Handles the drain notice. The process stops `grace` after `noticed_at`, the time at which the host
    /// received the notice. This time may be before the controller was created.
    pub fn on_drain_notice(&mut self, now: Nanos, noticed_at: Nanos, grace: Nanos, host: &mut dyn Host) {
        self.advance(now);
        self.draining.begin(noticed_at, grace);
        host.log(log_lines::DRAINING_BEGAN);
        self.apply_rules(host);
    }

    /// Handles an invocation whose caller cancelled it or disconnected. The invocation is closed without an
    /// answer.
    pub fn on_caller_gone(&mut self, now: Nanos, id: u64, host: &mut dyn Host) {
        self.advance(now);
        if let Some(key) = self.invocations.find(id) {
            self.close(key, host);
        }
        self.apply_rules(host);
    }

    /// Handles the expiry of a timer and applies the rules. `gauges` is used only if `timer` is
    /// [`CONTROL_TIMER`], which starts a new control period.
    pub fn on_timer(&mut self, now: Nanos, timer: u32, gauges: Gauges, host: &mut dyn Host) {
        self.advance(now);
        if timer == CONTROL_TIMER {
            host.set_timer(CONTROL_PERIOD, CONTROL_TIMER);
            self.start_control_period(gauges, host);
        } else {
            self.timers.on_timer(now);
        }
        self.apply_rules(host);
    }

    fn start_control_period(&mut self, gauges: Gauges, host: &mut dyn Host) {
        self.review_standstill(host);
        self.review_stopped_runs(gauges.runnable, host);
        let (running, cores) = (self.running(), self.deployment.cores);
        let other_threads = gauges.runnable.unwrap_or(0.0) - self.possibly_running();
        self.reading.observe_threads(self.now, other_threads.clamp(0.0, cores));
        let utilization = gauges.utilization.unwrap_or(running / cores).min(1.0);
        let load = Load {
            is_queueing: !self.invocations.pending.is_empty(),
            running,
            are_runs_slowed: self.times.are_slowed(),
            lacks_progress: self.standstill.lacks_progress(),
            are_cores_standing_still: self.standstill.is_standing_still(),
            utilization,
            target_utilization: self.deployment.target_utilization,
        };
        self.concurrency.adapt(self.now, &load);
        self.regulate(utilization, host);
        let capacity = self.concurrency.get().floor() * self.deployment.target_utilization;
        self.quotas.set_capacity(self.now, capacity, self.shortest_objective);
        let is_reading_behind = self.excess_reading_delay() > 0.0;
        let rate = self.retries.arrival_rate(self.now);
        let regulated = self.regulator.utilization();
        host.close_idle_connections(self.idle_connections.timeout(rate, is_reading_behind, regulated));
        self.admission.start_period(self.now);
    }

    fn review_standstill(&mut self, host: &mut dyn Host) {
        let (oldest_run, longest) = (self.oldest_certain_run(), self.times.longest_core_ns());
        match self.standstill.review(self.now, oldest_run, self.health.last_progress(), longest) {
            Some(Standstill::Began) => host.log(log_lines::STANDSTILL_BEGAN),
            Some(Standstill::Ended) => host.log(log_lines::STANDSTILL_ENDED),
            None => {}
        }
    }

    /// Runs one step of the regulator with the utilization of the cores. If downstream calls are saturated,
    /// the regulator receives a utilization of 1 instead.
    fn regulate(&mut self, cores_utilization: f64, host: &mut dyn Host) {
        let target = self.deployment.target_utilization;
        let is_saturated = self.calls.is_saturated(self.open_calls());
        let utilization = cores_utilization.max(f64::from(is_saturated));
        self.admission.spares_operations_without_calls =
            utilization > cores_utilization && cores_utilization < target;
        let backlog = self.backlog();
        match self.regulator.step(utilization, target, backlog) {
            Some(Shedding::Began) => host.log(log_lines::SHEDDING_BEGAN),
            Some(Shedding::Ended) => host.log(log_lines::SHEDDING_ENDED),
            None => {}
        }
    }
}
