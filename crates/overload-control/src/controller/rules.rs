//! The controller's rules, in the order of `RULES`, and the functions with which rules answer invocations.

use super::Controller;
use crate::advertised_load::LoadInputs;
use crate::deadline::latest_start;
use crate::downstream_calls::Attempt;
use crate::invocations::InvocationState;
use crate::lingering::StopEvidence;
use crate::regulator::CONTROL_PERIOD;
use crate::tenant_quota::RetryAdvice;
use crate::{Host, Nanos, Preemption, log_lines};
use meadowstream_pending_queue::Capacity;

impl Controller {
    /// Rule: answers an invocation that is overdue. An invocation is overdue if its deadline has passed, or
    /// if it is pending and can no longer finish by its objective deadline.
    pub(super) fn answer_overdue(&mut self, host: &mut dyn Host) -> Option<()> {
        let active = self
            .invocations
            .first_active(|invocation| !invocation.answered && self.now >= self.wait_until(invocation));
        let latest_start = latest_start(self.times.usual(), self.draining.last_answers());
        let key = self.invocations.first_overdue(self.now, latest_start, active)?;
        self.answer(key, CONTROL_PERIOD, host);
        Some(())
    }

    /// Rule: stops a run whose answer is no longer needed, if the host can stop runs.
    pub(super) fn stop_abandoned_runs(&mut self, host: &mut dyn Host) -> Option<()> {
        if self.deployment.preemption == Preemption::Unsupported {
            return None;
        }
        let key = self.invocations.first_active(|invocation| self.needs_stop(invocation))?;
        self.invocations[key].stop.record_sent(self.now);
        host.stop_run(self.invocations[key].id);
        Some(())
    }

    /// Rule: stops an unconfirmed run of an idempotent operation that has probably been lost, so that the
    /// invocation can run again. Runs of other operations must not run again, and are waited for until their
    /// answers are due.
    pub(super) fn stop_lost_runs(&mut self, host: &mut dyn Host) -> Option<()> {
        if self.deployment.preemption == Preemption::Unsupported
            || self.invocations.count(&[InvocationState::Unconfirmed]) == 0.0
        {
            return None;
        }
        let key = self.invocations.first_active(|invocation| {
            invocation.state() == InvocationState::Unconfirmed
                && invocation.stop.is_due()
                && self.is_idempotent(invocation)
                && self.now >= self.presumed_lost_at(invocation)
        })?;
        self.invocations[key].stop.record_sent(self.now);
        host.stop_run(self.invocations[key].id);
        Some(())
    }

    /// Rule: rejects an arrival during the refusal window of its rank, which is the first part of each
    /// control period. Admission by refusal windows is taken from IAMS (Jiang, Meng, Ren and Zhan).
    /// Operations without downstream calls are exempt while downstream calls are saturated and the cores are
    /// below their target utilization.
    pub(super) fn reject_in_refusal_window(&mut self, host: &mut dyn Host) -> Option<()> {
        let key = self.invocations.next_to_screen()?;
        let (rank, operation) = (self.invocations[key].rank, self.invocations[key].operation);
        let is_spared = self.admission.spares_operations_without_calls
            && !self.deployment.operations[operation].makes_calls;
        let time_left = self.admission.refusal_time_left(self.now, self.refusal_ratio(rank));
        if let Some(time_left) = time_left.filter(|_| !is_spared) {
            let in_distress = self.is_in_distress();
            let retry_after = if in_distress { self.deployment.retry_after_max } else { time_left };
            // The argument 0 is the delay after which the promise of admission takes effect. A retry with a
            // promise is exempt from the refusal window, so the retry need not wait for the end of the
            // window.
            self.reject_or_fail(key, retry_after, 0, host);
        }
        Some(())
    }

