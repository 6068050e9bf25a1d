//! The one task that owns the module: inputs and times go in, what is decided goes out to its owners.

use crate::calls::task as call;
use crate::calls::task::Call;
use crate::connection::table::Notification;
use crate::event::Event;
use crate::event::Request;
use crate::fleet::interval_report::Answered;
use crate::fleet::tier::Over;
use crate::resources::idempotency::IdempotencyTable;
use crate::resources::idempotency::Lookup;
use crate::resources::idempotency::Replay;
use crate::resources::invocations::Invocation;
use crate::resources::invocations::Invocations;
use crate::resources::invocations::Sent;
use crate::server::Server;
use crate::wire::interpreter;
use crate::wire::interpreter::Notice;
use crate::wire::resp::WORD_MAX;
use crate::wire::rpc::Answer;
use async_channel::{Receiver, Sender as Queue};
use async_io::Timer;
use futures_lite::future;
use meadowstream_fair_queueing::SettingsChange;
use meadowstream_overload_control::controller::{CONTROL_TIMER, Controller};
use meadowstream_overload_control::{Arrival, Effect, Gauges, Host, Nanos, Outcome};
use meadowstream_routing::CallPreference;
use siphasher::sip::SipHasher13;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::hash::Hasher;
use std::rc::Rc;
use std::time::Instant;
use tracing::{debug, info, warn};

/// A wake that wants gauges goes without when none have come after this long: guards against a link that
/// is down or an interpreter that does not answer. Harms where gauges are always late: the module would
/// then steer by its own count of runs.
const GAUGES_WITHIN: Nanos = 250_000_000;

/// A token that the module has not asked for: it looks at everything anew.
const ROOM_BELOW: u32 = u32::MAX;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Wake {
    Module(u32),
    GaugesLate(u64),
}

pub struct Decisions {
    controller: Option<Controller>,
    hands: Hands,
}

/// All that the module's decisions act on.
struct Hands {
    server: Rc<Server>,
    invocations: Invocations,
    /// Where commands go while there is a link, and how many links there have been.
    commands: Option<Queue<Vec<u8>>>,
    link: u64,
    wakes: BinaryHeap<Reverse<(Nanos, u64, Wake)>>,
    /// Numbers given to wakes, calls and questions.
    last: u64,
    /// The question whose answer ends what a new link replays.
    fence: Option<u64>,
    /// The question for gauges and the wake that waits for them.
    asked: Option<(u64, u32)>,
    /// The invocation that is promised something with its next answer.
    promised: Option<(u64, u64)>,
    /// Ended here though the module did not mean to; it is told next.
    cut_off: Vec<u64>,
    repeats: IdempotencyTable,
    /// IdempotencyTable that were answered from their forerunner, for the module to hear.
    settled: Vec<(u64, Outcome)>,
}

impl Decisions {
    pub fn new(server: Rc<Server>) -> Self {
        let configuration = &server.configuration;
        let operations = &configuration.settings.deployment.operations;
        let unread = operations.iter().map(|op| op.client_timeout).max().unwrap_or(0);
        let (entries, bytes) = configuration
            .options
            .borrow()
            .idempotency_keys
            .as_ref()
            .map_or((0, 0), |t| (t.entries, t.result_bytes));
        let hands = Hands {
            repeats: IdempotencyTable::new(entries, bytes, unread),
            settled: Vec::new(),
            server,
            invocations: Invocations::default(),
            commands: None,
            link: 0,
            wakes: BinaryHeap::new(),
            last: 0,
            fence: None,
            asked: None,
            promised: None,
            cut_off: Vec::new(),
        };
        Self { controller: None, hands }
    }

    pub async fn run(mut self, events: Receiver<Event>) {
        let (mut timer, mut set) = (Timer::never(), None);
        loop {
            self.wake_what_is_due();
            let next = self.hands.wakes.peek().map(|Reverse((at, ..))| *at);
            if let Some(at) = next.filter(|_| next != set) {
                timer.set_at(self.hands.server.clock.instant(at));
            }
            set = next;
            let due = async {
                (&mut timer).await;
                None
            };
            if let Some(event) = future::or(async { events.recv().await.ok() }, due).await {
                self.take(event);
            } else {
                set = None;
            }
        }
    }

