//! Decides what becomes of runs whose commands may have been lost with a link to the interpreter.
//!
//! The protocol has no conditional command: a second command to start a run starts the run again if it has
//! ended in the meantime, and a second reply answers the run's next downstream call. A command is therefore
//! sent again only if the first copy cannot have been received, or if a second run is harmless. In all other
//! cases the server waits for a notice of the run. If none comes, the caller receives an error when its
//! answer is due.

use crate::event_loop::actions::ActionExecutor;
use crate::event_loop::run_log::{self, StopCause};
use crate::resources::invocations::{Delivery, Invocation, RunCommand};
use crate::wire::interpreter;
use meadowstream_overload_control::{Effect, Preemption};
use tracing::{debug, warn};

/// What the controller must be told of a run after a link was lost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RecoveredRun {
    /// The run of this invocation never began, or it is not needed and its end cannot be observed.
    Ended(u64),
    /// The last command of this invocation's run may have been lost. No notice of the run may ever come.
    Unconfirmed(u64),
}

/// What to do about the last command of a run whose link was lost.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Decision {
    /// The command is sent over the new link.
    SendAgain,
    /// The run is stopped, because it is not needed.
    Stop,
    /// The command is given up. A notice of the run is waited for.
    AwaitNotice,
    /// The run is treated as over.
    EndRun,
    /// The command was received, or the command to stop the run is sent again, which suffices.
    Nothing,
}

/// Decides about the last command of a run whose link was lost. `can_stop` states whether the settings permit
/// the server to stop runs.
fn decide(invocation: &Invocation, effect: Effect, can_stop: bool) -> Decision {
    let Some(sent) = &invocation.unconfirmed else { return Decision::Nothing };
    // The result of a run that is idempotent with a key may still answer repeated calls.
    let is_needed = !invocation.is_answered || effect == Effect::IdempotentWithKey;
    match (sent.delivery, sent.command) {
        (Delivery::Sent(_), _) => Decision::Nothing,
        (Delivery::NotReceived, RunCommand::Start) if !is_needed => Decision::EndRun,
        (Delivery::NotReceived, _) if invocation.stop.is_some() => Decision::Nothing,
        (Delivery::NotReceived, _) => Decision::SendAgain,
        (Delivery::Unknown, _) if invocation.is_answered && !can_stop => Decision::EndRun,
        (Delivery::Unknown, _) if invocation.stop.is_some() => Decision::Nothing,
        (Delivery::Unknown, _) if invocation.is_answered => Decision::Stop,
        (Delivery::Unknown, RunCommand::Start) if effect == Effect::Idempotent => Decision::SendAgain,
        (Delivery::Unknown, _) => Decision::AwaitNotice,
    }
}

impl ActionExecutor {
    /// Handles the loss of the link: determines which commands were received, as far as it is known.
    pub fn link_lost(&mut self) {
        let Some(lost) = self.session.clear_link() else { return };
        for invocation in self.invocations.iter_mut() {
            invocation.on_link_lost(&lost);
        }
    }

    /// Decides what becomes of the runs whose commands may have been lost. Called when the interpreter has
    /// replayed all notices on a new link, so that all runs whose end it has reported have ended here, too.
    pub fn recover_runs(&mut self) -> Vec<RecoveredRun> {
        let can_stop = self.can_stop_runs();
        let mut recovered = Vec::new();
        for id in self.invocations.running() {
            let operations = &self.server.configuration.settings.deployment.operations;
            let Some(invocation) = self.invocations.get(id) else { continue };
            match decide(invocation, operations[invocation.operation].effect, can_stop) {
                Decision::SendAgain => self.send_again(id),
                Decision::Stop => self.stop(id, StopCause::Answered),
                Decision::AwaitNotice => {
                    self.await_notice(id);
                    recovered.push(RecoveredRun::Unconfirmed(id));
                }
                Decision::EndRun => recovered.push(RecoveredRun::Ended(id)),
                Decision::Nothing => {}
            }
        }
        self.send_stops_again();
        recovered
    }

    /// Handles missed notices. The ends of runs may be among them, so no run is certain to be reported.
    pub fn notices_missed(&mut self) -> Vec<RecoveredRun> {
        warn!("the interpreter no longer has all notices that were not read");
        self.server.counters.replays_incomplete.add();
        let can_stop = self.can_stop_runs();
        let mut recovered = Vec::new();
        for id in self.invocations.running() {
            let Some(invocation) = self.invocations.get(id) else { continue };
            // The fate of a run with an unconfirmed command is decided at the end of the replay.
            if invocation.unconfirmed.is_some() || invocation.stop.is_some() || invocation.may_be_lost {
                continue;
            }
            if invocation.is_answered && can_stop {
                self.stop(id, StopCause::NoticesMissed);
            } else if invocation.is_answered {
                recovered.push(RecoveredRun::Ended(id));
            } else if !invocation.awaits_call {
                self.await_notice(id);
                recovered.push(RecoveredRun::Unconfirmed(id));
            }
        }
        recovered
    }

