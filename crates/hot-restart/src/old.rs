//! The old one's side.

use crate::frames::{Act, Frame};
use crate::{Nanos, VERSIONS, Why};

/// How long each step may take, from the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
    /// Each step but the switch and the trial.
    pub step: Nanos,
    /// While nobody acts.
    pub switch: Nanos,
    /// From the release until the new one counts as settled.
    pub trial: Nanos,
    /// After a failure, twice as long after each further one, up to the longest.
    pub pause: Nanos,
    pub pause_most: Nanos,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    Serving,
    Offered,
    Preparing,
    Warming,
    /// Frozen: all is given, and nobody acts until the new one confirms.
    Switching,
    /// The new one acts; all that was given is kept.
    Trial,
    /// It failed: the new one is being ended, and what it has said is read to its end. Before the release the
    /// old one acts meanwhile.
    Reaping,
    /// Nothing is taken back any more.
    Ended,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// An upgrade is asked for.
    Ask,
    Frame(Frame),
    /// Bytes came that are no frame.
    Nonsense,
    /// The stream has ended: no more will come.
    StreamEnded,
    /// The new process is known to be dead.
    Dead,
    /// The notice to leave, and the time until the stop.
    Leave {
        grace: u64,
    },
    /// Time has passed.
    Time,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Do {
    /// Start the new process with one end of a stream.
    Start,
    Send(Frame),
    /// Send the state in parts, each as `Frame::State`.
    SendState,
    /// Act no more, and send what has changed as `Frame::Switch`.
    Freeze,
    /// End the new process, and say so when it is dead.
    Kill,
    /// All is the old one's again. What the new one said it would answer is finished, never given again.
    TakeBack(Vec<Act>),
    /// Go through with the notice to leave.
    Drain {
        grace: u64,
    },
    /// All is the new one's for good.
    Retire,
    /// Whoever asked for the upgrade hears that it did not happen.
    Refuse(Why),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Old {
    limits: Limits,
    step: Step,
    due: Nanos,
    digest: u64,
    parts: u32,
    done: Vec<Act>,
    /// The release was sent: the new one may have acted.
    gave: bool,
    /// Of a new one that is being ended.
    dead: bool,
    silent: bool,
    why: Option<Why>,
    failures: u32,
    not_before: Nanos,
    leaving: Option<u64>,
}

impl Old {
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            step: Step::Serving,
            due: 0,
            digest: 0,
            parts: 0,
            done: Vec::new(),
            gave: false,
            dead: false,
            silent: false,
            why: None,
            failures: 0,
            not_before: 0,
            leaving: None,
        }
    }

    pub fn step(&self) -> Step {
        self.step
    }

    /// What the next upgrade will hand over: the configuration's digest and how many parts of state.
    pub fn offers(&mut self, digest: u64, parts: u32) {
        (self.digest, self.parts) = (digest, parts);
    }

    /// It may answer, run, call, report and accept.
    pub fn acts(&self) -> bool {
        let before = matches!(self.step, Step::Serving | Step::Offered | Step::Preparing | Step::Warming);
        before || (self.step == Step::Reaping && !self.gave)
    }

    /// When `Event::Time` is due.
    pub fn due(&self) -> Option<Nanos> {
        let waits = !matches!(self.step, Step::Serving | Step::Ended | Step::Reaping);
        waits.then_some(self.due)
    }

    fn enter(&mut self, step: Step, now: Nanos) {
        let span = match step {
            Step::Switching => self.limits.switch,
            Step::Trial => 2 * self.limits.trial,
            _ => self.limits.step,
        };
        (self.step, self.due) = (step, now.saturating_add(span));
    }

    pub fn on(&mut self, now: Nanos, event: Event) -> Vec<Do> {
        let out = match (self.step, event) {
            (Step::Ended, _) => Vec::new(),
            (Step::Serving, Event::Ask) => self.ask(now),
            (_, Event::Ask) => vec![Do::Refuse(Why::Busy)],
            (Step::Serving, Event::Leave { grace }) => {
                self.leaving = Some(grace);
                vec![Do::Drain { grace }]
            }
            // From the release on the notice is the new one's to go through with.
            (Step::Trial, Event::Leave { grace }) => {
                self.leaving = Some(grace);
                vec![Do::Send(Frame::Leave { grace })]
            }
            // Before it a leaving server is none to hand over: it goes back, and leaves.
            (step, Event::Leave { grace }) => {
                self.leaving = Some(grace);
                let fails = if step == Step::Reaping { Vec::new() } else { self.fail(Why::Leaving) };
                let drain = (!self.gave).then_some(Do::Drain { grace });
                fails.into_iter().chain(drain).collect()
            }
            (Step::Reaping, event) => self.reap(event),
            (Step::Serving, _) => Vec::new(),
            (_, Event::Dead) => {
                self.dead = true;
                self.fail(Why::Gone)
            }
            (_, Event::StreamEnded) => {
                self.silent = true;
                self.fail(Why::Gone)
            }
            (_, Event::Nonsense) => self.fail(Why::Nonsense),
            (_, Event::Time) if now >= self.due => self.fail(Why::Late),
            (_, Event::Time) => Vec::new(),
            (step, Event::Frame(frame)) => self.heard(now, step, frame),
        };
        if self.step == Step::Reaping && self.dead && self.silent {
            return out.into_iter().chain(self.take_back(now)).collect();
        }
        out
    }

    fn ask(&mut self, now: Nanos) -> Vec<Do> {
        if self.leaving.is_some() {
            return vec![Do::Refuse(Why::Leaving)];
        }
        if now < self.not_before {
            return vec![Do::Refuse(Why::TooSoon(self.not_before - now))];
        }
        (self.gave, self.dead, self.silent, self.why) = (false, false, false, None);
        self.done.clear();
        self.enter(Step::Offered, now);
        let build = env!("CARGO_PKG_VERSION").to_string();
        vec![Do::Start, Do::Send(Frame::Offer { versions: VERSIONS.to_vec(), build })]
    }

    fn heard(&mut self, now: Nanos, step: Step, frame: Frame) -> Vec<Do> {
        match (step, frame) {
            (_, Frame::Refuse { why }) => self.fail(Why::Refused(why)),
            (Step::Offered, Frame::Accept { version }) if !VERSIONS.contains(&version) => {
                self.fail(Why::Version)
            }
            (Step::Offered, Frame::Accept { .. }) => {
                self.enter(Step::Preparing, now);
                vec![Do::Send(Frame::Prepare { digest: self.digest, parts: self.parts })]
            }
            (Step::Preparing, Frame::Prepared) => {
                self.enter(Step::Warming, now);
                vec![Do::SendState]
            }
            (Step::Warming, Frame::Warmed) => {
                self.enter(Step::Switching, now);
                vec![Do::Freeze]
            }
            (Step::Switching, Frame::Confirmed) => {
                self.enter(Step::Trial, now);
                self.gave = true;
                vec![Do::Send(Frame::Release)]
            }
            (Step::Trial, Frame::Done(act)) => {
                self.done.push(act);
                Vec::new()
            }
            (Step::Trial, Frame::Settled) => {
                (self.step, self.failures) = (Step::Ended, 0);
                vec![Do::Send(Frame::Bye), Do::Retire]
            }
            _ => self.fail(Why::Nonsense),
        }
    }

    /// Whatever the new one is: it is ended. Before the release it cannot have acted, and the old one goes on
    /// at once; after it nothing is taken back before it is dead.
    fn fail(&mut self, why: Why) -> Vec<Do> {
        let thaws = self.step == Step::Switching;
        self.step = Step::Reaping;
        self.why = Some(why);
        let kill = (!self.dead).then_some(Do::Kill);
        let back = thaws.then(|| Do::TakeBack(Vec::new()));
        kill.into_iter().chain(back).collect()
    }

    /// What it said before its end counts: it may have been done.
    fn reap(&mut self, event: Event) -> Vec<Do> {
        match event {
            Event::Dead => self.dead = true,
            // Nonsense ends what can be read; what it did behind it is not known (`docs/upgrades.md`).
            Event::StreamEnded | Event::Nonsense => self.silent = true,
            Event::Frame(Frame::Done(act)) => self.done.push(act),
            _ => {}
        }
        Vec::new()
    }

    fn take_back(&mut self, now: Nanos) -> Vec<Do> {
        self.step = Step::Serving;
        let pause = self.limits.pause.saturating_mul(1 << self.failures.min(20));
        self.not_before = now.saturating_add(pause.min(self.limits.pause_most));
        self.failures += 1;
        let done = std::mem::take(&mut self.done);
        let mut out: Vec<Do> = self.gave.then_some(Do::TakeBack(done)).into_iter().collect();
        out.extend(self.why.take().map(Do::Refuse));
        out.extend(self.leaving.filter(|_| self.gave).map(|grace| Do::Drain { grace }));
        out
    }
}