    fn with_controller(&mut self, act: impl FnOnce(&mut Controller, Nanos, &mut Hands)) {
        let Some(controller) = &mut self.controller else { return };
        let hands = &mut self.hands;
        act(controller, hands.server.clock.now(), hands);
        while !hands.cut_off.is_empty() || !hands.settled.is_empty() {
            if let Some(inv) = hands.cut_off.pop() {
                controller.on_caller_gone(hands.server.clock.now(), inv, hands);
            }
            if let Some((inv, ending)) = hands.settled.pop() {
                controller.on_run_finished(hands.server.clock.now(), inv, ending, hands);
            }
        }
    }

    fn wake_what_is_due(&mut self) {
        let now = self.hands.server.clock.now();
        while let Some(Reverse((at, _, wake))) = self.hands.wakes.peek().copied()
            && at <= now
        {
            self.hands.wakes.pop();
            match wake {
                Wake::Module(token) if token == CONTROL_TIMER => self.hands.ask_gauges(token),
                Wake::Module(token) => self.woken(token, Gauges::default()),
                Wake::GaugesLate(nonce) => {
                    if let Some((_, token)) = self.hands.asked.take_if(|asked| asked.0 == nonce) {
                        self.hands.server.counters.gauges_late.add();
                        self.woken(token, Gauges::default());
                    }
                }
            }
        }
    }

