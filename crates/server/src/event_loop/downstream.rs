//! Starts the downstream calls of invocations, and handles the end of each call.

use crate::calls::task as call;
use crate::calls::task::Call;
use crate::event_loop::actions::ActionExecutor;
use crate::fleet::shared_state::StartedCall;
use crate::fleet::tier::CallEvidence;
use crate::resources::invocations::{RunCommand, RunningCall};
use crate::wire::interpreter;
use meadowstream_overload_control::{Effect, Nanos, Outcome};
use meadowstream_routing::CallPreference;
use tracing::debug;

impl ActionExecutor {
    /// Returns whether an invocation may make a downstream call now. The fleet's call budget and the health
    /// of the downstream services must permit the call. `waiting` is the number of runs that wait for a
    /// downstream call.
    pub fn is_call_permitted(&mut self, id: u64, waiting: usize) -> bool {
        let preference = self.call_preference(id);
        self.server.shared.as_ref().is_none_or(|shared| shared.is_call_permitted(waiting, preference))
    }

    /// Starts the downstream call of an invocation whose run waits for the call.
    pub fn start(&mut self, id: u64, timeout: Nanos) {
        let Some(records) = self.server.configuration.addresses.get().records else {
            return self.fail_as_unsupported(id, "a call");
        };
        self.last_call += 1;
        let number = self.last_call;
        let preference = self.call_preference(id);
        let Some(invocation) = self.invocations.get(id) else { return };
        let (reference, body) = (invocation.reference, invocation.call_body.clone());
        let operations = &self.server.configuration.settings.deployment.operations;
        let needs_new_connection = operations[invocation.operation].effect != Effect::Idempotent;
        let started = match &self.server.shared {
            Some(shared) => shared.start_call(number, timeout, preference),
            None => StartedCall { timeout, destination: None },
        };
        let StartedCall { timeout, destination } = started;
        invocation.last_service = destination.as_ref().map(|destination| destination.service);
        let to = destination.map_or(records, |destination| destination.address);
        debug!(
            number,
            reference = format!("{reference:016x}"),
            timeout_us = timeout / 1_000,
            "call permitted"
        );
        let permitted_at = self.server.clock.now();
        let call =
            Call { invocation: id, number, reference, permitted_at, timeout, body, needs_new_connection };
        let task = self.server.executor.spawn(call::make(self.server.clone(), to, call));
        invocation.call = Some(RunningCall { number, _task: task });
        self.server.counters.calls.add();
    }

    /// Skips the downstream call of an invocation and resumes its run. In place of the service's reply, the
    /// run receives the reply that the options define for skipped calls.
    pub fn skip(&mut self, id: u64) {
        let reply = self.server.configuration.options.borrow().skipped_call_reply.clone();
        let Some(reply) = reply else { return self.fail_as_unsupported(id, "skipping a downstream call") };
        if let Some(line) = self.resume_line(id, reply.as_bytes()) {
            self.server.counters.calls_left_out.add();
            self.send_for_run(id, RunCommand::Resume, line);
        }
    }

    /// Handles the end of a downstream call. Returns false if the call was already abandoned; the end of the
    /// call then has no effect.
    pub fn call_ended(&mut self, id: u64, number: u64, outcome: Outcome, reply: &[u8]) -> bool {
        let Some(invocation) = self.invocations.get(id) else { return false };
        if invocation.call.take_if(|call| call.number == number).is_none() {
            return false;
        }
        self.record_call_end(number, outcome);
        if outcome == Outcome::Succeeded
            && let Some(line) = self.resume_line(id, reply)
        {
            self.server.counters.replies_sent.add();
            self.send_for_run(id, RunCommand::Resume, line);
        }
        true
    }

    /// Abandons the downstream call of an invocation. Does nothing if no call is in progress.
    pub fn abandon_call(&mut self, id: u64) {
        let call = self.invocations.get(id).and_then(|invocation| invocation.call.take());
        let Some(call) = call else { return };
        self.server.counters.calls_dropped.add();
        debug!(number = call.number, "call abandoned");
        if let Some(shared) = &self.server.shared {
            shared.end_call(call.number, false, CallEvidence::Abandoned);
        }
    }

    fn record_call_end(&self, number: u64, outcome: Outcome) {
        if let Some(shared) = &self.server.shared {
            let evidence =
                if outcome == Outcome::Succeeded { CallEvidence::Succeeded } else { CallEvidence::Failed };
            shared.end_call(number, outcome != Outcome::Unknown, evidence);
        }
        let counters = &self.server.counters;
        match outcome {
            Outcome::Succeeded => counters.calls_succeeded.add(),
            Outcome::Failed => counters.calls_errored.add(),
            Outcome::NeverRan => counters.calls_never_ran.add(),
            _ => counters.calls_unknown.add(),
        }
    }

    /// Builds the interpreter command that resumes the run of an invocation with the reply to its
    /// downstream call.
    fn resume_line(&mut self, id: u64, reply: &[u8]) -> Option<Vec<u8>> {
        let invocation = self.invocations.get(id)?;
        invocation.call_body = Vec::new();
        invocation.awaits_call = false;
        Some(interpreter::resolve(invocation.reference, reply))
    }

    /// Returns how the downstream call of an invocation should be routed. The call may serve as a health
    /// check of an unhealthy service only under two conditions. The operation must be idempotent, and the
    /// call must be the invocation's first downstream call.
    fn call_preference(&mut self, id: u64) -> CallPreference {
        let Some(invocation) = self.invocations.get(id) else { return CallPreference::default() };
        let (operation, last_service) = (invocation.operation, invocation.last_service);
        let is_idempotent = self.effect(operation) == Effect::Idempotent;
        CallPreference { last_service, may_probe: is_idempotent && last_service.is_none() }
    }
}
