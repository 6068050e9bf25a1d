//! The controller's rules, in the order of `RULES`, and the answers they give.

use super::Controller;
use crate::advertised_load::LoadInputs;
use crate::deadline::latest_start;
use crate::downstream_calls::Attempt;
use crate::invocations::InvocationState;
use crate::regulator::CONTROL_PERIOD;
use crate::tenant_quota::RetryAdvice;
use crate::{Effect, Host, Nanos, Preemption, log_lines};
use meadowstream_pending_queue::Capacity;

impl Controller {
    /// Everything is answered by its deadline, and as soon as an answer in time is out of reach.
    pub(super) fn answer_overdue(&mut self, host: &mut dyn Host) -> Option<()> {
        let active = self.invocations.first_active(|one| !one.answered && self.now >= self.wait_until(one));
        let latest_start = latest_start(self.times.usual(), self.draining.last_answers());
        let key = self.invocations.first_overdue(self.now, latest_start, active)?;
        self.answer(key, CONTROL_PERIOD, host);
        Some(())
    }

    /// Runs whose answer nobody can use leave the cores, where they can be stopped. A run with an idempotency
    /// key goes on: stopped, its repeats would fail for the rest of the window.
    pub(super) fn stop_abandoned_runs(&mut self, host: &mut dyn Host) -> Option<()> {
        if self.deployment.preemption == Preemption::Unsupported {
            return None;
        }
        let key = self.invocations.first_active(|one| {
            one.answered
                && !one.stopping
                && one.state() == InvocationState::Running
                && self.effect(one) != Effect::IdempotentWithKey
        })?;
        self.invocations[key].stopping = true;
        host.stop_run(self.invocations[key].id);
        Some(())
    }

    /// Arrivals in the first part of the control period are rejected, by rank: the actuator of IAMS (Jiang,
    /// Meng, Ren and Zhan). Where downstream calls are saturated and the cores are not, operations that make
    /// none are admitted.
    pub(super) fn reject_in_refusal_window(&mut self, host: &mut dyn Host) -> Option<()> {
        let key = self.invocations.next_to_screen()?;
        let (rank, operation) = (self.invocations[key].rank, self.invocations[key].operation);
        let is_spared = self.admission.spares_operations_without_calls
            && !self.deployment.operations[operation].makes_calls;
        let time_left = self.admission.refusal_time_left(self.now, self.refusal_ratio(rank));
        if let Some(time_left) = time_left.filter(|_| !is_spared) {
            let in_distress = self.is_in_distress();
            let retry_after = if in_distress { self.deployment.retry_after_max } else { time_left };
            // A promise does not depend on the window, so it may be for any time.
            self.reject_or_fail(key, retry_after, 0, host);
        }
        Some(())
    }

    /// Pending and running invocations and idempotency keys stay within memory.
    pub(super) fn reject_beyond_memory(&mut self, host: &mut dyn Host) -> Option<()> {
        if !self.memory.is_exceeded(self.memory_needed_kb()) {
            return None;
        }
        let key = self.invocations.pending.lowest_priority()?;
        self.answer(key, CONTROL_PERIOD, host);
        Some(())
    }

    /// A repeat of an invocation whose key is remembered is answered with its result, not run.
    pub(super) fn replay_results(&mut self, host: &mut dyn Host) -> Option<()> {
        let key = self.invocations.first_pending_repeat()?;
        self.enter(key, InvocationState::Replaying);
        host.replay_result(self.invocations[key].id);
        Some(())
    }

    /// Where a pending invocation would miss its objective, one of the lowest priority that runs before it or
    /// is itself it is rejected, so that the rest can be in time.
    pub(super) fn reject_for_deadlines(&mut self, host: &mut dyn Host) -> Option<()> {
        let concurrency_limit = self.concurrency.get();
        let free_slots = (concurrency_limit - self.running()).floor().max(0.0) as usize;
        let capacity = Capacity { usual_times: self.times.usual(), concurrency_limit, free_slots };
        let key = self.invocations.pending.to_reject_for_deadlines(self.now, &capacity)?;
        self.answer(key, CONTROL_PERIOD, host);
        Some(())
    }

    /// Runs make their downstream calls while the answer is wanted, the highest rank first. An operation with
    /// a degraded answer goes on without its call where that fails or may not be made now.
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