    fn woken(&mut self, token: u32, gauges: Gauges) {
        self.with_controller(|controller, now, hands| controller.on_timer(now, token, gauges, hands));
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Arrived(request) => self.arrived(*request),
            Event::Cancelled { connection, tag } => {
                let open = self.hands.invocations.open_on(connection);
                let is = |inv: &u64| self.hands.invocations.get(*inv).is_some_and(|one| one.tag == tag);
                if let Some(inv) = open.into_iter().find(is) {
                    self.caller_gone(inv);
                }
            }
            Event::ConnectionLost { connection } => {
                for inv in self.hands.invocations.open_on(connection) {
                    self.caller_gone(inv);
                }
            }
            Event::Linked { cold, age, restarted, commands } => {
                if restarted {
                    self.lose_all_runs();
                }
                self.linked(cold, age, commands);
            }
            Event::LinkLost => self.hands.commands = None,
            Event::Notice(notice) => self.noticed(notice),
            Event::CallEnded { invocation: inv, number, ending, reply, took } => {
                if self.hands.call_ended(inv, number, ending, &reply) {
                    self.with_controller(|controller, now, hands| {
                        controller.on_call_finished(now, inv, ending, took, hands)
                    });
                }
            }
            Event::DownstreamCapacity => self.woken(ROOM_BELOW, Gauges::default()),
            Event::LogTenants => self.show_tenants(),
            Event::Retune(change) => self.retune(&change),
            Event::Processed(done) => {
                let _ = done.try_send(());
            }
            Event::SetTargetUtilization(reference) => {
                self.with_controller(|controller, _, _| controller.set_target_utilization(reference))
            }
            Event::Shutdown => {
                let grace = self.hands.server.configuration.stop_ms * 1_000_000;
                self.with_controller(|controller, now, hands| controller.on_drain_notice(now, grace, hands));
            }
        }
    }

    /// Nobody waits for its answer any more.
    fn caller_gone(&mut self, inv: u64) {
        self.hands.server.counters.unanswered.add();
        self.hands.over(inv);
        self.with_controller(|controller, now, hands| controller.on_caller_gone(now, inv, hands));
    }

    fn arrived(&mut self, request: Request) {
        let age = self.hands.server.clock.age(request.since_unix_ms).max(0) as Nanos;
        let mut arrival = Arrival {
            operation: request.operation,
            tenant: request.tenant,
            sender: request.sender.clone(),
            age,
            remaining_deadline: request.patience.map(|stated| stated.saturating_sub(age).max(1)),
            is_marked_retry: request.marked_retry,
            held_kb: request.held_kb,
            ..Arrival::default()
        };
        let shared = self.hands.server.shared.as_ref();
        let tenant = request.sender.as_ref().and_then(|sender| shared?.tenant(&sender.tenant));
        let token = request.idempotency_key.clone();
        let mut invocation = Invocation::new(request, tenant);
        let now = self.hands.server.clock.now();
        let (reached, operation) = (now.saturating_sub(arrival.age), invocation.operation);
        let token = token.map(|token| (token, self.hands.body_hash(&invocation.body)));
        let found = token
            .as_ref()
            .map(|(token, body)| self.hands.repeats.find(now, reached, operation, token, *body));
        let counters = &self.hands.server.counters;
        match found {
            Some(Lookup::Repeat(of)) => {
                counters.repeats.add();
                invocation.repeats = Some(of);
            }
            Some(Lookup::OtherBody) => {
                counters.tokens_other.add();
                counters.errored.add();
                invocation
                    .connection
                    .notify(Notification::Answer { tag: invocation.tag, answer: Answer::Failed });
                return;
            }
            Some(Lookup::Full) => counters.tokens_full.add(),
            Some(Lookup::New) | None => {}
        }
        let (repeats, tag, connection) = (invocation.repeats, invocation.tag, invocation.connection.clone());
        let id = self.controller.as_ref().and_then(|_| self.hands.invocations.take_in(invocation));
        let Some(id) = id else {
            // Before the module has started none should come; a reference in hand would be run as another.
            self.hands.server.counters.errored.add();
            connection.notify(Notification::Answer { tag, answer: Answer::Failed });
            return;
        };
        if let Some((token, body)) = token.filter(|_| found == Some(Lookup::New)) {
            let window =
                self.hands.server.configuration.settings.deployment.operations[operation].idempotency_window;
            // From when it was read: a caller whose clock is behind must not find the window over too soon.
            self.hands.repeats.keep(id, operation, &token, body, now + window);
        }
        (arrival.id, arrival.repeats, arrival.key_not_stored) = (id, repeats, found == Some(Lookup::Full));
        self.with_controller(|controller, now, hands| controller.on_arrival(now, arrival, hands));
    }

    /// Takes one part of a change of shares over, and notes the longest pause that a part has made.
    fn retune(&mut self, change: &SettingsChange) {
        let began = Instant::now();
        self.with_controller(|controller, now, _| controller.reconfigure_fair_queueing(now, change));
        let pause = &self.hands.server.retune_pause;
        pause.set(pause.get().max(began.elapsed()));
    }

    /// Who asks for most, and how promises stand: a bounded number of lines.
    fn show_tenants(&mut self) {
        let options = self.hands.server.configuration.options.borrow();
        let Some(shown) = options.tenants.as_ref().map(|tenants| tenants.shown) else { return };
        let now = self.hands.server.clock.now();
        let Some(fair) = self.controller.as_mut().and_then(Controller::fair_queue) else { return };
        let (counts, fair_rate) = (fair.counters, fair.fair_rate());
        let (accounts, promises, bytes) = (fair.accounts(), fair.promises(), fair.bytes());
        info!(fair_rate, accounts, promises, bytes, ?counts, "shares");
        for heavy in fair.top_tenants(now, shown) {
            let meadowstream_fair_queueing::TopTenant { name, weight, demand, ahead, within, surplus } =
                heavy;
            info!(tenant = name, weight, demand, ahead, within, surplus, "share");
        }
    }

    fn linked(&mut self, cold: bool, age: Nanos, commands: Queue<Vec<u8>>) {
        self.hands.commands = Some(commands);
        self.hands.link += 1;
        info!(cold, age_ms = age / 1_000_000, links = self.hands.link, "linked to the interpreter");
        if self.controller.is_some() {
            let nonce = self.hands.number();
            self.hands.fence = Some(nonce);
            self.hands.send(interpreter::ask_gauges(nonce));
            return;
        }
        let configuration = &self.hands.server.configuration;
        let (mut deployment, seed) = (configuration.settings.deployment.clone(), configuration.seed);
        deployment.starts_cold = cold;
        deployment.target_utilization = configuration.reference.get();
        // A change that came before the first link is in force from the start.
        let options = configuration.options.borrow();
        deployment.fair_queueing =
            options.tenants.as_ref().map(|tenants| tenants.fair.clone()).or(deployment.fair_queueing);
        drop(options);
        let born = self.hands.server.clock.now().saturating_sub(age);
        self.controller = Some(Controller::new(deployment, seed, born, &mut self.hands));
        if self.hands.server.leaves() {
            self.take(Event::Shutdown);
        }
    }

    /// The interpreter has started anew and knows nothing of what ran: work that is lost, as if it had been
    /// stopped unasked. The module holds again what may run twice, and ends the rest with an error.
    fn lose_all_runs(&mut self) {
        for inv in self.hands.invocations.running() {
            self.ended(inv, Outcome::Cancelled, Vec::new());
        }
    }

    fn noticed(&mut self, notice: Notice) {
        match notice {
            Notice::Ended { task, ending, result } => {
                let Some(inv) = self.hands.invocations.find(task) else { return };
                self.ended(inv, ending, result);
            }
            Notice::Awaits { task, body } => {
                let Some(inv) = self.hands.invocations.find(task) else { return };
                self.hands.server.counters.awaits.add();
                let invocation = self.hands.invocations.get(inv).expect("found just now");
                (invocation.asked, invocation.waits, invocation.unconfirmed) = (body, true, None);
                self.with_controller(|controller, now, hands| controller.on_call_needed(now, inv, hands));
            }
            Notice::Gauges { nonce, readings } => {
                if self.hands.fence.take_if(|fence| *fence == nonce).is_some() {
                    self.hands.send_again();
                } else if let Some((_, token)) = self.hands.asked.take_if(|asked| asked.0 == nonce) {
                    let settings = &self.hands.server.configuration.settings;
                    let gauge = |place: Option<usize>| place.and_then(|i| readings.get(i).copied());
                    let (busy, wanting) = (gauge(settings.utilization_gauge), gauge(settings.runnable_gauge));
                    self.woken(token, Gauges { utilization: busy, runnable: wanting });
                }
            }
            Notice::NotDone { command, task } => {
                self.hands.server.counters.commands_not_done.add();
                debug!(command, task = task.map(|id| format!("{id:016x}")), "the interpreter did not do it");
                if command == "APPLY"
                    && let Some(inv) = task.and_then(|task| self.hands.invocations.find(task))
                {
                    self.ended(inv, Outcome::NeverRan, Vec::new());
                }
            }
            Notice::Banner { .. } | Notice::Remark => {}
        }
    }

    /// One that never ran is not known to the interpreter or over for it: an error, since asking again would
    /// bring the same. For the module nobody waits for it. Guards against calls made up by a peer, from which
    /// it would learn that runs fail here; harms where an interpreter forgets what it was sent.
    fn ended(&mut self, inv: u64, ending: Outcome, result: Vec<u8>) {
        if ending == Outcome::NeverRan {
            self.hands.forget_what_never_ran(inv);
        }
        self.hands.run_ended(inv, ending, result);
        if ending == Outcome::NeverRan {
            self.with_controller(|controller, now, hands| controller.on_caller_gone(now, inv, hands));
        }
        self.with_controller(|controller, now, hands| controller.on_run_finished(now, inv, ending, hands));
        self.hands.invocations.release(inv);
    }
}

