//! Implements the actions that the controller requests. Each action is forwarded to the component that
//! executes it.

use crate::event_loop::actions::{ActionExecutor, PromisedAdmission};
use crate::event_loop::run_log::StopCause;
use crate::event_loop::timers::Timer;
use crate::resources::idempotency::Replay;
use crate::wire::rpc::Answer;
use meadowstream_overload_control::{Host, Nanos};
use tracing::info;

impl Host for ActionExecutor {
    fn start_run(&mut self, id: u64) {
        let Some(invocation) = self.invocations.get(id) else { return };
        invocation.is_running = true;
        self.server.counters.runs_sent.add();
        self.remember_run(id);
        self.send_start(id);
    }

    fn stop_run(&mut self, id: u64) {
        let is_answered = self.invocations.get(id).is_some_and(|invocation| invocation.is_answered);
        self.stop(id, if is_answered { StopCause::Answered } else { StopCause::PresumedLost });
    }

    fn restart_run(&mut self, id: u64) {
        self.restart(id);
    }

    fn abandon_run(&mut self, id: u64) {
        self.exclude(id);
    }

    fn promise_admission(&mut self, invocation: u64, ticket: u64) {
        self.promised = Some(PromisedAdmission { invocation, ticket });
    }

    fn reject(&mut self, id: u64, no_retry: bool, retry_after: Nanos) {
        let promised = self.promised.take().filter(|promised| promised.invocation == id);
        let ticket = promised.map(|promised| promised.ticket);
        self.answer(id, Answer::Rejected { no_retry, retry_after, ticket });
    }

    fn fail(&mut self, id: u64) {
        self.answer(id, Answer::Failed);
    }

    fn may_start_call(&mut self, id: u64, waiting: usize) -> bool {
        self.is_call_permitted(id, waiting)
    }

    fn start_call(&mut self, id: u64, timeout: Nanos) {
        self.start(id, timeout);
    }

    fn skip_call(&mut self, id: u64) {
        self.skip(id);
    }

    /// Does nothing: the server has already stored the idempotency key when it registered the request.
    fn remember_key(&mut self, _id: u64, _lifetime: Nanos) {}

    fn forget_key(&mut self, id: u64) {
        self.forget(id);
    }

    fn replay_result(&mut self, id: u64) {
        let Some(original) = self.invocations.get(id).and_then(|invocation| invocation.repeat_of) else {
            return self
                .fail_as_unsupported(id, "answering a call that is not a repeat from an earlier result");
        };
        match self.idempotency.replay(original, id) {
            Replay::Pending => {}
            Replay::Result(result) => self.answer_repeat(id, Some(result)),
            Replay::Failed => self.answer_repeat(id, None),
        }
    }

    fn set_health(&mut self, healthy: bool, _cached: bool) {
        self.server.health.healthy.set(healthy);
    }

    fn advertise_load(&mut self, load: f64) {
        self.server.health.advertised_load.set(Some(load));
    }

    fn close_idle_connections(&mut self, after: Nanos) {
        self.server.connections.drain_idle_since(self.server.clock.now().saturating_sub(after));
    }

    fn set_timer(&mut self, after: Nanos, timer: u32) {
        self.set_timer_after(after, Timer::Controller(timer));
    }

    fn log(&mut self, line: &str) {
        info!("{line}");
    }
}
