//! Executes the overload controller's actions, and updates the state of an invocation when it is answered or
//! its run ends.

use crate::connection::table::Notification;
use crate::event_loop::answers;
use crate::event_loop::interpreter_session::InterpreterSession;
use crate::event_loop::timers::{Timer, TimerQueue};
use crate::resources::idempotency::IdempotencyTable;
use crate::resources::invocations::{Invocations, SentCommand};
use crate::server::Server;
use crate::wire::interpreter;
use crate::wire::resp::WORD_MAX;
use crate::wire::rpc::Answer;
use meadowstream_overload_control::{Effect, Nanos, Outcome};
use std::rc::Rc;
use tracing::warn;

/// Time to wait for the interpreter's gauges. After this time the control period continues without them.
const GAUGES_TIMEOUT_NS: Nanos = 250_000_000;

/// An admission promised to the caller of the next rejected invocation. Its rejection carries the ticket.
pub struct PromisedAdmission {
    /// Id of the invocation to be rejected.
    pub invocation: u64,
    /// Ticket that the caller sends with its next attempt to redeem the promise.
    pub ticket: u64,
}

/// A repeated call that was answered with the outcome of the original invocation.
pub struct Replayed {
    /// Id of the repeated call's own invocation.
    pub invocation: u64,
    /// Outcome of the original invocation.
    pub outcome: Outcome,
}

/// Executes the actions of the overload controller (`impl Host`) and owns the state that they change.
pub struct ActionExecutor {
    /// State shared by all tasks.
    pub server: Rc<Server>,
    /// All invocations that are unanswered or still running.
    pub invocations: Invocations,
    /// Idempotency keys, with the results of invocations that succeeded.
    pub idempotency: IdempotencyTable,
    /// The session with the interpreter, through which commands are sent.
    pub session: InterpreterSession,
    /// Timers of the controller and of outstanding gauge requests.
    pub timers: TimerQueue,
    /// The ticket to include in the next rejection, if the controller promised an admission.
    pub promised: Option<PromisedAdmission>,
    /// Invocations that failed because an action is not supported; the controller is notified after the
    /// current action.
    pub unsupported: Vec<u64>,
    /// Repeated calls that were answered; the controller is notified after the current action.
    pub replayed: Vec<Replayed>,
    /// Number of the most recent downstream call, counted from 1.
    pub last_call: u64,
}

impl ActionExecutor {
    /// Creates an executor without invocations and without a link to the interpreter.
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

    /// Requests the interpreter's gauges, which the controller needs to handle its timer `timer`.
    pub fn request_gauges(&mut self, timer: u32) {
        self.server.pool.close_expired();
        self.server.counters.gauges_asked.add();
        let nonce = self.session.request_gauges(timer);
        self.set_timer_after(GAUGES_TIMEOUT_NS, Timer::GaugesOverdue { nonce });
    }

    /// Sends a command that a run depends on, and stores it until a notice from the interpreter confirms its
    /// receipt.
    pub fn send_for_run(&mut self, invocation: u64, line: Vec<u8>) {
        let link = self.session.send(line.clone());
        if let Some(invocation) = self.invocations.get(invocation) {
            invocation.unconfirmed = Some(SentCommand { line, link });
        }
    }

    /// Resends unconfirmed commands that may have been lost with an earlier link. The interpreter ignores
    /// duplicates of commands that it has already received.
    pub fn resend_unconfirmed(&mut self) {
        let link = self.session.link();
        let mut lines = Vec::new();
        for invocation in self.invocations.iter_mut().filter(|invocation| invocation.is_running) {
            if let Some(sent) = invocation.unconfirmed.as_mut().filter(|sent| sent.link < link) {
                sent.link = link;
                lines.push(sent.line.clone());
                invocation.was_resent = true;
            }
            if let Some(last_link) = invocation.stop_link.as_mut().filter(|last_link| **last_link < link) {
                *last_link = link;
                lines.push(interpreter::stop(invocation.reference));
            }
        }
        for line in lines {
            self.server.counters.commands_sent_again.add();
            self.session.send(line);
        }
    }

    /// Sends the final answer to the caller, unless the invocation is already answered.
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

    /// Marks an invocation as needing no further answer: its downstream call is abandoned, and a run that
    /// waits for such a call is stopped.
    pub fn close(&mut self, id: u64) {
        let Some(invocation) = self.invocations.get(id) else { return };
        invocation.is_answered = true;
        if let Some(original) = invocation.repeat_of {
            self.idempotency.stop_waiting(original, id);
        }
        self.abandon_call(id);
        self.stop_run_awaiting_call(id);
        self.invocations.release(id);
    }

    /// Stops a run that waits for a downstream call which will not be made. Otherwise the run would never
    /// end, and the controller would keep counting it among the waiting runs. A run that is idempotent with a
    /// key continues, since its result may still answer repeated calls.
    fn stop_run_awaiting_call(&mut self, id: u64) {
        let Some(invocation) = self.invocations.get(id) else { return };
        let awaits_call = invocation.is_running && invocation.awaits_call;
        let operation = invocation.operation;
        if awaits_call && self.effect(operation) != Effect::IdempotentWithKey {
            self.stop(id);
        }
    }

    /// Sends the interpreter a command to stop a run, if it is running.
    pub fn stop(&mut self, id: u64) {
        let Some(invocation) = self.invocations.get(id).filter(|invocation| invocation.is_running) else {
            return;
        };
        let line = interpreter::stop(invocation.reference);
        self.server.counters.stops_sent.add();
        invocation.stop_link = Some(self.session.send(line));
    }

    /// Handles the end of a run: answers its caller and all repeated calls that wait for its outcome.
    pub fn run_ended(&mut self, id: u64, outcome: Outcome, result: Vec<u8>) {
        self.server.counters.runs_ended.add();
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
            invocation.stop_link = None;
        }
    }

    /// Answers a repeated call when the original invocation has ended. `result` is `None` if the original
    /// failed or its result is not available.
    pub fn answer_repeat(&mut self, id: u64, result: Option<Vec<u8>>) {
        let outcome = if result.is_some() { Outcome::Succeeded } else { Outcome::Failed };
        self.answer(id, result.map_or(Answer::Failed, Answer::Succeeded));
        self.replayed.push(Replayed { invocation: id, outcome });
    }

    /// Removes the key of an invocation from the table, so that the next call with this key runs again.
    /// Repeated calls that wait for the invocation fail.
    pub fn forget(&mut self, id: u64) {
        for repeat in self.idempotency.forget(id) {
            self.answer_repeat(repeat, None);
        }
    }

    /// Forgets the key of an invocation that never ran: a call forged by a peer must not block the key of the
    /// genuine call. If a command of the invocation was sent again over a later link the key is kept, since
    /// the first command may have started the run.
    pub fn forget_unless_resent(&mut self, id: u64) {
        if self.invocations.get(id).is_some_and(|invocation| !invocation.was_resent) {
            self.forget(id);
        }
    }

    /// Returns whether an operation is idempotent, non-idempotent or idempotent with a key.
    pub fn effect(&self, operation: usize) -> Effect {
        self.server.configuration.settings.deployment.operations[operation].effect
    }

    /// Fails an invocation because the configured protocols cannot express the action that the controller
    /// requested. Settings that require such actions are rejected at startup, so this is not expected to
    /// happen.
    pub fn fail_as_unsupported(&mut self, id: u64, what: &str) {
        warn!(what, "cannot carry out an action of the controller");
        self.answer(id, Answer::Failed);
        self.stop(id);
        self.unsupported.push(id);
    }
}