impl Hands {
    /// Bodies are the peers' own, so the hash takes the seed.
    fn body_hash(&self, body: &[u8]) -> u64 {
        let mut hasher = SipHasher13::new_with_keys(self.server.configuration.seed, 0);
        hasher.write(body);
        hasher.finish()
    }

    /// Answers a repeat as its forerunner ended.
    fn settle(&mut self, inv: u64, result: Option<Vec<u8>>) {
        let ending = if result.is_some() { Outcome::Succeeded } else { Outcome::Failed };
        self.answer(inv, result.map_or(Answer::Failed, Answer::Succeeded));
        self.settled.push((inv, ending));
    }

    fn number(&mut self) -> u64 {
        self.last += 1;
        self.last
    }

    /// The link it went out on; 0 where there is none, and what is still wanted goes out on the next.
    fn send(&mut self, line: Vec<u8>) -> u64 {
        let sent = self.commands.as_ref().is_some_and(|commands| commands.try_send(line).is_ok());
        if !sent && let Some(commands) = self.commands.take() {
            // An interpreter that reads nothing: the link ends with its queue and is made anew.
            commands.close();
        }
        if sent { self.link } else { 0 }
    }

    /// Sends a command that the run goes on by, and keeps it until a notice shows that it was taken.
    fn send_for(&mut self, inv: u64, line: Vec<u8>) {
        let link = self.send(line.clone());
        if let Some(invocation) = self.invocations.get(inv) {
            invocation.unconfirmed = Some(Sent { line, link });
        }
    }

