//! The event loop: the task that owns the overload controller. The task passes events and expired timers to
//! the controller, and executes the controller's actions.

mod actions;
mod answers;
mod arrivals;
mod downstream;
mod host;
pub mod interpreter_session;
mod link_recovery;
mod run_log;
mod timers;

use crate::event::{Event, Request};
use crate::event_loop::actions::{ActionExecutor, Replayed};
use crate::event_loop::link_recovery::RecoveredRun;
use crate::event_loop::timers::Timer;
use crate::interpreter::commands::CommandSender;
use crate::lifecycle::pause::Stopwatch;
use crate::server::Server;
use crate::wire::interpreter::Notice;
use async_channel::Receiver;
use futures_lite::future;
use meadowstream_fair_queueing::{SettingsChange, TopTenant};
use meadowstream_overload_control::controller::{CONTROL_TIMER, Controller};
use meadowstream_overload_control::{Gauges, Nanos, Outcome};
use std::rc::Rc;
use tracing::{debug, info};

/// Number of a timer that the controller itself never sets. The event loop reports this timer as expired to
/// make the controller apply its rules again, for example when downstream calls become possible.
const RECHECK_TIMER: u32 = u32::MAX;

/// Time by which the interpreter must be older than this process to have served an earlier process.
const PREDECESSOR_MARGIN_NS: Nanos = 1_000_000_000;

/// State of the event loop: the overload controller, and the executor of the controller's actions.
pub struct EventLoop {
    /// The overload controller; `None` until the first link to the interpreter is established.
    controller: Option<Controller>,
    actions: ActionExecutor,
}

impl EventLoop {
    /// Creates an event loop without a controller. The controller is created when the first link to the
    /// interpreter is established.
    pub fn new(server: Rc<Server>) -> Self {
        Self { controller: None, actions: ActionExecutor::new(server) }
    }

    /// Handles events and timers until the server process exits.
    pub async fn run(mut self, events: Receiver<Event>) {
        let mut timer = async_io::Timer::never();
        let mut set_for = None;
        loop {
            self.fire_due_timers();
            let next = self.actions.timers.next_at();
            if let Some(at) = next.filter(|_| next != set_for) {
                timer.set_at(self.actions.server.clock.instant(at));
            }
            set_for = next;
            if events.is_empty() {
                self.record_idle();
            }
            let due = async {
                (&mut timer).await;
                None
            };
            match future::or(async { events.recv().await.ok() }, due).await {
                Some(event) => self.handle_event(event),
                None => set_for = None,
            }
        }
    }

    /// Runs the function `act`, which calls the controller. The controller's actions may end invocations: an
    /// unsupported action fails its invocation, and a repeated call may be answered with an earlier outcome.
    /// Afterwards the controller is notified of these ended invocations.
    fn with_controller(&mut self, act: impl FnOnce(&mut Controller, Nanos, &mut ActionExecutor)) {
        let Some(controller) = &mut self.controller else { return };
        let actions = &mut self.actions;
        act(controller, actions.server.clock.now(), actions);
        while !actions.unsupported.is_empty() || !actions.replayed.is_empty() {
            if let Some(id) = actions.unsupported.pop() {
                controller.on_caller_gone(actions.server.clock.now(), id, actions);
            }
            if let Some(Replayed { invocation, outcome }) = actions.replayed.pop() {
                controller.on_run_finished(actions.server.clock.now(), invocation, outcome, actions);
            }
        }
    }

    fn fire_due_timers(&mut self) {
        let now = self.actions.server.clock.now();
        while let Some(timer) = self.actions.timers.pop_due(now) {
            match timer {
                Timer::Controller(CONTROL_TIMER) => self.actions.request_gauges(CONTROL_TIMER),
                Timer::Controller(timer) => self.on_timer(timer, Gauges::default()),
                Timer::GaugesOverdue { nonce } => {
                    if let Some(timer) = self.actions.session.end_gauges_request(nonce) {
                        self.actions.server.counters.gauges_late.add();
                        self.on_timer(timer, Gauges::default());
                    }
                }
            }
        }
    }