    /// Rule: rejects the pending invocation of the lowest priority if invocations and idempotency keys
    /// together exceed the memory limit.
    pub(super) fn reject_beyond_memory(&mut self, host: &mut dyn Host) -> Option<()> {
        if !self.memory.is_exceeded(self.memory_needed_kb()) {
            return None;
        }
        let key = self.invocations.pending.lowest_priority()?;
        self.answer(key, CONTROL_PERIOD, host);
        Some(())
    }

    /// Rule: answers a repeated invocation with the result of the earlier invocation that has the same
    /// idempotency key. The operation does not run again.
    pub(super) fn replay_results(&mut self, host: &mut dyn Host) -> Option<()> {
        let key = self.invocations.first_pending_repeat()?;
        self.enter(key, InvocationState::Replaying);
        host.replay_result(self.invocations[key].id);
        Some(())
    }

    /// Rule: rejects one invocation if a pending invocation would miss its latency objective, so that the
    /// others meet their objectives. The candidates for rejection are the late invocation and the invocations
    /// of its rank that run before it. The rule rejects the candidate with the lowest priority.
    pub(super) fn reject_for_deadlines(&mut self, host: &mut dyn Host) -> Option<()> {
        let concurrency_limit = self.concurrency.get();
        let free_slots = self.run_limits().free_slots(&self.runs_in_progress()) as usize;
        let capacity = Capacity { usual_times: self.times.usual(), concurrency_limit, free_slots };
        let key = self.invocations.pending.to_reject_for_deadlines(self.now, &capacity)?;
        self.answer(key, CONTROL_PERIOD, host);
        Some(())
    }

    /// Rule: starts the downstream call of the highest-ranked unanswered run that waits for its call.
    ///
    /// A run whose operation supports degraded answers continues without its call in three cases: the fleet's
    /// shared state denies the call, the call budget is too low, or an earlier attempt to make the call
    /// failed.
    pub(super) fn start_calls(&mut self, host: &mut dyn Host) -> Option<()> {
        let open = self.open_calls();
        if !self.calls.is_within_limit(open.calling) {
            return None;
        }
        let key = self.next_to_call()?;
        let invocation = &self.invocations[key];
        let can_degrade = self.deployment.operations[invocation.operation].degraded_value_ratio > 0.0;
        if can_degrade && invocation.call_attempts > 0 {
            return self.skip_call(key, host);
        }
        let is_permitted = host.may_start_call(invocation.id, open.awaiting as usize);
        self.calls.set_withheld(!is_permitted);
        let timeout = if is_permitted { self.reserve_call(key) } else { None };
        let Some(timeout) = timeout else {
            return if can_degrade { self.skip_call(key, host) } else { None };
        };
        self.enter(key, InvocationState::Calling);
        let invocation = &mut self.invocations[key];
        invocation.call_attempts += 1;
        invocation.call_timeout = timeout;
        host.start_call(invocation.id, timeout);
        Some(())
    }

    /// Returns the run that makes its downstream call next: among the runs that may make their call now, the
    /// run of the highest rank. Among runs of equal rank, the oldest is returned.
    fn next_to_call(&self) -> Option<usize> {
        let ready = self.invocations.active().filter(|(_, invocation)| {
            invocation.state() == InvocationState::AwaitingCall
                && !invocation.answered
                && self.now >= invocation.retry_call_at
        });
        // The runs are in order of age. `max_by_key` returns the last of several runs of equal rank, so the
        // order is reversed to get the oldest.
        let (key, _) = ready.rev().max_by_key(|(_, invocation)| invocation.rank)?;
        Some(key)
    }

    /// Reserves call budget for the downstream call of a run and returns the timeout of the call. Returns
    /// `None` if the call goes to a shared dependency and the call budget is too low.
    fn reserve_call(&mut self, key: usize) -> Option<Nanos> {
        let invocation = &self.invocations[key];
        let attempt = Attempt {
            attempts: invocation.call_attempts,
            time_left: self.wait_until(invocation).saturating_sub(self.now).max(1),
            cost_ratio: invocation.cost_ratio,
            is_idempotent: self.is_idempotent(invocation),
            is_top_rank: self.classes.is_top(invocation.rank),
        };
        self.calls.reserve(&attempt)
    }