    /// What a lost link may have swallowed is sent once more. Guards against runs that nobody has begun;
    /// a run that goes on already passes over it.
    fn send_again(&mut self) {
        let link = self.link;
        let mut lines = Vec::new();
        for invocation in self.invocations.iter_mut().filter(|invocation| invocation.runs) {
            if let Some(sent) = invocation.unconfirmed.as_mut().filter(|sent| sent.link < link) {
                sent.link = link;
                lines.push(sent.line.clone());
                invocation.sent_again = true;
            }
            if let Some(sent) = invocation.stopping.as_mut().filter(|sent| **sent < link) {
                *sent = link;
                lines.push(interpreter::stop(invocation.reference));
            }
        }
        for line in lines {
            self.server.counters.commands_sent_again.add();
            self.send(line);
        }
    }

    fn ask_gauges(&mut self, token: u32) {
        let nonce = self.number();
        self.asked = Some((nonce, token));
        self.server.pool.close_old();
        self.server.counters.gauges_asked.add();
        self.send(interpreter::ask_gauges(nonce));
        self.put_wake(GAUGES_WITHIN, Wake::GaugesLate(nonce));
    }

    fn put_wake(&mut self, after: Nanos, wake: Wake) {
        let number = self.number();
        self.wakes.push(Reverse((self.server.clock.now() + after, number, wake)));
    }

    /// Gives the final answer, unless one was given.
    fn answer(&mut self, inv: u64, answer: Answer) {
        let Some(invocation) = self.invocations.get(inv) else { return };
        if invocation.answered {
            self.server.counters.late_results.add();
            return;
        }
        let counters = &self.server.counters;
        match &answer {
            Answer::Succeeded(_) => counters.succeeded.add(),
            Answer::Rejected { .. } => counters.throttled.add(),
            _ => counters.errored.add(),
        }
        if let Some(rollout) = &self.server.rollout {
            let how = match &answer {
                Answer::Succeeded(_) => Answered::Succeeded,
                Answer::Rejected { .. } => Answered::Throttled,
                _ => Answered::Errored,
            };
            let after = self.server.clock.age(invocation.arrived).max(0) as Nanos;
            let operations = &self.server.configuration.settings.deployment.operations;
            let late = after > operations[invocation.operation].client_timeout;
            rollout.record.answered(invocation.operation, how, after, late);
        }
        if let Some(shared) = &self.server.shared {
            let settings = &self.server.configuration.settings;
            let (operation, tenant) = (invocation.operation, invocation.tenant.as_deref());
            let name = &settings.operation_names[operation];
            let billed = settings.deployment.operations[operation].priority_weight * 1000.0;
            match &answer {
                Answer::Succeeded(_) => {
                    shared.count("succeeded", name, tenant, 1);
                    shared.count("billed-thousandths", name, tenant, billed.round().max(0.0) as u64);
                }
                Answer::Rejected { .. } => shared.count("throttled", name, tenant, 1),
                _ => shared.count("errored", name, tenant, 1),
            }
        }
        invocation.connection.notify(Notification::Answer { tag: invocation.tag, answer });
        self.over(inv);
    }

    /// Nothing more is owed; a call under way is given up.
    fn over(&mut self, inv: u64) {
        if let Some(invocation) = self.invocations.get(inv) {
            invocation.answered = true;
            if let Some(of) = invocation.repeats {
                self.repeats.waits_no_more(of, inv);
            }
            self.drop_call(inv);
            self.end_at_its_call(inv);
            self.invocations.release(inv);
        }
    }