    fn on_timer(&mut self, timer: u32, gauges: Gauges) {
        self.with_controller(|controller, now, actions| controller.on_timer(now, timer, gauges, actions));
        if let Some(controller) = self.controller.as_ref().filter(|_| timer == CONTROL_TIMER) {
            run_log::control_period(gauges, &controller.run_counts());
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrived(request) => self.handle_arrival(*request),
            Event::Cancelled { connection, tag } => {
                if let Some(id) = self.actions.invocations.find_open(connection, tag) {
                    self.handle_caller_gone(id);
                }
            }
            Event::ConnectionLost { connection } => {
                for id in self.actions.invocations.open_on(connection) {
                    self.handle_caller_gone(id);
                }
            }
            Event::Linked { cold, age, restarted, commands } => {
                if restarted {
                    self.cancel_all_runs();
                }
                self.handle_link(cold, age, commands);
            }
            Event::LinkLost => self.actions.link_lost(),
            Event::NoticesMissed => self.handle_notices_missed(),
            Event::Notice(notice) => self.handle_notice(notice),
            Event::CallEnded { invocation, number, outcome, reply, duration } => {
                if self.actions.call_ended(invocation, number, outcome, &reply) {
                    self.handle_call_end(invocation, outcome, duration);
                }
            }
            Event::DownstreamCapacity => self.on_timer(RECHECK_TIMER, Gauges::default()),
            Event::LogTenants => self.log_tenants(),
            Event::ReconfigureFairQueueing(change) => self.reconfigure_fair_queueing(change),
            Event::Barrier(done) => {
                let _ = done.try_send(());
            }
            Event::SetTargetUtilization(target) => {
                self.with_controller(|controller, _, _| controller.set_target_utilization(target));
            }
            Event::Shutdown => self.handle_shutdown(),
        }
    }

    fn handle_arrival(&mut self, request: Request) {
        let Some(arrival) = self.actions.register(request, self.controller.is_some()) else { return };
        self.with_controller(|controller, now, actions| controller.on_arrival(now, arrival, actions));
    }

    fn handle_caller_gone(&mut self, id: u64) {
        self.actions.server.counters.unanswered.add();
        self.actions.close(id);
        self.with_controller(|controller, now, actions| controller.on_caller_gone(now, id, actions));
    }

    /// Notifies the controller that the server must drain. The grace period is counted from the time of the
    /// notice, even if the controller was created later.
    fn handle_shutdown(&mut self) {
        let Some(noticed_at) = self.actions.server.drain.noticed_at() else { return };
        let grace = self.actions.server.configuration.stop_ms * 1_000_000;
        self.with_controller(|controller, now, actions| {
            controller.on_drain_notice(now, noticed_at, grace, actions);
        });
    }

    /// Applies one part of a change to the weights and shares of tenants. Records for how long this work
    /// blocked the serving thread.
    fn reconfigure_fair_queueing(&mut self, change: Box<SettingsChange>) {
        let stopwatch = Stopwatch::start();
        self.with_controller(|controller, now, _| controller.reconfigure_fair_queueing(now, &change));
        drop(change);
        let mut pauses = self.actions.server.change_pauses.get();
        pauses.add_part(stopwatch.elapsed());
        self.actions.server.change_pauses.set(pauses);
    }

    /// Records that the event queue is empty. The current pause of the serving thread then ends, because the
    /// thread runs other tasks before it handles the next event.
    fn record_idle(&self) {
        let mut pauses = self.actions.server.change_pauses.get();
        pauses.interrupt();
        self.actions.server.change_pauses.set(pauses);
    }

    /// Logs the tenants with the highest demand. The options define the maximum number of tenants in the log.
    fn log_tenants(&mut self) {
        let options = self.actions.server.configuration.options.borrow();
        let Some(shown) = options.tenants.as_ref().map(|tenants| tenants.shown) else { return };
        let now = self.actions.server.clock.now();
        let Some(fair) = self.controller.as_mut().and_then(Controller::fair_queue) else { return };
        let (counts, fair_rate) = (fair.counters, fair.fair_rate());
        let (accounts, promises, bytes) = (fair.accounts(), fair.promises(), fair.bytes());
        info!(fair_rate, accounts, promises, bytes, ?counts, "shares");
        for top in fair.top_tenants(now, shown) {
            let TopTenant { name, weight, demand, ahead, within, surplus } = top;
            info!(tenant = name, weight, demand, ahead, within, surplus, "share");
        }
    }

    fn handle_link(&mut self, cold: bool, age: Nanos, commands: CommandSender) {
        self.actions.session.set_link(commands);
        let links = self.actions.session.links();
        let runs = self.actions.invocations.running().len();
        info!(cold, age_ms = age / 1_000_000, links, runs, "linked to the interpreter");
        if self.controller.is_some() {
            self.actions.session.send_replay_fence();
            return;
        }
        self.start_controller(cold, age);
        self.handle_shutdown();
    }

    /// Creates the controller with the current settings. The options may have been reloaded since the server
    /// started, so the present options are used.
    fn start_controller(&mut self, cold: bool, age: Nanos) {
        let server = self.actions.server.clone();
        let configuration = &server.configuration;
        let mut deployment = configuration.settings.deployment.clone();
        deployment.starts_cold = cold;
        deployment.target_utilization = configuration.target_utilization.get();
        if let Some(tenants) = &configuration.options.borrow().tenants {
            deployment.fair_queueing = Some(tenants.fair.clone());
        }
        let started = server.clock.now().saturating_sub(age);
        let mut controller = Controller::new(deployment, configuration.seed, started, &mut self.actions);
        if started + PREDECESSOR_MARGIN_NS < server.incarnation {
            info!("the interpreter is older than this process");
            controller.expect_predecessor(server.clock.now());
        }
        self.controller = Some(controller);
    }