    /// Handles a reply to a downstream call that the interpreter could not pass on, because no run waits for
    /// it. The run may be over although no notice of its end was read.
    pub fn reply_not_taken(&mut self, id: u64) -> Option<RecoveredRun> {
        let invocation = self.invocations.get(id)?;
        let is_resuming =
            invocation.unconfirmed.as_ref().is_some_and(|sent| sent.command == RunCommand::Resume);
        if !is_resuming || invocation.is_answered {
            return None;
        }
        self.await_notice(id);
        Some(RecoveredRun::Unconfirmed(id))
    }

    fn send_again(&mut self, id: u64) {
        let sent = self.invocations.get(id).and_then(|invocation| invocation.unconfirmed.take());
        let Some(sent) = sent else { return };
        self.server.counters.commands_sent_again.add();
        self.send_for_run(id, sent.command, sent.line);
    }

    /// Waits for a notice of a run that may be over or may wait for a lost reply. Gives up the run's last
    /// command if its receipt is unknown.
    fn await_notice(&mut self, id: u64) {
        let Some(invocation) = self.invocations.get(id) else { return };
        invocation.may_be_lost = true;
        let sent = invocation.unconfirmed.take();
        let command = sent.map(|sent| sent.command);
        let reference = format!("{:016x}", invocation.reference);
        debug!(reference, ?command, "the run may have been lost");
        self.server.counters.receipts_unknown.add();
    }

    /// Sends commands to stop runs again if their link was lost. A second such command does no harm: while
    /// the end of the run is not read, no new run of the invocation is started.
    fn send_stops_again(&mut self) {
        for id in self.invocations.stopping(|delivery| !matches!(delivery, Delivery::Sent(_))) {
            let Some(invocation) = self.invocations.get(id) else { continue };
            let line = interpreter::stop(invocation.reference);
            self.server.counters.commands_sent_again.add();
            let delivery = self.send(line);
            if let Some(invocation) = self.invocations.get(id) {
                invocation.stop = Some(delivery);
            }
        }
    }

    /// Stops the runs of answered invocations whose idempotency keys have expired. Until then, such a run
    /// goes on, because its result may answer repeated calls. If the end of the run was missed, the run
    /// would otherwise be counted as running for ever.
    pub fn stop_runs_with_expired_keys(&mut self) {
        if !self.can_stop_runs() {
            return;
        }
        let now = self.server.clock.now();
        for id in self.invocations.running() {
            let Some(invocation) = self.invocations.get(id) else { continue };
            let may_be_stopped = invocation.is_answered && invocation.stop.is_none();
            if may_be_stopped && self.idempotency.has_expired(id, now) {
                self.stop(id, StopCause::KeyExpired);
            }
        }
    }

    /// Returns the ids of the invocations whose runs are certainly over, because the interpreter has received
    /// the command to stop them. The notice of the end came before, unless it was lost or the run never
    /// existed.
    pub fn stopped_runs(&self) -> Vec<u64> {
        self.invocations.stopping(
            |delivery| matches!(delivery, Delivery::Sent(position) if self.session.is_received(position)),
        )
    }

    /// Ends the run of a closed invocation if the run's last command may have been lost. No notice of the run
    /// may ever come, so the run must not be waited for. Repeated calls that wait for the outcome fail.
    pub fn end_lost_run(&mut self, id: u64) {
        let is_lost = |invocation: &&mut Invocation| invocation.may_be_lost && invocation.is_running;
        let Some(invocation) = self.invocations.get(id).filter(is_lost) else { return };
        run_log::given_up(invocation);
        self.server.counters.runs_given_up.add();
        if self.can_stop_runs() {
            self.stop(id, StopCause::Answered);
        }
        if let Some(invocation) = self.invocations.get(id) {
            invocation.is_running = false;
        }
        for repeat in self.idempotency.run_ended(id, None) {
            self.answer_repeat(repeat, None);
        }
    }

    /// Returns whether the settings permit the server to stop runs.
    fn can_stop_runs(&self) -> bool {
        self.server.configuration.settings.deployment.preemption != Preemption::Unsupported
    }
}
