//! All interleavings of both sides, with either of them killed at any moment, timers that go off whenever
//! they may, and a stream that loses what its reader did not read. The machines are the real ones.

use meadowstream_hot_restart::frames::{Act, Frame};
use meadowstream_hot_restart::{old, successor};
use stateright::{Checker, Model, Property};
use std::collections::VecDeque;

/// Faults put in on purpose, which the checker must find.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// The old one is told that the new one is dead before it is.
    TakenForDead,
    /// The new one answers before it says so.
    ActsUnsaid,
    /// The old one goes on after it has frozen.
    NeverFreezes,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    old: old::Old,
    new: Option<successor::Successor>,
    old_alive: bool,
    /// Told to end, and not dead yet.
    new_killed: bool,
    to_new: VecDeque<Frame>,
    to_old: VecDeque<Frame>,
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
    Ask,
    ToOld,
    ToNew,
    OldLate,
    NewLate,
    Checked(bool),
    Loaded(bool),
    OldAnswers(usize),
    NewAnswers(usize),
    KillOld,
    KillNew,
    OldSeesDeath,
    OldSeesEnd,
    NewSeesEnd,
    Leave,
}

struct Handover(Fault);

fn limits() -> old::Limits {
    old::Limits { step: 1, switch: 1, trial: 1, pause: 0, pause_most: 0 }
}

impl World {
    fn obey_old(&mut self, todo: Vec<old::Do>) {
        for each in todo {
            match each {
                old::Do::Start => {
                    self.new = Some(successor::Successor::new(1, 1, self.now));
                    (self.to_new, self.to_old) = (VecDeque::new(), VecDeque::new());
                    (self.new_killed, self.stream_read_out, self.told_dead) = (false, false, false);
                    (self.checks, self.loads) = (false, false);
                }
                old::Do::Send(frame) => self.to_new.push_back(frame),
                old::Do::SendState => self.to_new.push_back(Frame::State { part: 0, bytes: vec![1] }),
                old::Do::Freeze => {
                    self.given = self.known;
                    self.to_new.push_back(Frame::Switch { bytes: vec![2] });
                }
                old::Do::Kill => self.new_killed = true,
                old::Do::TakeBack(acts) => {
                    acts.iter().for_each(|act| self.known[act.invocation as usize] = true);
                    // What was said and perhaps not done is done now, once: the kernel tells how far it came.
                    for act in &acts {
                        let given = &mut self.answered[act.invocation as usize];
                        *given = (*given).max(1);
                    }
                }
                old::Do::Drain { .. } | old::Do::Retire | old::Do::Refuse(_) => {}
            }
        }
    }

    fn obey_new(&mut self, todo: Vec<successor::Do>) {
        for each in todo {
            match each {
                successor::Do::Send(frame) => self.to_old.push_back(frame),
                successor::Do::Check { .. } => self.checks = true,
                successor::Do::Load => self.loads = true,
                successor::Do::Exit => self.new = None,
                _ => {}
            }
        }
    }

    fn new_on(&mut self, event: successor::Event) {
        let now = self.now;
        if let Some(todo) = self.new.as_mut().map(|new| new.on(now, event)) {
            self.obey_new(todo);
        }
    }

    fn old_on(&mut self, event: old::Event) {
        let todo = self.old.on(self.now, event);
        self.obey_old(todo);
    }

    fn new_acts(&self) -> bool {
        self.new.as_ref().is_some_and(successor::Successor::acts)
    }
}