    /// A run that waits at a call, for which nobody waits any more, is told to end. Guards against an
    /// interpreter that does not know that its invocation is over: the run stayed, counted as waiting for
    /// its call, and a server that had been stopped for a while refused all that came from then on. A
    /// tokened run may still be of use to its repeats.
    fn end_at_its_call(&mut self, inv: u64) {
        let operations = &self.server.configuration.settings.deployment.operations;
        let Some(invocation) = self.invocations.get(inv).filter(|i| i.runs && i.waits) else { return };
        if operations[invocation.operation].effect != Effect::IdempotentWithKey {
            self.stop_run(inv);
        }
    }

    fn drop_call(&mut self, inv: u64) {
        let call = self.invocations.get(inv).and_then(|invocation| invocation.call.take());
        if let Some((number, _)) = call {
            self.server.counters.calls_dropped.add();
            self.server.shared.iter().for_each(|shared| shared.ended(number, false, Over::GivenUp));
        }
    }

    /// Its token is new again: a call that a peer made up must not take the place of the true one. Where its
    /// command went out more than once the first may have run.
    fn forget_what_never_ran(&mut self, inv: u64) {
        if self.invocations.get(inv).is_some_and(|invocation| !invocation.sent_again) {
            self.forget_key(inv);
        }
    }

    fn run_ended(&mut self, inv: u64, ending: Outcome, result: Vec<u8>) {
        self.server.counters.runs_ended.add();
        self.drop_call(inv);
        let good = Some(&result).filter(|result| ending == Outcome::Succeeded && result.len() <= WORD_MAX);
        for repeat in self.repeats.ended(inv, good.map(Vec::as_slice)) {
            self.settle(repeat, good.cloned());
        }
        match ending {
            Outcome::Succeeded if result.len() <= WORD_MAX => self.answer(inv, Answer::Succeeded(result)),
            Outcome::Succeeded | Outcome::Failed | Outcome::NeverRan => self.answer(inv, Answer::Failed),
            _ => {}
        }
        if let Some(invocation) = self.invocations.get(inv) {
            (invocation.runs, invocation.unconfirmed, invocation.stopping) = (false, None, None);
        }
    }

    /// False for a call that is not under way any more.
    fn call_ended(&mut self, inv: u64, number: u64, ending: Outcome, reply: &[u8]) -> bool {
        let Some(invocation) = self.invocations.get(inv) else { return false };
        if invocation.call.take_if(|call| call.0 == number).is_none() {
            return false;
        }
        let over = if ending == Outcome::Succeeded { Over::Good } else { Over::Bad };
        self.server.shared.iter().for_each(|shared| shared.ended(number, ending != Outcome::Unknown, over));
        let counters = &self.server.counters;
        match ending {
            Outcome::Succeeded => counters.calls_succeeded.add(),
            Outcome::Failed => counters.calls_errored.add(),
            Outcome::NeverRan => counters.calls_never_ran.add(),
            _ => counters.calls_unknown.add(),
        }
        if ending == Outcome::Succeeded {
            counters.replies_sent.add();
            let line = interpreter::resolve(invocation.reference, reply);
            (invocation.asked, invocation.waits) = (Vec::new(), false);
            self.send_for(inv, line);
        }
        true
    }

    /// What the call of an invocation wants of a service below. Only a first attempt of what may be repeated
    /// is spent on a probe.
    fn wish(&mut self, inv: u64) -> CallPreference {
        let operations = &self.server.configuration.settings.deployment.operations;
        let Some(invocation) = self.invocations.get(inv) else { return CallPreference::default() };
        let idempotent = operations[invocation.operation].effect == Effect::Idempotent;
        CallPreference {
            last_service: invocation.called,
            may_probe: idempotent && invocation.called.is_none(),
        }
    }

    /// What this wire cannot carry was refused at the start; should it be asked for all the same, the
    /// invocation ends with an error.
    fn cannot(&mut self, inv: u64, what: &str) {
        warn!(what, "not on this wire");
        self.answer(inv, Answer::Failed);
        self.stop_run(inv);
        self.cut_off.push(inv);
    }
}

