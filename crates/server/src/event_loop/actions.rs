//! Executes the actions that the overload controller requests. Updates the state of an invocation when the
//! invocation is answered or its run ends.

use crate::connection::table::Notification;
use crate::event_loop::answers;
use crate::event_loop::interpreter_session::InterpreterSession;
use crate::event_loop::run_log::{self, StopCause};
use crate::event_loop::timers::{Timer, TimerQueue};
use crate::resources::idempotency::IdempotencyTable;
use crate::resources::invocations::{Delivery, Invocations, RunCommand, SentCommand};
use crate::resources::recent_runs::RecentRuns;
use crate::server::Server;
use crate::wire::interpreter;
use crate::wire::resp::WORD_MAX;
use crate::wire::rpc::Answer;
use meadowstream_overload_control::{Effect, Nanos, Outcome};
use std::rc::Rc;
use tracing::warn;

/// Maximum time, in nanoseconds, that the event loop waits for the interpreter's gauge readings in a control
/// period. After this time the control period continues without the readings.
const GAUGES_TIMEOUT_NS: Nanos = 250_000_000;
/// Time for which the reference of a run that must not run twice is remembered, as a multiple of the longest
/// client timeout. After one such timeout no caller of the invocation waits any more.
const REFERENCE_MEMORY_RATIO: Nanos = 2;

/// A promise to admit a caller's next attempt. The rejection of the present attempt carries the ticket of the
/// promise.
pub struct PromisedAdmission {
    /// Id of the invocation that is about to be rejected with the promise.
    pub invocation: u64,
    /// Ticket that the caller presents with its next attempt, so that this attempt is admitted.
    pub ticket: u64,
}

/// A repeated call that was answered with the outcome of an earlier invocation. The repeated call and the
/// earlier invocation have the same idempotency key.
pub struct Replayed {
    /// Id of the invocation that was registered for the repeated call.
    pub invocation: u64,
    /// Outcome of the earlier invocation with the same idempotency key. The repeated call was answered with
    /// this outcome.
    pub outcome: Outcome,
}

/// Executes the actions that the overload controller requests, as an implementation of the trait `Host`. Owns
/// the state that these actions change.
pub struct ActionExecutor {
    /// State of the server that all its tasks share.
    pub server: Rc<Server>,
    /// All invocations that are not yet answered or whose run has not ended.
    pub invocations: Invocations,
    /// Table of idempotency keys. The table also stores the results of successful invocations, up to a total
    /// size.
    pub idempotency: IdempotencyTable,
    /// References of recent runs of operations that are not idempotent.
    pub recent_runs: RecentRuns,
    /// The session with the interpreter. Commands to the interpreter are sent through this session.
    pub session: InterpreterSession,
    /// Timers that the controller has set, and timeouts of unanswered gauge requests.
    pub timers: TimerQueue,
    /// Promise of admission that the next rejection carries; `None` if the controller has made no promise.
    pub promised: Option<PromisedAdmission>,
    /// Ids of invocations that failed because the controller requested an unsupported action for them. The
    /// controller is notified of these failures after the current action.
    pub unsupported: Vec<u64>,
    /// Repeated calls that were answered with the outcome of an earlier invocation. The controller is
    /// notified of these answers after the current action.
    pub replayed: Vec<Replayed>,
    /// Number of the most recent downstream call. The first call of the process has number 1.
    pub last_call: u64,
}

impl ActionExecutor {
    /// Creates an executor that has no invocations and no link to the interpreter yet.
    pub fn new(server: Rc<Server>) -> Self {
        let idempotency = {
            let configuration = &server.configuration;
            let options = configuration.options.borrow();
            let keys = options.idempotency_keys.as_ref();
            let (entries, bytes) = keys.map_or((0, 0), |keys| (keys.entries, keys.result_bytes));
            IdempotencyTable::new(entries, bytes, configuration.longest_client_timeout())
        };
        Self {
            server,
            invocations: Invocations::default(),
            idempotency,
            recent_runs: RecentRuns::default(),
            session: InterpreterSession::default(),
            timers: TimerQueue::default(),
            promised: None,
            unsupported: Vec::new(),
            replayed: Vec::new(),
            last_call: 0,
        }
    }

