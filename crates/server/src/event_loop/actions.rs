//! What the controller's decisions act on, and what follows for an invocation that is answered or ends.

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

/// Gauges that have not come within this time after their request are done without.
const GAUGES_TIMEOUT_NS: Nanos = 250_000_000;

/// The rejection that comes next for an invocation carries a ticket.
pub struct PromisedAdmission {
    /// The invocation.
    pub invocation: u64,
    /// The ticket that its caller is to return with.
    pub ticket: u64,
}

/// A repeat that was answered from the invocation that it repeats.
pub struct Replayed {
    /// The repeat.
    pub invocation: u64,
    /// How the other one ended.
    pub outcome: Outcome,
}

/// Carries out the actions of the controller (`impl Host`), and owns all that they act on.
pub struct ActionExecutor {
    /// What all tasks share.
    pub server: Rc<Server>,
    /// Invocations until they are answered and no longer run.
    pub invocations: Invocations,
    /// Keys of invocations, and the results of those that succeeded.
    pub idempotency: IdempotencyTable,
    /// What is sent to the interpreter.
    pub session: InterpreterSession,
    /// Timers of the controller and of requests.
    pub timers: TimerQueue,
    /// The ticket for the rejection that comes next.
    pub promised: Option<PromisedAdmission>,
    /// Invocations that ended since an action was not possible; the controller is notified next.
    pub unsupported: Vec<u64>,
    /// Repeats that were answered; the controller is notified next.
    pub replayed: Vec<Replayed>,
    /// Number of the last downstream call.
    pub last_call: u64,
}

impl ActionExecutor {
    /// Without invocations, and without a link to the interpreter.
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

    /// Sets a timer that fires after a while.
    pub fn set_timer_after(&mut self, after: Nanos, timer: Timer) {
        self.timers.set(self.server.clock.now() + after, timer);
    }

    /// Requests the gauges for a timer of the controller.
    pub fn request_gauges(&mut self, timer: u32) {
        self.server.pool.close_expired();
        self.server.counters.gauges_asked.add();
        let nonce = self.session.request_gauges(timer);
        self.set_timer_after(GAUGES_TIMEOUT_NS, Timer::GaugesOverdue { nonce });
    }

    /// Sends a command that a run depends on, and keeps it until a notice shows that it was received.
    pub fn send_for_run(&mut self, invocation: u64, line: Vec<u8>) {
        let link = self.session.send(line.clone());
        if let Some(invocation) = self.invocations.get(invocation) {
            invocation.unconfirmed = Some(SentCommand { line, link });
        }
    }

    /// Sends again the commands that a lost link may have swallowed. The interpreter ignores those that it
    /// has received already.
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

    /// Gives the final answer, unless one was given.
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

    /// No answer is owed any more: a downstream call is given up, and a run that waits for one is stopped.
    pub fn close(&mut self, id: u64) {
        let Some(invocation) = self.invocations.get(id) else { return };
        invocation.is_answered = true;
        if let Some(original) = invocation.repeat_of {
            self.idempotency.stop_waiting(original, id);
        }
        self.abandon_call(id);
        self.stop_at_call(id);
        self.invocations.release(id);
    }

    /// Stops a run that waits for a downstream call that will not be made: it would stay there for ever, and
    /// count as one that waits. The result of a run that is idempotent with a key may still serve repeats.
    fn stop_at_call(&mut self, id: u64) {
        let Some(invocation) = self.invocations.get(id) else { return };
        let waits = invocation.is_running && invocation.awaits_call;
        let operation = invocation.operation;
        if waits && self.effect(operation) != Effect::IdempotentWithKey {
            self.stop(id);
        }
    }

    /// Asks the interpreter to stop a run.
    pub fn stop(&mut self, id: u64) {
        let Some(invocation) = self.invocations.get(id).filter(|invocation| invocation.is_running) else {
            return;
        };
        let line = interpreter::stop(invocation.reference);
        self.server.counters.stops_sent.add();
        invocation.stop_link = Some(self.session.send(line));
    }

    /// A run has ended; repeats that wait for it are answered with it.
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

    /// Answers a repeat as the invocation that it repeats has ended: with a result where that succeeded.
    pub fn answer_repeat(&mut self, id: u64, result: Option<Vec<u8>>) {
        let outcome = if result.is_some() { Outcome::Succeeded } else { Outcome::Failed };
        self.answer(id, result.map_or(Answer::Failed, Answer::Succeeded));
        self.replayed.push(Replayed { invocation: id, outcome });
    }

    /// Makes the key of an invocation new again, with which repeats that wait for it fail.
    pub fn forget(&mut self, id: u64) {
        for repeat in self.idempotency.forget(id) {
            self.answer_repeat(repeat, None);
        }
    }

    /// The same for one that never ran: a call that a peer made up must not occupy the key of the true one.
    /// Where its command went out more than once the first may have run.
    pub fn forget_unless_resent(&mut self, id: u64) {
        if self.invocations.get(id).is_some_and(|invocation| !invocation.was_resent) {
            self.forget(id);
        }
    }

    /// What running an operation twice does.
    pub fn effect(&self, operation: usize) -> Effect {
        self.server.configuration.settings.deployment.operations[operation].effect
    }

    /// Settings that ask for what the wire cannot carry are refused at the start. Should the controller ask
    /// for it all the same, the invocation ends with an error.
    pub fn fail_as_unsupported(&mut self, id: u64, what: &str) {
        warn!(what, "not on this wire");
        self.answer(id, Answer::Failed);
        self.stop(id);
        self.unsupported.push(id);
    }
}