impl Host for Hands {
    fn start_run(&mut self, inv: u64) {
        let Some(invocation) = self.invocations.get(inv) else { return };
        invocation.runs = true;
        let operation = &self.server.configuration.settings.operation_names[invocation.operation];
        let line = interpreter::apply(invocation.reference, operation, &invocation.body);
        self.server.counters.runs_sent.add();
        self.send_for(inv, line);
    }

    fn stop_run(&mut self, inv: u64) {
        let Some(invocation) = self.invocations.get(inv).filter(|invocation| invocation.runs) else { return };
        let line = interpreter::stop(invocation.reference);
        self.server.counters.stops_sent.add();
        let sent = self.send(line);
        if let Some(invocation) = self.invocations.get(inv) {
            invocation.stopping = Some(sent);
        }
    }

    fn promise_admission(&mut self, inv: u64, ticket: u64) {
        self.promised = Some((inv, ticket));
    }

    fn reject(&mut self, inv: u64, no_retry: bool, retry_after: Nanos) {
        let ticket = self.promised.take().filter(|(to, _)| *to == inv).map(|(_, ticket)| ticket);
        self.answer(inv, Answer::Rejected { no_retry, retry_after, ticket });
    }

    fn fail(&mut self, inv: u64) {
        self.answer(inv, Answer::Failed);
    }

    fn may_start_call(&mut self, inv: u64, waiting: usize) -> bool {
        let wish = self.wish(inv);
        self.server.shared.as_ref().is_none_or(|shared| shared.may_call(waiting, wish))
    }

    fn start_call(&mut self, inv: u64, timeout: Nanos) {
        let Some(to) = self.server.configuration.addresses.get().records else {
            return self.cannot(inv, "a call");
        };
        let (number, wish) = (self.number(), self.wish(inv));
        let Some(invocation) = self.invocations.get(inv) else { return };
        let operations = &self.server.configuration.settings.deployment.operations;
        let fresh = operations[invocation.operation].effect != Effect::Idempotent;
        let (reference, body) = (invocation.reference, invocation.asked.clone());
        let shared = self.server.shared.as_ref();
        let (timeout, place) = shared.map_or((timeout, None), |shared| shared.called(number, timeout, wish));
        invocation.called = place.as_ref().map(|place| place.service);
        let to = place.map_or(to, |place| place.to);
        let call = Call { inv, number, reference, timeout, body, fresh };
        let task = self.server.executor.spawn(call::make(self.server.clone(), to, call));
        invocation.call = Some((number, task));
        self.server.counters.calls.add();
    }

    fn skip_call(&mut self, inv: u64) {
        let reply = self.server.configuration.options.borrow().skipped_call_reply.clone();
        let Some(reply) = reply else { return self.cannot(inv, "leaving a call out") };
        let Some(invocation) = self.invocations.get(inv) else { return };
        (invocation.asked, invocation.waits) = (Vec::new(), false);
        let line = interpreter::resolve(invocation.reference, reply.as_bytes());
        self.server.counters.calls_left_out.add();
        self.send_for(inv, line);
    }

    /// Kept from its arrival on already.
    fn remember_key(&mut self, _inv: u64, _life: Nanos) {}

    fn forget_key(&mut self, inv: u64) {
        for repeat in self.repeats.forget(inv) {
            self.settle(repeat, None);
        }
    }

    fn replay_result(&mut self, inv: u64) {
        let Some(of) = self.invocations.get(inv).and_then(|invocation| invocation.repeats) else {
            return self.cannot(inv, "answering a repeat from its forerunner");
        };
        match self.repeats.echo(of, inv) {
            Replay::Pending => {}
            Replay::Result(result) => self.settle(inv, Some(result)),
            Replay::Failed => self.settle(inv, None),
        }
    }

    fn set_health(&mut self, good: bool, _stored: bool) {
        self.server.health.healthy.set(good);
    }

    fn advertise_load(&mut self, value: f64) {
        self.server.health.advertised_load.set(Some(value));
    }

    fn close_idle_connections(&mut self, after: Nanos) {
        self.server.connections.drain_idle_since(self.server.clock.now().saturating_sub(after));
    }

    fn set_timer(&mut self, after: Nanos, token: u32) {
        self.put_wake(after, Wake::Module(token));
    }

    fn log(&mut self, line: &str) {
        info!("{line}");
    }
}