    fn skip_call(&mut self, key: usize, host: &mut dyn Host) -> Option<()> {
        self.enter(key, InvocationState::Running);
        host.skip_call(self.invocations[key].id);
        Some(())
    }

    /// Rule: starts the next pending invocation if the limits on runs and memory permit another run. While
    /// downstream calls are saturated, only invocations of operations without downstream calls are started.
    pub(super) fn start_runs(&mut self, host: &mut dyn Host) -> Option<()> {
        let pending = &self.invocations.pending;
        let next = if self.calls.is_saturated(self.open_calls()) {
            pending.next_to_run_among(|operation| !self.deployment.operations[operation].makes_calls)
        } else {
            pending.next_to_run()
        };
        let key = next?.key;
        let memory_kb = self.memory_needed_kb() + self.invocations.memory_kb_to_run(key);
        if self.memory.is_exceeded(memory_kb) || !self.run_limits().admit(&self.runs_in_progress()) {
            return None;
        }
        let invocation = &mut self.invocations[key];
        invocation.run_started = self.now;
        invocation.has_run = true;
        host.start_run(invocation.id);
        self.last_start = self.now;
        self.quotas.on_run_started(invocation);
        self.enter(key, InvocationState::Running);
        Some(())
    }

    /// Rule: notifies the host if the readiness or the advertised load has changed. Health checks report
    /// readiness, so they fail on a draining server that wants no more arrivals, even if the server is
    /// healthy.
    pub(super) fn report_health_and_load(&mut self, host: &mut dyn Host) -> Option<()> {
        let wants_arrivals = self.draining.wants_arrivals(self.now, self.deployment.target_utilization);
        let is_ready = wants_arrivals && self.unhealthy_ratio() <= 0.0;
        if self.health.set_ready(is_ready) {
            host.set_health(is_ready, !is_ready);
            host.log(if is_ready { log_lines::HEALTHY } else { log_lines::UNHEALTHY });
            return Some(());
        }
        let inputs = LoadInputs {
            wants_arrivals,
            lowest_rank_refusal_ratio: self.refusal_ratio(0),
            speed_ratio: self.concurrency.speed_ratio(self.now),
            concurrency_limit: self.concurrency.get(),
        };
        let load = self.advertised.update(self.deployment.advertisement, &inputs)?;
        host.advertise_load(load);
        Some(())
    }

    /// Rule: sets the deadline timer to the next time at which the rules must be applied. This time is the
    /// earliest of the next deadline, the end of a backoff, the time at which an unconfirmed run counts as
    /// lost, and the time at which the call budget suffices for a waiting call.
    pub(super) fn set_deadline_timer(&mut self, host: &mut dyn Host) -> Option<()> {
        let unanswered = self.invocations.active().filter(|(_, invocation)| !invocation.answered);
        let active = unanswered.map(|(_, invocation)| {
            let state_ends_at = match invocation.state() {
                InvocationState::AwaitingCall => invocation.retry_call_at,
                InvocationState::Unconfirmed => self.presumed_lost_at(invocation),
                _ => self.now,
            };
            let state_ends_at = if state_ends_at > self.now { state_ends_at } else { Nanos::MAX };
            self.wait_until(invocation).min(state_ends_at)
        });
        let awaits_budget = self.open_calls().awaiting > 0.0;
        let budget = if awaits_budget { self.calls.enough_budget_at(self.now) } else { None };
        let latest_start = latest_start(self.times.usual(), self.draining.last_answers());
        let pending = self.invocations.pending.next_overdue_at(latest_start);
        let next = active.chain(budget).chain(pending).min()?;
        self.timers.set_deadline(self.now, next, host).then_some(())
    }