    /// Cancels all runs, because the interpreter has lost its runs in a restart. If a second run of an
    /// invocation is safe, the controller queues the invocation again. Otherwise the controller fails the
    /// invocation.
    fn cancel_all_runs(&mut self) {
        for id in self.actions.invocations.running() {
            self.handle_run_end(id, Outcome::Cancelled, Vec::new());
        }
    }

    fn handle_notice(&mut self, notice: Notice) {
        match notice {
            Notice::Ended { task, outcome, result } => {
                if let Some(id) = self.actions.invocations.find(task) {
                    self.handle_run_end(id, outcome, result);
                }
            }
            Notice::AwaitsCall { task, body } => self.handle_call_needed(task, body),
            Notice::Gauges { nonce, readings } => self.handle_gauges(nonce, &readings),
            Notice::CommandFailed { command, task } => self.handle_command_failed(&command, task),
            Notice::Banner { .. } | Notice::Trace => {}
        }
    }

    fn handle_call_needed(&mut self, task: u64, body: Vec<u8>) {
        let Some(id) = self.actions.invocations.find(task) else { return };
        let Some(invocation) = self.actions.invocations.get(id) else { return };
        invocation.call_body = body;
        invocation.awaits_call = true;
        invocation.unconfirmed = None;
        invocation.may_be_lost = false;
        self.actions.server.counters.awaits.add();
        self.with_controller(|controller, now, actions| controller.on_call_needed(now, id, actions));
    }

    fn handle_gauges(&mut self, nonce: u64, readings: &[f64]) {
        self.actions.session.record_receipt(nonce);
        for id in self.actions.take_unconfirmed_stops() {
            self.with_controller(|controller, now, actions| controller.on_stop_unconfirmed(now, id, actions));
        }
        if self.actions.session.end_replay(nonce) {
            let runs = self.actions.recover_runs();
            self.handle_recovered_runs(runs);
        } else if let Some(timer) = self.actions.session.end_gauges_request(nonce) {
            self.actions.stop_runs_with_expired_keys();
            let settings = &self.actions.server.configuration.settings;
            let reading = |index: Option<usize>| index.and_then(|index| readings.get(index).copied());
            let utilization = reading(settings.utilization_gauge);
            let runnable = reading(settings.runnable_gauge);
            self.on_timer(timer, Gauges { utilization, runnable });
        }
    }

    fn handle_call_end(&mut self, id: u64, outcome: Outcome, duration: Nanos) {
        self.with_controller(|controller, now, actions| {
            controller.on_call_finished(now, id, outcome, duration, actions);
        });
    }

    fn handle_notices_missed(&mut self) {
        let runs = self.actions.notices_missed();
        self.handle_recovered_runs(runs);
    }

    /// Notifies the controller of the runs that may have been lost with a link or with missed notices.
    fn handle_recovered_runs(&mut self, runs: Vec<RecoveredRun>) {
        for run in runs {
            match run {
                RecoveredRun::Ended(id) => {
                    // A run that never began is no progress on the cores.
                    self.with_controller(|controller, now, actions| {
                        controller.on_run_unconfirmed(now, id, actions);
                    });
                    self.handle_run_end(id, Outcome::Cancelled, Vec::new());
                }
                RecoveredRun::Unconfirmed(id) => {
                    self.with_controller(|controller, now, actions| {
                        controller.on_run_unconfirmed(now, id, actions);
                    });
                }
            }
        }
    }

    fn handle_command_failed(&mut self, command: &str, task: Option<u64>) {
        self.actions.server.counters.commands_not_done.add();
        debug!(
            command,
            task = task.map(|id| format!("{id:016x}")),
            "the interpreter could not carry out a command"
        );
        let id = task.and_then(|task| self.actions.invocations.find(task));
        match (id, command) {
            (Some(id), "APPLY") => self.handle_run_end(id, Outcome::NeverRan, Vec::new()),
            (Some(id), "RESOLVE") => {
                let run = self.actions.reply_not_taken(id);
                self.handle_recovered_runs(run.into_iter().collect());
            }
            _ => {}
        }
    }

    /// Handles the end of a run with the outcome `outcome`. If the run never started, the caller receives a
    /// failure and not a rejection, because a retry would fail in the same way.
    ///
    /// If the run never started, the controller is first notified that the caller has disconnected. Without
    /// this notification, a call forged by a peer would count as evidence that runs fail on this server.
    fn handle_run_end(&mut self, id: u64, outcome: Outcome, result: Vec<u8>) {
        if outcome == Outcome::NeverRan {
            self.actions.forget(id);
        }
        self.actions.run_ended(id, outcome, result);
        if outcome == Outcome::NeverRan {
            self.with_controller(|controller, now, actions| controller.on_caller_gone(now, id, actions));
        }
        self.with_controller(|controller, now, actions| {
            controller.on_run_finished(now, id, outcome, actions)
        });
        self.actions.invocations.release(id);
    }
}
