//! The new one's side.

use crate::frames::{Act, Frame};
use crate::{Nanos, VERSIONS};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Nothing was heard yet.
    Waiting,
    Preparing,
    Checking,
    Warming,
    Loading,
    Warmed,
    /// It has all, and waits to be told that it is its own.
    Confirmed,
    /// It acts, and says so ahead of each answer.
    Trial,
    /// The same; it has asked to be let go.
    Settling,
    /// The old one takes nothing back any more.
    Alone,
    /// To end at once: it owns nothing.
    Gone,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    Frame(Frame),
    Nonsense,
    /// The old one's end of the stream has ended.
    StreamEnded,
    /// Its own check of the configuration is done; a text says why it failed.
    Checked(Result<(), String>),
    /// All parts of the state are read, or not understood.
    Loaded(Result<(), String>),
    Time,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Do {
    Send(Frame),
    /// Check the configuration and that its digest is this one.
    Check {
        digest: u64,
    },
    Keep {
        part: u32,
        bytes: Vec<u8>,
    },
    /// Make all of it one's own, without acting.
    Load,
    /// Take in what has changed since.
    Change {
        bytes: Vec<u8>,
    },
    /// Act from now on.
    Own,
    Drain {
        grace: u64,
    },
    /// End; nothing was given for good.
    Exit,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Successor {
    step: Step,
    /// How long each step may take, and the trial.
    span: Nanos,
    trial: Nanos,
    due: Nanos,
    parts: u32,
    came: u32,
}

impl Successor {
    pub fn new(span: Nanos, trial: Nanos, now: Nanos) -> Self {
        Self { step: Step::Waiting, span, trial, due: now.saturating_add(span), parts: 0, came: 0 }
    }

    pub fn step(&self) -> Step {
        self.step
    }

    /// It may answer, run, call, report and accept.
    pub fn acts(&self) -> bool {
        matches!(self.step, Step::Trial | Step::Settling | Step::Alone)
    }

    /// When `Event::Time` is due.
    pub fn due(&self) -> Option<Nanos> {
        let waits = !matches!(self.step, Step::Alone | Step::Gone | Step::Settling);
        waits.then_some(self.due)
    }

    /// What is to be sent before this answer is given; nothing once it is alone.
    pub fn about_to(&self, act: Act) -> Option<Frame> {
        matches!(self.step, Step::Trial | Step::Settling).then_some(Frame::Done(act))
    }

    fn enter(&mut self, step: Step, now: Nanos) {
        let span = if step == Step::Trial { self.trial } else { self.span };
        (self.step, self.due) = (step, now.saturating_add(span));
    }

    fn refuse(&mut self, why: &str) -> Vec<Do> {
        self.step = Step::Gone;
        vec![Do::Send(Frame::Refuse { why: why.to_string() }), Do::Exit]
    }

    pub fn on(&mut self, now: Nanos, event: Event) -> Vec<Do> {
        match (self.step, event) {
            (Step::Gone, _) => Vec::new(),
            (Step::Alone, Event::Frame(Frame::Leave { grace })) => vec![Do::Drain { grace }],
            (Step::Alone, _) => Vec::new(),
            (Step::Trial | Step::Settling, event) => self.own(now, event),
            // The old one has gone or hangs before the release: what it had is gone, or its own still.
            (_, Event::StreamEnded) => {
                self.step = Step::Gone;
                vec![Do::Exit]
            }
            (_, Event::Time) if now < self.due => Vec::new(),
            (_, Event::Time) => self.refuse("the old one says nothing"),
            (_, Event::Nonsense) => self.refuse("no frame"),
            (step, event) => self.heard(now, step, event),
        }
    }

    fn heard(&mut self, now: Nanos, step: Step, event: Event) -> Vec<Do> {
        match (step, event) {
            (Step::Waiting, Event::Frame(Frame::Offer { versions, .. })) => {
                let common = VERSIONS.iter().rev().find(|version| versions.contains(version)).copied();
                let Some(version) = common else { return self.refuse("no version in common") };
                self.enter(Step::Preparing, now);
                vec![Do::Send(Frame::Accept { version })]
            }
            (Step::Preparing, Event::Frame(Frame::Prepare { digest, parts })) => {
                self.parts = parts;
                self.enter(Step::Checking, now);
                vec![Do::Check { digest }]
            }
            (Step::Checking, Event::Checked(Ok(()))) => {
                self.enter(if self.parts == 0 { Step::Loading } else { Step::Warming }, now);
                let load = (self.parts == 0).then_some(Do::Load);
                [Do::Send(Frame::Prepared)].into_iter().chain(load).collect()
            }
            (Step::Warming, Event::Frame(Frame::State { part, bytes })) if part == self.came => {
                self.came += 1;
                let last = self.came == self.parts;
                self.enter(if last { Step::Loading } else { Step::Warming }, now);
                [Do::Keep { part, bytes }].into_iter().chain(last.then_some(Do::Load)).collect()
            }
            (Step::Loading, Event::Loaded(Ok(()))) => {
                self.enter(Step::Warmed, now);
                vec![Do::Send(Frame::Warmed)]
            }
            (Step::Checking, Event::Checked(Err(why))) | (Step::Loading, Event::Loaded(Err(why))) => {
                self.refuse(&why)
            }
            (Step::Warmed, Event::Frame(Frame::Switch { bytes })) => {
                self.enter(Step::Confirmed, now);
                vec![Do::Change { bytes }, Do::Send(Frame::Confirmed)]
            }
            (Step::Confirmed, Event::Frame(Frame::Release)) => {
                self.enter(Step::Trial, now);
                vec![Do::Own]
            }
            _ => self.refuse("a frame that is not due"),
        }
    }

    /// Whatever the old one does now, this one goes on: it alone acts.
    fn own(&mut self, now: Nanos, event: Event) -> Vec<Do> {
        match event {
            Event::Time if now >= self.due && self.step == Step::Trial => {
                self.step = Step::Settling;
                vec![Do::Send(Frame::Settled)]
            }
            Event::StreamEnded | Event::Frame(Frame::Bye) => {
                self.step = Step::Alone;
                Vec::new()
            }
            Event::Frame(Frame::Leave { grace }) => vec![Do::Drain { grace }],
            _ => Vec::new(),
        }
    }
}