    pub(super) fn enter(&mut self, key: usize, state: InvocationState) {
        let invocation = &mut self.invocations[key];
        let previous = invocation.state();
        if matches!(previous, InvocationState::Running | InvocationState::Unconfirmed) {
            invocation.core_time += self.now - invocation.state_since;
        }
        let has_left_cores = matches!(state, InvocationState::Pending | InvocationState::AwaitingCall);
        if previous == InvocationState::Running && has_left_cores {
            self.health.observe_progress(self.now);
        }
        self.invocations.enter(key, state, self.now);
    }

    /// Answers an invocation with a rejection or an error. A rejection advises the caller to retry after
    /// `retry_after`.
    pub(super) fn answer(&mut self, key: usize, retry_after: Nanos, host: &mut dyn Host) {
        self.reject_or_fail(key, retry_after, retry_after, host);
    }

    /// Rejects an invocation if its caller may safely repeat it, and otherwise answers it with an error. The
    /// caller may safely repeat an invocation that is idempotent or certainly had no effect. A repeat of an
    /// earlier invocation may already have had its effect when the earlier invocation ran. A promise of
    /// admission takes effect after `promise_after` or later.
    ///
    /// The caller is advised not to retry at another server in three cases: this server promised it
    /// admission, the latency objective has passed, or retries would add to an overload of the fleet.
    fn reject_or_fail(&mut self, key: usize, retry_after: Nanos, promise_after: Nanos, host: &mut dyn Host) {
        let are_retries_harmful = self.retries.are_harmful(self.regulator.ratios().basic);
        let advice = self.issue_retry_advice(key, retry_after, promise_after, host);
        let invocation = &self.invocations[key];
        let is_late = self.now >= invocation.deadlines.objective;
        let no_retry = advice.ticket.is_some() || is_late || are_retries_harmful;
        let nothing_done = !invocation.has_run && invocation.repeats.is_none();
        if self.is_idempotent(invocation) || nothing_done {
            let retry_after = advice.retry_after.min(self.deployment.retry_after_max);
            host.reject(invocation.id, no_retry, retry_after);
        } else {
            host.fail(invocation.id);
        }
        self.close(key, host);
    }

    /// Returns retry advice for the caller of an invocation that is about to be answered. The advice is a
    /// delay and, if this server promises to admit the retry, a ticket. No promise is made while the server
    /// is draining, flooded or unhealthy.
    ///
    /// With fair queueing, the function also notifies the scheduler of the end of an invocation that never
    /// ran, and announces a promise to the host.
    fn issue_retry_advice(
        &mut self,
        key: usize,
        retry_after: Nanos,
        promise_after: Nanos,
        host: &mut dyn Host,
    ) -> RetryAdvice {
        let without_promise = RetryAdvice { retry_after, ticket: None };
        let can_promise = !self.is_in_distress() && !self.draining.has_begun();
        if !can_promise || self.deployment.retry_after_max == 0 {
            return without_promise;
        }
        let invocation = &mut self.invocations[key];
        let Some(advice) = self.quotas.end_with_promise(self.now, invocation, promise_after) else {
            return without_promise;
        };
        if let Some(ticket) = advice.ticket {
            host.promise_admission(invocation.id, ticket);
        }
        advice
    }

    /// Marks an invocation as answered and removes it. If its run or downstream call is in progress, the
    /// invocation is kept until the run or call ends. An unconfirmed run lingers, because news of it may
    /// never come; the host tells it to stop.
    pub(super) fn close(&mut self, key: usize, host: &mut dyn Host) {
        let effect = self.effect(&self.invocations[key]);
        self.keys.forget_unless_run(&self.invocations[key], effect, host);
        let invocation = &mut self.invocations[key];
        (invocation.answered, invocation.stop) = (true, StopEvidence::default());
        match invocation.state() {
            InvocationState::Pending | InvocationState::Replaying => self.remove(key),
            InvocationState::Unconfirmed => self.linger_after_loss(key),
            _ => {}
        }
    }

    pub(super) fn remove(&mut self, key: usize) {
        self.quotas.on_end(self.now, &self.invocations[key]);
        self.invocations.remove(key);
    }
}