    /// Sets a timer that fires `after` nanoseconds from now.
    pub fn set_timer_after(&mut self, after: Nanos, timer: Timer) {
        self.timers.set(self.server.clock.now() + after, timer);
    }

    /// Requests the gauges of the interpreter because the controller's timer with the number `timer` has
    /// expired. The controller is notified of the expired timer when the gauges arrive, or when the request
    /// times out.
    pub fn request_gauges(&mut self, timer: u32) {
        self.server.pool.close_expired();
        self.server.counters.gauges_asked.add();
        let nonce = self.session.request_gauges(timer);
        self.set_timer_after(GAUGES_TIMEOUT_NS, Timer::GaugesOverdue { nonce });
    }

    /// Remembers the reference of a run if its operation is not idempotent, so that the reference does not
    /// run a second time after the invocation has left the table.
    pub fn remember_run(&mut self, id: u64) {
        let Some(invocation) = self.invocations.get(id) else { return };
        let (operation, reference) = (invocation.operation, invocation.reference);
        if self.effect(operation) == Effect::NonIdempotent {
            let kept_for = self.server.configuration.longest_client_timeout() * REFERENCE_MEMORY_RATIO;
            self.recent_runs.insert(reference, self.server.clock.now() + kept_for);
        }
    }

    /// Sends the command that starts the run of an invocation.
    pub fn send_start(&mut self, id: u64) {
        let Some(invocation) = self.invocations.get(id) else { return };
        run_log::begun(invocation);
        let operation = &self.server.configuration.settings.operation_names[invocation.operation];
        let line = interpreter::apply(invocation.reference, operation, &invocation.body);
        self.send_for_run(id, RunCommand::Start, line);
    }

    /// Sends a command that starts or resumes the run of an invocation. The command is stored until the
    /// interpreter is known to have received it.
    pub fn send_for_run(&mut self, id: u64, command: RunCommand, line: Vec<u8>) {
        let delivery = self.send(line.clone());
        if let Some(invocation) = self.invocations.get(id) {
            invocation.unconfirmed = Some(SentCommand { command, line, delivery });
        }
    }

    /// Sends a command to the interpreter. Returns how far the command has come.
    pub fn send(&mut self, line: Vec<u8>) -> Delivery {
        self.session.send(line).map_or(Delivery::NotReceived, Delivery::Sent)
    }

    /// Sends the final answer of an invocation to its caller. Does nothing if the invocation was already
    /// answered.
    pub fn answer(&mut self, id: u64, answer: Answer) {
        let Some(invocation) = self.invocations.get(id) else { return };
        if invocation.is_answered {
            self.server.counters.late_results.add();
            return;
        }
        answers::record(&self.server, invocation, &answer);
        invocation.connection.notify(Notification::Answer { tag: invocation.tag, answer });
        self.close(id);
    }

    /// Closes an invocation, so that the server sends no further answer to its caller. Abandons the
    /// invocation's downstream call.
    ///
    /// If the run waits for a downstream call, also stops the run. A run of an operation that is idempotent
    /// with a key continues, because repeated calls may need the result.
    pub fn close(&mut self, id: u64) {
        let Some(invocation) = self.invocations.get(id) else { return };
        invocation.is_answered = true;
        if let Some(original) = invocation.repeat_of {
            self.idempotency.stop_waiting(original, id);
        }
        self.abandon_call(id);
        self.stop_run_awaiting_call(id);
        self.give_up_lost_run(id);
        self.invocations.release(id);
    }

