//! Model check of predecessor and successor over all interleavings of their steps. Either process may be
//! killed at any moment, timers may fire at any time, and frames that a killed process has not read are lost.
//! The model runs the real [`predecessor`] and [`successor`] code.

use meadowstream_hot_restart::frames::{AnnouncedAnswer, Frame};
use meadowstream_hot_restart::{predecessor, successor};
use stateright::{Checker, Model, Property};
use std::collections::VecDeque;

/// Faults that are injected into the model. The checker must detect each of them.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// The predecessor receives [`predecessor::Event::SuccessorExited`] although the successor still runs.
    DeclaredDeadWhileRunning,
    /// The successor sends an answer to the caller without announcing it to the predecessor.
    AnswersUnannounced,
    /// The predecessor continues to answer callers after it has frozen.
    NeverFreezes,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SystemState {
    predecessor: predecessor::Predecessor,
    successor: Option<successor::Successor>,
    predecessor_alive: bool,
    /// Whether the predecessor has requested the kill of the successor, which may still be running.
    successor_killed: bool,
    to_successor: VecDeque<Frame>,
    to_predecessor: VecDeque<Frame>,
    /// Whether the predecessor has received the end of the stream from the successor.
    stream_ended: bool,
    /// Whether the exit of the successor has been reported to the predecessor.
    exit_reported: bool,
    /// Number of answers that each invocation's caller has received.
    answered: [u8; INVOCATIONS],
    /// For each invocation, whether the predecessor knows that the invocation was answered.
    known_to_predecessor: [bool; INVOCATIONS],
    /// For each invocation, whether the successor knows that the invocation was answered. The successor knows
    /// this from the received state, or because the successor sent the answer.
    known_to_successor: [bool; INVOCATIONS],
    /// Whether the successor is checking its configuration.
    is_checking: bool,
    /// Whether the successor is loading the state.
    is_loading: bool,
    /// Number of upgrades requested so far while the predecessor was serving.
    upgrades: u8,
    drain_requested: bool,
    /// Current time of the model, in nanoseconds. The time is 0 except while a timer fires.
    now: u64,
}

/// Number of invocations in each run of the model.
const INVOCATIONS: usize = 2;
/// Maximum number of upgrades in a run of the model. With 2 upgrades, a second attempt can follow a failed
/// one.
const UPGRADES_MAX: u8 = 2;

/// A transition of the model.
#[derive(Clone, Debug, PartialEq)]
enum Step {
    RequestUpgrade,
    DeliverToPredecessor,
    DeliverToSuccessor,
    PredecessorTimesOut,
    SuccessorTimesOut,
    Checked(bool),
    Loaded(bool),
    PredecessorAnswers(usize),
    SuccessorAnswers(usize),
    KillPredecessor,
    KillSuccessor,
    ReportExitToPredecessor,
    EndStreamToPredecessor,
    EndStreamToSuccessor,
    RequestDrain,
}

/// The model of a hot restart, with the fault that is injected into it.
struct HotRestart(Fault);

fn limits() -> predecessor::Limits {
    predecessor::Limits { step: 1, switch: 1, trial: 1, backoff: 0, backoff_max: 0 }
}

/// Returns the reason for rejecting a configuration or a state, or `None` if `is_good`.
fn rejection(is_good: bool) -> Option<String> {
    (!is_good).then(|| "no".to_string())
}

impl SystemState {
    fn carry_out_predecessor(&mut self, actions: Vec<predecessor::Action>) {
        for action in actions {
            match action {
                predecessor::Action::StartSuccessor => {
                    self.successor = Some(successor::Successor::new(1, 1, self.now));
                    (self.to_successor, self.to_predecessor) = (VecDeque::new(), VecDeque::new());
                    (self.successor_killed, self.stream_ended, self.exit_reported) = (false, false, false);
                    (self.is_checking, self.is_loading) = (false, false);
                }
                predecessor::Action::Send(frame) => self.to_successor.push_back(frame),
                predecessor::Action::SendState => {
                    self.to_successor.push_back(Frame::State { part: 0, bytes: vec![1] })
                }
                predecessor::Action::Freeze => {
                    self.known_to_successor = self.known_to_predecessor;
                    self.to_successor.push_back(Frame::Switch { changes: vec![2] });
                }
                predecessor::Action::KillSuccessor => self.successor_killed = true,
                predecessor::Action::Resume(announced) => {
                    announced
                        .iter()
                        .for_each(|answer| self.known_to_predecessor[answer.invocation as usize] = true);
                    // The predecessor finishes writing the announced answers, in case the successor did not
                    // send them. No answer is sent twice, because the kernel reports how many bytes were
                    // already written.
                    for answer in &announced {
                        let answers = &mut self.answered[answer.invocation as usize];
                        *answers = (*answers).max(1);
                    }
                }
                predecessor::Action::Drain { .. }
                | predecessor::Action::Retire
                | predecessor::Action::ReportFailure(_) => {}
            }
        }
    }