impl Model for Handover {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let mut old = old::Old::new(limits());
        old.offers(7, 1);
        vec![World {
            old,
            new: None,
            old_alive: true,
            new_killed: false,
            to_new: VecDeque::new(),
            to_old: VecDeque::new(),
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
        if world.old_alive {
            if world.upgrades < UPGRADES {
                steps.push(Step::Ask);
            }
            if !world.to_old.is_empty() {
                steps.push(Step::ToOld);
            }
            if world.old.due().is_some() {
                steps.push(Step::OldLate);
            }
            let acts = world.old.acts()
                || (self.0 == Fault::NeverFreezes && world.old.step() == old::Step::Switching);
            let open = |i: &usize| acts && !world.known[*i];
            steps.extend((0..INVOCATIONS).filter(open).map(Step::OldAnswers));
            let dead = world.new.is_none() || (self.0 == Fault::TakenForDead && world.new_killed);
            if started && dead && !world.told_dead {
                steps.push(Step::OldSeesDeath);
            }
            if started && world.new.is_none() && world.to_old.is_empty() && !world.stream_read_out {
                steps.push(Step::OldSeesEnd);
            }
            if self.0 == Fault::TakenForDead && world.told_dead && !world.stream_read_out {
                steps.push(Step::OldSeesEnd);
            }
            if !world.left {
                steps.push(Step::Leave);
            }
            steps.push(Step::KillOld);
        }
        if let Some(new) = &world.new {
            if !world.to_new.is_empty() {
                steps.push(Step::ToNew);
            } else if !world.old_alive && new.step() != successor::Step::Alone {
                steps.push(Step::NewSeesEnd);
            }
            if new.due().is_some() {
                steps.push(Step::NewLate);
            }
            if world.checks {
                steps.extend([Step::Checked(true), Step::Checked(false)]);
            }
            if world.loads {
                steps.extend([Step::Loaded(true), Step::Loaded(false)]);
            }
            if new.acts() {
                steps.extend((0..INVOCATIONS).filter(|i| !world.given[*i]).map(Step::NewAnswers));
            }
            steps.push(Step::KillNew);
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        match step {
            Step::Ask => {
                if world.old.step() == old::Step::Serving {
                    world.upgrades += 1;
                }
                world.old_on(old::Event::Ask);
            }
            Step::ToOld => {
                let frame = world.to_old.pop_front()?;
                world.old_on(old::Event::Frame(frame));
            }
            Step::ToNew => {
                let frame = world.to_new.pop_front()?;
                world.new_on(successor::Event::Frame(frame));
            }
            Step::OldLate => {
                world.now = u64::MAX / 4;
                world.old_on(old::Event::Time);
                world.now = 0;
            }
            Step::NewLate => {
                world.now = u64::MAX / 4;
                world.new_on(successor::Event::Time);
                world.now = 0;
            }
            Step::Checked(good) => {
                world.checks = false;
                world.new_on(successor::Event::Checked(if good { Ok(()) } else { Err("no".to_string()) }));
            }
            Step::Loaded(good) => {
                world.loads = false;
                world.new_on(successor::Event::Loaded(if good { Ok(()) } else { Err("no".to_string()) }));
            }
            Step::OldAnswers(i) => {
                world.known[i] = true;
                world.answered[i] += 1;
            }
            Step::NewAnswers(i) => {
                let act = Act { invocation: i as u64, offset: 0, bytes: vec![1] };
                world.given[i] = true;
                let said = world.new.as_ref().and_then(|new| new.about_to(act));
                world.answered[i] += 1;
                if self.0 != Fault::ActsUnsaid {
                    world.to_old.extend(said.filter(|_| world.old_alive));
                }
            }
            Step::KillOld => {
                world.old_alive = false;
                world.to_old.clear();
            }
            Step::KillNew => {
                world.new = None;
                world.to_new.clear();
            }
            Step::OldSeesDeath => {
                world.told_dead = true;
                world.old_on(old::Event::Dead);
            }
            Step::OldSeesEnd => {
                world.stream_read_out = true;
                world.old_on(old::Event::StreamEnded);
            }
            Step::NewSeesEnd => world.new_on(successor::Event::StreamEnded),
            Step::Leave => {
                world.left = true;
                world.old_on(old::Event::Leave { grace: 1 });
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("never do both act", |_, world: &World| {
                !(world.old_alive && world.old.acts() && world.new_acts())
            }),
            Property::always("none is answered twice", |_, world: &World| {
                world.answered.iter().all(|times| *times <= 1)
            }),
            Property::always("somebody owns it", |model: &Handover, world: &World| {
                let mut steps = Vec::new();
                model.actions(world, &mut steps);
                // Nothing can happen any more but a kill, a question or a notice: somebody who lives acts.
                let ends =
                    |step: &Step| matches!(step, Step::KillOld | Step::KillNew | Step::Ask | Step::Leave);
                let lives = world.old_alive || world.new.is_some();
                let acts = (world.old_alive && world.old.acts()) || world.new_acts();
                !lives || acts || !steps.iter().all(ends) || world.old.step() == old::Step::Ended
            }),
            Property::sometimes("an upgrade succeeds", |_, world: &World| {
                world.new.as_ref().is_some_and(|new| new.step() == successor::Step::Alone)
                    && world.old.step() == old::Step::Ended
                    && world.answered == [1; INVOCATIONS]
            }),
            Property::sometimes("all is taken back after a trial", |_, world: &World| {
                world.old_alive
                    && world.old.step() == old::Step::Serving
                    && world.known == [true, false]
                    && world.upgrades == 1
                    && world.new.is_none()
            }),
        ]
    }
}

#[test]
fn in_no_interleaving_do_two_own_an_invocation_or_none() {
    let checker = Handover(Fault::None).checker().threads(4).spawn_bfs().join();
    println!("{} states, {} of them unique", checker.state_count(), checker.unique_state_count());
    assert!(checker.unique_state_count() > 1000, "{}", checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn a_fault_put_in_on_purpose_is_found() {
    for (fault, found) in [
        (Fault::TakenForDead, "never do both act"),
        (Fault::ActsUnsaid, "none is answered twice"),
        (Fault::NeverFreezes, "none is answered twice"),
    ] {
        let checker = Handover(fault).checker().threads(4).spawn_bfs().join();
        assert!(checker.discovery(found).is_some(), "{fault:?} was not found");
    }
}