    /// Of the runs that may make their call now, the first one of the highest rank.
    fn next_to_call(&self) -> Option<usize> {
        let ready = self.invocations.active().filter(|(_, one)| {
            one.state() == InvocationState::AwaitingCall && !one.answered && self.now >= one.retry_call_at
        });
        // Of equals `max_by_key` returns the last.
        let (key, _) = ready.rev().max_by_key(|(_, one)| one.rank)?;
        Some(key)
    }

    /// The timeout of a call, where the budget of a shared dependency has enough for it.
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

    /// The next pending invocation runs where a slot and memory are free. While downstream calls are
    /// saturated only operations that make none start.
    pub(super) fn start_runs(&mut self, host: &mut dyn Host) -> Option<()> {
        let pending = &self.invocations.pending;
        let next = if self.calls.is_saturated(self.open_calls()) {
            pending.next_to_run_among(|operation| !self.deployment.operations[operation].makes_calls)
        } else {
            pending.next_to_run()
        };
        let key = next?.key;
        let memory_kb = self.memory_needed_kb() + self.invocations.memory_kb_to_run(key);
        if self.memory.is_exceeded(memory_kb) || !self.run_limits().admit(self.running(), self.open_runs()) {
            return None;
        }
        let invocation = &mut self.invocations[key];
        invocation.run_started = self.now;
        invocation.has_run = true;
        host.start_run(invocation.id);
        self.quotas.on_run_started(invocation);
        self.enter(key, InvocationState::Running);
        Some(())
    }

    /// Health checks and callers are notified of changes. Health checks are answered by readiness: a draining
    /// server that wants no more arrivals fails them, although it is healthy.
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

    /// The deadline timer goes off at the next deadline, end of a backoff, or refill of the call budget.
    pub(super) fn set_deadline_timer(&mut self, host: &mut dyn Host) -> Option<()> {
        let unanswered = self.invocations.active().filter(|(_, one)| !one.answered);
        let active = unanswered.map(|(_, one)| {
            let backs_off = one.state() == InvocationState::AwaitingCall && one.retry_call_at > self.now;
            let retry_call_at = if backs_off { one.retry_call_at } else { Nanos::MAX };
            self.wait_until(one).min(retry_call_at)
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
        if invocation.state() == InvocationState::Running {
            invocation.core_time += self.now - invocation.state_since;
            self.health.observe_progress(self.now);
        }
        self.invocations.enter(key, state, self.now);
    }

    /// Gives the one final answer, with this advice.
    pub(super) fn answer(&mut self, key: usize, retry_after: Nanos, host: &mut dyn Host) {
        self.reject_or_fail(key, retry_after, retry_after, host);
    }

    /// Rejects where nothing was done or doing it again is harmless, else fails. A promise of admission is
    /// for `promise_after` at the earliest. The caller is not to try elsewhere where it has a promise here,
    /// where it is too late for an answer of full value, or where retries would add to an overload of the
    /// fleet.
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

    /// When the caller is to return. Where it can, it ends the invocation in fair queueing, makes a promise
    /// of admission for the next one, and announces it to the host; not while in distress or draining.
    fn issue_retry_advice(
        &mut self,
        key: usize,
        retry_after: Nanos,
        promise_after: Nanos,
        host: &mut dyn Host,
    ) -> RetryAdvice {
        let unpromised = RetryAdvice { retry_after, ticket: None };
        let can_promise = !self.is_in_distress() && !self.draining.has_begun();
        if !can_promise || self.deployment.retry_after_max == 0 {
            return unpromised;
        }
        let invocation = &mut self.invocations[key];
        let Some(advice) = self.quotas.end_with_promise(self.now, invocation, promise_after) else {
            return unpromised;
        };
        if let Some(ticket) = advice.ticket {
            host.promise_admission(invocation.id, ticket);
        }
        advice
    }

    /// Nothing more is owed; what still runs or calls stays until it ends.
    pub(super) fn close(&mut self, key: usize, host: &mut dyn Host) {
        let effect = self.effect(&self.invocations[key]);
        self.keys.forget_unless_run(&self.invocations[key], effect, host);
        let invocation = &mut self.invocations[key];
        (invocation.answered, invocation.stopping) = (true, false);
        if matches!(invocation.state(), InvocationState::Pending | InvocationState::Replaying) {
            self.remove(key);
        }
    }

    pub(super) fn remove(&mut self, key: usize) {
        self.quotas.on_end(self.now, &self.invocations[key]);
        self.invocations.remove(key);
    }
}
