//! All interleavings of both sides, with either of them killed at any moment, timers that go off whenever
//! they may, and a stream that loses what its reader did not read. The machines are the real ones.

use meadowstream_hot_restart::frames::{AnnouncedAnswer, Frame};
use meadowstream_hot_restart::{predecessor, successor};
use stateright::{Checker, Model, Property};
use std::collections::VecDeque;

/// Faults put in on purpose, which the checker must find.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// The old one is told that the new one is dead before it is.
    DeclaredDeadTooEarly,
    /// The new one answers before it says so.
    AnswersUnannounced,
    /// The old one goes on after it has frozen.
    NeverFreezes,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    predecessor: predecessor::Predecessor,
    successor: Option<successor::Successor>,
    predecessor_alive: bool,
    /// Told to end, and not dead yet.
    successor_killed: bool,
    to_successor: VecDeque<Frame>,
    to_predecessor: VecDeque<Frame>,
    stream_read_out: bool,
    told_dead: bool,
    /// How often each invocation was answered, and which the old one knows to be answered.
    answered: [u8; INVOCATIONS],
    known: [bool; INVOCATIONS],
    /// Answered as far as the new one knows: by the state it was given, and by itself.
    given: [bool; INVOCATIONS],
    checks: bool,
    loads: bool,
    upgrades: u8,
    left: bool,
    now: u64,
}

const INVOCATIONS: usize = 2;
/// An upgrade that fails may be followed by another.
const UPGRADES: u8 = 2;

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
    PredecessorSeesDeath,
    PredecessorSeesEnd,
    SuccessorSeesEnd,
    RequestDrain,
}

struct HotRestart(Fault);

fn limits() -> predecessor::Limits {
    predecessor::Limits { step: 1, switch: 1, trial: 1, backoff: 0, backoff_max: 0 }
}

/// Why a check fails, where it does.
fn rejection(good: bool) -> Option<String> {
    (!good).then(|| "no".to_string())
}

impl World {
    fn carry_out_predecessor(&mut self, actions: Vec<predecessor::Action>) {
        for each in actions {
            match each {
                predecessor::Action::StartSuccessor => {
                    self.successor = Some(successor::Successor::new(1, 1, self.now));
                    (self.to_successor, self.to_predecessor) = (VecDeque::new(), VecDeque::new());
                    (self.successor_killed, self.stream_read_out, self.told_dead) = (false, false, false);
                    (self.checks, self.loads) = (false, false);
                }
                predecessor::Action::Send(frame) => self.to_successor.push_back(frame),
                predecessor::Action::SendState => {
                    self.to_successor.push_back(Frame::State { part: 0, bytes: vec![1] })
                }
                predecessor::Action::Freeze => {
                    self.given = self.known;
                    self.to_successor.push_back(Frame::Switch { changes: vec![2] });
                }
                predecessor::Action::KillSuccessor => self.successor_killed = true,
                predecessor::Action::TakeBack(acts) => {
                    acts.iter().for_each(|act| self.known[act.invocation as usize] = true);
                    // What was said and perhaps not done is done now, once: the kernel tells how far it came.
                    for act in &acts {
                        let given = &mut self.answered[act.invocation as usize];
                        *given = (*given).max(1);
                    }
                }
                predecessor::Action::Drain { .. }
                | predecessor::Action::Retire
                | predecessor::Action::ReportFailure(_) => {}
            }
        }
    }

