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
    /// The run of this invocation never began.
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
    /// The command was never written, and the run is not needed. The run is over.
    EndRun,
    /// The run is not needed and cannot be stopped. A notice of it may never come.
    GiveUp,
    /// The command was received, or the command to stop the run is sent again, which suffices.
    Nothing,
}

/// Decides about the last command of a run whose link was lost. `can_stop` states whether the settings permit
/// the server to stop runs.
fn decide(invocation: &Invocation, effect: Effect, can_stop: bool) -> Decision {
    let Some(sent) = invocation.unconfirmed.as_ref().filter(|_| !invocation.lingers) else {
        return Decision::Nothing;
    };
    // The result of a run that is idempotent with a key may still answer repeated calls.
    let is_needed = !invocation.is_answered || effect == Effect::IdempotentWithKey;
    match (sent.delivery, sent.command) {
        (Delivery::Sent(_), _) => Decision::Nothing,
        (Delivery::NotReceived, RunCommand::Start) if !is_needed => Decision::EndRun,
        (Delivery::NotReceived, _) if invocation.stop.is_some() => Decision::Nothing,
        (Delivery::NotReceived, _) => Decision::SendAgain,
        (Delivery::Unknown, _) if invocation.is_answered && !can_stop => Decision::GiveUp,
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
                Decision::GiveUp => {
                    self.await_notice(id);
                    self.give_up_lost_run(id);
                    recovered.push(RecoveredRun::Unconfirmed(id));
                }
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
            let is_decided_otherwise = invocation.unconfirmed.is_some() || invocation.stop.is_some();
            if is_decided_otherwise || invocation.may_be_lost || invocation.lingers {
                continue;
            }
            if invocation.is_answered && can_stop {
                self.stop(id, StopCause::NoticesMissed);
            } else if invocation.is_answered {
                self.await_notice(id);
                self.give_up_lost_run(id);
                recovered.push(RecoveredRun::Unconfirmed(id));
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
    /// the end of the run is not read, no new run of the invocation is started. The controller decides when a
    /// lingering run is told again to stop.
    fn send_stops_again(&mut self) {
        for id in self.invocations.stopping(|delivery| !matches!(delivery, Delivery::Sent(_))) {
            let Some(invocation) = self.invocations.get(id).filter(|invocation| !invocation.lingers) else {
                continue;
            };
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
            let may_be_stopped = invocation.is_answered && invocation.stop.is_none() && !invocation.lingers;
            if may_be_stopped && self.idempotency.has_expired(id, now) {
                self.stop(id, StopCause::KeyExpired);
            }
        }
    }

    /// Takes the commands to stop runs whose receipt is shown and whose runs were not reported to have ended.
    /// Returns the ids of their invocations. If the interpreter carries out a command, it reports the end of
    /// the run before it answers a later gauge request. While the cores stand still, it stops nothing.
    pub fn take_unconfirmed_stops(&mut self) -> Vec<u64> {
        let session = &self.session;
        let is_received =
            |delivery| matches!(delivery, Delivery::Sent(position) if session.is_received(position));
        let received = self.invocations.stopping(is_received);
        for id in &received {
            let Some(invocation) = self.invocations.get(*id) else { continue };
            invocation.stop = None;
            run_log::stop_unconfirmed(invocation);
            if invocation.is_answered && !invocation.lingers {
                self.server.counters.runs_ended.add();
                self.linger(*id);
            }
        }
        received
    }

    /// Starts a run again that may have been lost. The interpreter ignores the command for a run that is on
    /// the cores.
    pub fn restart(&mut self, id: u64) {
        let Some(invocation) = self.invocations.get(id) else { return };
        invocation.may_be_lost = false;
        invocation.awaits_call = false;
        self.server.counters.commands_sent_again.add();
        self.send_start(id);
    }

    /// Gives up waiting for the end of a closed invocation's run if the run's last command may have been
    /// lost, and tells the run to stop. No notice of the run may ever come. Repeated calls that wait for
    /// the outcome fail.
    pub fn give_up_lost_run(&mut self, id: u64) {
        let is_lost = |invocation: &&mut Invocation| invocation.may_be_lost && invocation.is_running;
        let Some(invocation) = self.invocations.get(id).filter(is_lost) else { return };
        run_log::given_up(invocation);
        self.server.counters.runs_given_up.add();
        if self.can_stop_runs() {
            self.stop(id, StopCause::Answered);
        }
        self.linger(id);
    }

    /// Keeps the run of an answered invocation in the table, although no report of its end is expected: the
    /// run may be on the cores. Repeated calls that wait for its outcome fail.
    fn linger(&mut self, id: u64) {
        let Some(invocation) = self.invocations.get(id) else { return };
        invocation.lingers = true;
        invocation.may_be_lost = false;
        invocation.unconfirmed = None;
        (invocation.body, invocation.call_body) = Default::default();
        for repeat in self.idempotency.run_ended(id, None) {
            self.answer_repeat(repeat, None);
        }
    }

    /// Removes an invocation whose lingering run is excluded by evidence.
    pub fn exclude(&mut self, id: u64) {
        let Some(invocation) = self.invocations.get(id) else { return };
        run_log::excluded(invocation);
        invocation.is_running = false;
        if !invocation.lingers {
            self.server.counters.runs_ended.add();
        }
        self.invocations.release(id);
    }

    /// Returns whether the settings permit the server to stop runs.
    fn can_stop_runs(&self) -> bool {
        self.server.configuration.settings.deployment.preemption != Preemption::Unsupported
    }
}