    fn carry_out_successor(&mut self, actions: Vec<successor::Action>) {
        for action in actions {
            match action {
                successor::Action::Send(frame) => self.to_predecessor.push_back(frame),
                successor::Action::CheckConfiguration { .. } => self.is_checking = true,
                successor::Action::LoadState => self.is_loading = true,
                successor::Action::Exit => self.successor = None,
                _ => {}
            }
        }
    }

    fn successor_event(&mut self, event: successor::Event) {
        let now = self.now;
        if let Some(actions) = self.successor.as_mut().map(|successor| successor.handle_event(now, event)) {
            self.carry_out_successor(actions);
        }
    }

    fn predecessor_event(&mut self, event: predecessor::Event) {
        let actions = self.predecessor.handle_event(self.now, event);
        self.carry_out_predecessor(actions);
    }

    fn time_out_predecessor(&mut self) {
        let actions = self.predecessor.handle_timeout(self.now);
        self.carry_out_predecessor(actions);
    }

    fn time_out_successor(&mut self) {
        let now = self.now;
        if let Some(actions) = self.successor.as_mut().map(|successor| successor.handle_timeout(now)) {
            self.carry_out_successor(actions);
        }
    }

    fn successor_is_active(&self) -> bool {
        self.successor.as_ref().is_some_and(successor::Successor::is_active)
    }
}

impl Model for HotRestart {
    type State = SystemState;
    type Action = Step;

    fn init_states(&self) -> Vec<SystemState> {
        let mut predecessor = predecessor::Predecessor::new(limits());
        predecessor.set_offer(7, 1);
        vec![SystemState {
            predecessor,
            successor: None,
            predecessor_alive: true,
            successor_killed: false,
            to_successor: VecDeque::new(),
            to_predecessor: VecDeque::new(),
            stream_ended: false,
            exit_reported: false,
            answered: [0; INVOCATIONS],
            known_to_predecessor: [false; INVOCATIONS],
            known_to_successor: [false; INVOCATIONS],
            is_checking: false,
            is_loading: false,
            upgrades: 0,
            drain_requested: false,
            now: 0,
        }]
    }

    fn actions(&self, system: &SystemState, steps: &mut Vec<Step>) {
        let started = system.upgrades > 0;
        if system.predecessor_alive {
            if system.upgrades < UPGRADES_MAX {
                steps.push(Step::RequestUpgrade);
            }
            if !system.to_predecessor.is_empty() {
                steps.push(Step::DeliverToPredecessor);
            }
            if system.predecessor.poll_timeout().is_some() {
                steps.push(Step::PredecessorTimesOut);
            }
            let may_answer = system.predecessor.is_active()
                || (self.0 == Fault::NeverFreezes
                    && system.predecessor.phase() == predecessor::Phase::Switching);
            let is_unanswered = |i: &usize| may_answer && !system.known_to_predecessor[*i];
            steps.extend((0..INVOCATIONS).filter(is_unanswered).map(Step::PredecessorAnswers));
            let is_dead = system.successor.is_none()
                || (self.0 == Fault::DeclaredDeadWhileRunning && system.successor_killed);
            if started && is_dead && !system.exit_reported {
                steps.push(Step::ReportExitToPredecessor);
            }
            if started
                && system.successor.is_none()
                && system.to_predecessor.is_empty()
                && !system.stream_ended
            {
                steps.push(Step::EndStreamToPredecessor);
            }
            if self.0 == Fault::DeclaredDeadWhileRunning && system.exit_reported && !system.stream_ended {
                steps.push(Step::EndStreamToPredecessor);
            }
            if !system.drain_requested {
                steps.push(Step::RequestDrain);
            }
            steps.push(Step::KillPredecessor);
        }
        if let Some(successor) = &system.successor {
            if !system.to_successor.is_empty() {
                steps.push(Step::DeliverToSuccessor);
            } else if !system.predecessor_alive && successor.phase() != successor::Phase::Independent {
                steps.push(Step::EndStreamToSuccessor);
            }
            if successor.poll_timeout().is_some() {
                steps.push(Step::SuccessorTimesOut);
            }
            if system.is_checking {
                steps.extend([Step::Checked(true), Step::Checked(false)]);
            }
            if system.is_loading {
                steps.extend([Step::Loaded(true), Step::Loaded(false)]);
            }
            if successor.is_active() {
                steps.extend(
                    (0..INVOCATIONS).filter(|i| !system.known_to_successor[*i]).map(Step::SuccessorAnswers),
                );
            }
            steps.push(Step::KillSuccessor);
        }
    }