    fn carry_out_successor(&mut self, actions: Vec<successor::Action>) {
        for each in actions {
            match each {
                successor::Action::Send(frame) => self.to_predecessor.push_back(frame),
                successor::Action::CheckConfiguration { .. } => self.checks = true,
                successor::Action::LoadState => self.loads = true,
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
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let mut predecessor = predecessor::Predecessor::new(limits());
        predecessor.set_offer(7, 1);
        vec![World {
            predecessor,
            successor: None,
            predecessor_alive: true,
            successor_killed: false,
            to_successor: VecDeque::new(),
            to_predecessor: VecDeque::new(),
            stream_read_out: false,
            told_dead: false,
            answered: [0; INVOCATIONS],
            known: [false; INVOCATIONS],
            given: [false; INVOCATIONS],
            checks: false,
            loads: false,
            upgrades: 0,
            left: false,
            now: 0,
        }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        let started = world.upgrades > 0;
        if world.predecessor_alive {
            if world.upgrades < UPGRADES {
                steps.push(Step::RequestUpgrade);
            }
            if !world.to_predecessor.is_empty() {
                steps.push(Step::DeliverToPredecessor);
            }
            if world.predecessor.poll_timeout().is_some() {
                steps.push(Step::PredecessorTimesOut);
            }
            let acts = world.predecessor.is_active()
                || (self.0 == Fault::NeverFreezes
                    && world.predecessor.phase() == predecessor::Phase::Switching);
            let open = |i: &usize| acts && !world.known[*i];
            steps.extend((0..INVOCATIONS).filter(open).map(Step::PredecessorAnswers));
            let dead = world.successor.is_none()
                || (self.0 == Fault::DeclaredDeadTooEarly && world.successor_killed);
            if started && dead && !world.told_dead {
                steps.push(Step::PredecessorSeesDeath);
            }
            if started
                && world.successor.is_none()
                && world.to_predecessor.is_empty()
                && !world.stream_read_out
            {
                steps.push(Step::PredecessorSeesEnd);
            }
            if self.0 == Fault::DeclaredDeadTooEarly && world.told_dead && !world.stream_read_out {
                steps.push(Step::PredecessorSeesEnd);
            }
            if !world.left {
                steps.push(Step::RequestDrain);
            }
            steps.push(Step::KillPredecessor);
        }
        if let Some(successor) = &world.successor {
            if !world.to_successor.is_empty() {
                steps.push(Step::DeliverToSuccessor);
            } else if !world.predecessor_alive && successor.phase() != successor::Phase::Alone {
                steps.push(Step::SuccessorSeesEnd);
            }
            if successor.poll_timeout().is_some() {
                steps.push(Step::SuccessorTimesOut);
            }
            if world.checks {
                steps.extend([Step::Checked(true), Step::Checked(false)]);
            }
            if world.loads {
                steps.extend([Step::Loaded(true), Step::Loaded(false)]);
            }
            if successor.is_active() {
                steps.extend((0..INVOCATIONS).filter(|i| !world.given[*i]).map(Step::SuccessorAnswers));
            }
            steps.push(Step::KillSuccessor);
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        match step {
            Step::RequestUpgrade => {
                if world.predecessor.phase() == predecessor::Phase::Serving {
                    world.upgrades += 1;
                }
                world.predecessor_event(predecessor::Event::UpgradeRequested);
            }
            Step::DeliverToPredecessor => {
                let frame = world.to_predecessor.pop_front()?;
                world.predecessor_event(predecessor::Event::Frame(frame));
            }
            Step::DeliverToSuccessor => {
                let frame = world.to_successor.pop_front()?;
                world.successor_event(successor::Event::Frame(frame));
            }
            Step::PredecessorTimesOut => {
                world.now = u64::MAX / 4;
                world.time_out_predecessor();
                world.now = 0;
            }
            Step::SuccessorTimesOut => {
                world.now = u64::MAX / 4;
                world.time_out_successor();
                world.now = 0;
            }
            Step::Checked(good) => {
                world.checks = false;
                world.successor_event(successor::Event::ConfigurationChecked { rejection: rejection(good) });
            }
            Step::Loaded(good) => {
                world.loads = false;
                world.successor_event(successor::Event::StateLoaded { rejection: rejection(good) });
            }
            Step::PredecessorAnswers(i) => {
                world.known[i] = true;
                world.answered[i] += 1;
            }
            Step::SuccessorAnswers(i) => {
                let answer = AnnouncedAnswer { invocation: i as u64, offset: 0, bytes: vec![1] };
                world.given[i] = true;
                let said = world.successor.as_ref().and_then(|successor| successor.announce(answer));
                world.answered[i] += 1;
                if self.0 != Fault::AnswersUnannounced {
                    world.to_predecessor.extend(said.filter(|_| world.predecessor_alive));
                }
            }
            Step::KillPredecessor => {
                world.predecessor_alive = false;
                world.to_predecessor.clear();
            }
            Step::KillSuccessor => {
                world.successor = None;
                world.to_successor.clear();
            }
            Step::PredecessorSeesDeath => {
                world.told_dead = true;
                world.predecessor_event(predecessor::Event::SuccessorExited);
            }
            Step::PredecessorSeesEnd => {
                world.stream_read_out = true;
                world.predecessor_event(predecessor::Event::StreamEnded);
            }
            Step::SuccessorSeesEnd => world.successor_event(successor::Event::StreamEnded),
            Step::RequestDrain => {
                world.left = true;
                world.predecessor_event(predecessor::Event::DrainRequested { grace: 1 });
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("never do both act", |_, world: &World| {
                !(world.predecessor_alive && world.predecessor.is_active() && world.successor_is_active())
            }),
            Property::always("none is answered twice", |_, world: &World| {
                world.answered.iter().all(|times| *times <= 1)
            }),
            Property::always("somebody owns it", |model: &HotRestart, world: &World| {
                let mut steps = Vec::new();
                model.actions(world, &mut steps);
                // Nothing can happen any more but a kill, a question or a notice: somebody who lives acts.
                let ends = |step: &Step| {
                    matches!(
                        step,
                        Step::KillPredecessor
                            | Step::KillSuccessor
                            | Step::RequestUpgrade
                            | Step::RequestDrain
                    )
                };
                let lives = world.predecessor_alive || world.successor.is_some();
                let acts =
                    (world.predecessor_alive && world.predecessor.is_active()) || world.successor_is_active();
                !lives
                    || acts
                    || !steps.iter().all(ends)
                    || world.predecessor.phase() == predecessor::Phase::Retired
            }),
            Property::sometimes("an upgrade succeeds", |_, world: &World| {
                world.successor.as_ref().is_some_and(|successor| successor.phase() == successor::Phase::Alone)
                    && world.predecessor.phase() == predecessor::Phase::Retired
                    && world.answered == [1; INVOCATIONS]
            }),
            Property::sometimes("all is taken back after a trial", |_, world: &World| {
                world.predecessor_alive
                    && world.predecessor.phase() == predecessor::Phase::Serving
                    && world.known == [true, false]
                    && world.upgrades == 1
                    && world.successor.is_none()
            }),
        ]
    }
}

#[test]
fn in_no_interleaving_do_two_own_an_invocation_or_none() {
    let checker = HotRestart(Fault::None).checker().threads(4).spawn_bfs().join();
    println!("{} states, {} of them unique", checker.state_count(), checker.unique_state_count());
    assert!(checker.unique_state_count() > 1000, "{}", checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn a_fault_put_in_on_purpose_is_found() {
    for (fault, found) in [
        (Fault::DeclaredDeadTooEarly, "never do both act"),
        (Fault::AnswersUnannounced, "none is answered twice"),
        (Fault::NeverFreezes, "none is answered twice"),
    ] {
        let checker = HotRestart(fault).checker().threads(4).spawn_bfs().join();
        assert!(checker.discovery(found).is_some(), "{fault:?} was not found");
    }
}