    /// Stops the run of a closed invocation if the run waits for a downstream call. The call will not be
    /// made, so the run would never end, and the controller would always count the run as waiting.
    ///
    /// The run of an operation that is idempotent with a key is not stopped, because its result may still
    /// answer repeated calls.
    fn stop_run_awaiting_call(&mut self, id: u64) {
        let Some(invocation) = self.invocations.get(id) else { return };
        let awaits_call = invocation.is_running && invocation.awaits_call;
        let operation = invocation.operation;
        if awaits_call && self.effect(operation) != Effect::IdempotentWithKey {
            self.stop(id, StopCause::CallAbandoned);
        }
    }

    /// Sends the interpreter a command to stop the run of an invocation. Does nothing if the invocation has
    /// no run.
    pub fn stop(&mut self, id: u64, cause: StopCause) {
        let Some(invocation) = self.invocations.get(id).filter(|invocation| invocation.is_running) else {
            return;
        };
        run_log::stopping(invocation, cause);
        let line = interpreter::stop(invocation.reference);
        self.server.counters.stops_sent.add();
        let delivery = self.send(line);
        if let Some(invocation) = self.invocations.get(id) {
            invocation.stop = Some(delivery);
        }
    }

    /// Handles the end of a run. Answers the caller of the invocation, and all repeated calls that wait for
    /// the outcome of this run.
    pub fn run_ended(&mut self, id: u64, outcome: Outcome, result: Vec<u8>) {
        if let Some(invocation) = self.invocations.get(id) {
            run_log::ended(invocation, outcome);
            invocation.may_be_lost = false;
            // The wait for the end of a lingering run was already counted as over.
            if !invocation.lingers {
                self.server.counters.runs_ended.add();
            }
        }
        self.abandon_call(id);
        let result = Some(result).filter(|result| outcome == Outcome::Succeeded && result.len() <= WORD_MAX);
        for repeat in self.idempotency.run_ended(id, result.as_deref()) {
            self.answer_repeat(repeat, result.clone());
        }
        match (outcome, result) {
            (Outcome::Succeeded, Some(result)) => self.answer(id, Answer::Succeeded(result)),
            (Outcome::Succeeded | Outcome::Failed | Outcome::NeverRan, _) => self.answer(id, Answer::Failed),
            _ => {}
        }
        if let Some(invocation) = self.invocations.get(id) {
            invocation.is_running = false;
            invocation.unconfirmed = None;
            invocation.stop = None;
            invocation.lingers = false;
        }
    }

    /// Answers a repeated call once the original invocation has ended. `result` is `None` if the original
    /// invocation failed or its result is not available.
    pub fn answer_repeat(&mut self, id: u64, result: Option<Vec<u8>>) {
        let outcome = if result.is_some() { Outcome::Succeeded } else { Outcome::Failed };
        self.answer(id, result.map_or(Answer::Failed, Answer::Succeeded));
        self.replayed.push(Replayed { invocation: id, outcome });
    }

    /// Removes the idempotency key of an invocation from the table. The next call with this key then runs the
    /// operation again. Repeated calls that wait for the outcome of this invocation fail.
    pub fn forget(&mut self, id: u64) {
        for repeat in self.idempotency.forget(id) {
            self.answer_repeat(repeat, None);
        }
    }

    /// Returns whether an operation is idempotent, not idempotent, or idempotent with a key.
    pub fn effect(&self, operation: usize) -> Effect {
        self.server.configuration.settings.deployment.operations[operation].effect
    }

    /// Fails an invocation because the controller requested an action that the protocols of this server
    /// cannot express. The controller is not expected to request such an action, because settings that need
    /// such actions are refused at startup.
    pub fn fail_as_unsupported(&mut self, id: u64, what: &str) {
        warn!(what, "cannot carry out an action of the controller");
        self.answer(id, Answer::Failed);
        self.stop(id, StopCause::Unsupported);
        self.unsupported.push(id);
    }
}