    fn next_state(&self, last: &SystemState, step: Step) -> Option<SystemState> {
        let mut system = last.clone();
        match step {
            Step::RequestUpgrade => {
                if system.predecessor.phase() == predecessor::Phase::Serving {
                    system.upgrades += 1;
                }
                system.predecessor_event(predecessor::Event::UpgradeRequested);
            }
            Step::DeliverToPredecessor => {
                let frame = system.to_predecessor.pop_front()?;
                system.predecessor_event(predecessor::Event::Frame(frame));
            }
            Step::DeliverToSuccessor => {
                let frame = system.to_successor.pop_front()?;
                system.successor_event(successor::Event::Frame(frame));
            }
            Step::PredecessorTimesOut => {
                system.now = u64::MAX / 4;
                system.time_out_predecessor();
                system.now = 0;
            }
            Step::SuccessorTimesOut => {
                system.now = u64::MAX / 4;
                system.time_out_successor();
                system.now = 0;
            }
            Step::Checked(is_good) => {
                system.is_checking = false;
                system.successor_event(successor::Event::ConfigurationChecked {
                    rejection: rejection(is_good),
                });
            }
            Step::Loaded(is_good) => {
                system.is_loading = false;
                system.successor_event(successor::Event::StateLoaded { rejection: rejection(is_good) });
            }
            Step::PredecessorAnswers(i) => {
                system.known_to_predecessor[i] = true;
                system.answered[i] += 1;
            }
            Step::SuccessorAnswers(i) => {
                let answer = AnnouncedAnswer { invocation: i as u64, offset: 0, bytes: vec![1] };
                system.known_to_successor[i] = true;
                let announcement = system.successor.as_ref().and_then(|successor| successor.announce(answer));
                system.answered[i] += 1;
                if self.0 != Fault::AnswersUnannounced {
                    system.to_predecessor.extend(announcement.filter(|_| system.predecessor_alive));
                }
            }
            Step::KillPredecessor => {
                system.predecessor_alive = false;
                system.to_predecessor.clear();
            }
            Step::KillSuccessor => {
                system.successor = None;
                system.to_successor.clear();
            }
            Step::ReportExitToPredecessor => {
                system.exit_reported = true;
                system.predecessor_event(predecessor::Event::SuccessorExited);
            }
            Step::EndStreamToPredecessor => {
                system.stream_ended = true;
                system.predecessor_event(predecessor::Event::StreamEnded);
            }
            Step::EndStreamToSuccessor => system.successor_event(successor::Event::StreamEnded),
            Step::RequestDrain => {
                system.drain_requested = true;
                system.predecessor_event(predecessor::Event::DrainRequested { grace: 1 });
            }
        }
        Some(system)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("at most one process is active", |_, system: &SystemState| {
                !(system.predecessor_alive && system.predecessor.is_active() && system.successor_is_active())
            }),
            Property::always("no invocation is answered twice", |_, system: &SystemState| {
                system.answered.iter().all(|answers| *answers <= 1)
            }),
            Property::always("some process stays active", |model: &HotRestart, system: &SystemState| {
                let mut steps = Vec::new();
                model.actions(system, &mut steps);
                // If only external steps (kills and requests) are possible, some living process must be
                // active. This is not required once the predecessor has retired.
                let is_external = |step: &Step| {
                    matches!(
                        step,
                        Step::KillPredecessor
                            | Step::KillSuccessor
                            | Step::RequestUpgrade
                            | Step::RequestDrain
                    )
                };
                let any_alive = system.predecessor_alive || system.successor.is_some();
                let any_active = (system.predecessor_alive && system.predecessor.is_active())
                    || system.successor_is_active();
                !any_alive
                    || any_active
                    || !steps.iter().all(is_external)
                    || system.predecessor.phase() == predecessor::Phase::Retired
            }),
            Property::sometimes("an upgrade succeeds", |_, system: &SystemState| {
                system
                    .successor
                    .as_ref()
                    .is_some_and(|successor| successor.phase() == successor::Phase::Independent)
                    && system.predecessor.phase() == predecessor::Phase::Retired
                    && system.answered == [1; INVOCATIONS]
            }),
            Property::sometimes("the predecessor resumes after a trial", |_, system: &SystemState| {
                system.predecessor_alive
                    && system.predecessor.phase() == predecessor::Phase::Serving
                    && system.known_to_predecessor == [true, false]
                    && system.upgrades == 1
                    && system.successor.is_none()
            }),
        ]
    }
}

#[test]
fn exactly_one_process_owns_each_invocation_in_every_interleaving() {
    let checker = HotRestart(Fault::None).checker().threads(4).spawn_bfs().join();
    println!("{} states, {} of them unique", checker.state_count(), checker.unique_state_count());
    assert!(checker.unique_state_count() > 1000, "{}", checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn injected_faults_are_detected() {
    for (fault, property) in [
        (Fault::DeclaredDeadWhileRunning, "at most one process is active"),
        (Fault::AnswersUnannounced, "no invocation is answered twice"),
        (Fault::NeverFreezes, "no invocation is answered twice"),
    ] {
        let checker = HotRestart(fault).checker().threads(4).spawn_bfs().join();
        assert!(checker.discovery(property).is_some(), "{fault:?} was not detected");
    }
}
