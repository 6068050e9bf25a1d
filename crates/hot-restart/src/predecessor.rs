//! The predecessor's side: it starts a successor, hands over, and takes back if the attempt fails.

use crate::frames::{AnnouncedAnswer, Frame};
use crate::{AbortReason, Nanos, VERSIONS};

/// Limits of an attempt, in nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
    /// Longest time of each step but the switch and the trial.
    pub step: Nanos,
    /// Longest time of the switch, in which no process is active.
    pub switch: Nanos,
    /// Length of the trial; the predecessor waits twice as long for its end.
    pub trial: Nanos,
    /// Backoff after the first failure, doubled with each further one.
    pub backoff: Nanos,
    /// Longest backoff.
    pub backoff_max: Nanos,
}

/// The trial is over after so many of its lengths, whatever the successor says.
const TRIAL_TIMEOUT_FACTOR: Nanos = 2;
/// Doublings of the backoff, at most.
const BACKOFF_DOUBLINGS_MAX: u32 = 20;

/// Phase of the predecessor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// No upgrade is under way.
    Serving,
    /// The successor has been started and sent the offer.
    Offered,
    /// The successor checks its configuration.
    Preparing,
    /// The successor loads the state.
    Loading,
    /// Frozen: all is handed over, and no process is active until the successor confirms.
    Switching,
    /// The successor is active; all that was handed over is kept.
    Trial,
    /// The attempt failed: the successor is being killed, and its announcements are read to their end. Before
    /// the release the predecessor is active meanwhile.
    Aborting,
    /// The upgrade succeeded; nothing is taken back any more.
    Retired,
}

/// What the predecessor is told.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The operator requests an upgrade.
    UpgradeRequested,
    /// A frame arrived.
    Frame(Frame),
    /// Bytes arrived that are no frame.
    InvalidFrame,
    /// The stream has ended: no more will arrive.
    StreamEnded,
    /// The successor's process is known to be dead.
    SuccessorExited,
    /// The server is to drain.
    DrainRequested {
        /// Time until the stop, in nanoseconds.
        grace: Nanos,
    },
}

/// What the caller is to carry out, in the order given.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Start the successor with one end of a stream.
    StartSuccessor,
    /// Send a frame.
    Send(Frame),
    /// Send the state in parts, each as [`Frame::State`].
    SendState,
    /// Stop being active, and send what has changed since the state as [`Frame::Switch`].
    Freeze,
    /// Kill the successor, and report [`Event::SuccessorExited`] when it is dead.
    KillSuccessor,
    /// Take back all that was handed over, and be active again. Announced answers are completed and not given
    /// again.
    TakeBack(Vec<AnnouncedAnswer>),
    /// Drain.
    Drain {
        /// Time until the stop, in nanoseconds.
        grace: Nanos,
    },
    /// End this process; all is the successor's for good.
    Retire,
    /// Tell whoever requested the upgrade that it did not happen.
    ReportFailure(AbortReason),
}

/// The predecessor's state machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Predecessor {
    limits: Limits,
    phase: Phase,
    /// When the present phase times out, where it does.
    deadline: Nanos,
    digest: u64,
    parts: u32,
    /// Answers that the successor has announced.
    announced: Vec<AnnouncedAnswer>,
    /// Whether the release was sent: the successor may have acted.
    has_released: bool,
    /// Whether the successor's process is dead.
    successor_dead: bool,
    /// Whether nothing more can be read from the successor.
    stream_ended: bool,
    abort_reason: Option<AbortReason>,
    /// Failed attempts since the last success.
    failures: u32,
    /// When the backoff is over.
    not_before: Nanos,
    /// The time until the stop, once a drain was requested.
    drain_grace: Option<Nanos>,
}

impl Predecessor {
    /// A predecessor that serves.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            phase: Phase::Serving,
            deadline: 0,
            digest: 0,
            parts: 0,
            announced: Vec::new(),
            has_released: false,
            successor_dead: false,
            stream_ended: false,
            abort_reason: None,
            failures: 0,
            not_before: 0,
            drain_grace: None,
        }
    }

    /// The present phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Sets what the next upgrade hands over: the configuration's digest and the number of parts of the
    /// state.
    pub fn set_offer(&mut self, digest: u64, parts: u32) {
        self.digest = digest;
        self.parts = parts;
    }

    /// Whether the predecessor may answer, run, call, report and accept.
    pub fn is_active(&self) -> bool {
        match self.phase {
            Phase::Serving | Phase::Offered | Phase::Preparing | Phase::Loading => true,
            Phase::Aborting => !self.has_released,
            Phase::Switching | Phase::Trial | Phase::Retired => false,
        }
    }

    /// When [`Predecessor::handle_timeout`] is to be called, where the phase has a timeout.
    pub fn poll_timeout(&self) -> Option<Nanos> {
        match self.phase {
            Phase::Serving | Phase::Aborting | Phase::Retired => None,
            Phase::Offered | Phase::Preparing | Phase::Loading | Phase::Switching | Phase::Trial => {
                Some(self.deadline)
            }
        }
    }

    fn enter(&mut self, phase: Phase, now: Nanos) {
        let timeout = match phase {
            Phase::Switching => self.limits.switch,
            Phase::Trial => TRIAL_TIMEOUT_FACTOR * self.limits.trial,
            _ => self.limits.step,
        };
        self.phase = phase;
        self.deadline = now.saturating_add(timeout);
    }

    /// Ends the attempt where the phase's timeout has passed.
    pub fn handle_timeout(&mut self, now: Nanos) -> Vec<Action> {
        match self.poll_timeout() {
            Some(deadline) if now >= deadline => self.abort(AbortReason::Timeout),
            _ => Vec::new(),
        }
    }

    /// Handles an event.
    pub fn handle_event(&mut self, now: Nanos, event: Event) -> Vec<Action> {
        if self.phase == Phase::Retired {
            return Vec::new();
        }
        let mut actions = match event {
            Event::UpgradeRequested => self.handle_upgrade_request(now),
            Event::DrainRequested { grace } => self.handle_drain_request(grace),
            event => match self.phase {
                Phase::Serving => Vec::new(),
                Phase::Aborting => self.handle_while_aborting(event),
                _ => self.handle_successor(now, event),
            },
        };
        if self.phase == Phase::Aborting && self.successor_dead && self.stream_ended {
            actions.extend(self.finish_abort(now));
        }
        actions
    }

    fn handle_upgrade_request(&mut self, now: Nanos) -> Vec<Action> {
        if self.phase != Phase::Serving {
            return vec![Action::ReportFailure(AbortReason::Busy)];
        }
        if self.drain_grace.is_some() {
            return vec![Action::ReportFailure(AbortReason::Draining)];
        }
        if now < self.not_before {
            return vec![Action::ReportFailure(AbortReason::Backoff { wait: self.not_before - now })];
        }
        self.has_released = false;
        self.successor_dead = false;
        self.stream_ended = false;
        self.abort_reason = None;
        self.announced.clear();
        self.enter(Phase::Offered, now);
        let build = env!("CARGO_PKG_VERSION").to_string();
        let offer = Frame::Offer { versions: VERSIONS.to_vec(), build };
        vec![Action::StartSuccessor, Action::Send(offer)]
    }

    fn handle_drain_request(&mut self, grace: Nanos) -> Vec<Action> {
        self.drain_grace = Some(grace);
        match self.phase {
            Phase::Serving => vec![Action::Drain { grace }],
            // From the release on it is the successor that drains.
            Phase::Trial => vec![Action::Send(Frame::Drain { grace })],
            // Before it a draining server hands nothing over: the attempt ends, and this process drains.
            // After a release it drains once all is taken back.
            _ => {
                let is_aborting = self.phase == Phase::Aborting;
                let mut actions = if is_aborting { Vec::new() } else { self.abort(AbortReason::Draining) };
                if !self.has_released {
                    actions.push(Action::Drain { grace });
                }
                actions
            }
        }
    }

    /// Handles what the successor did while an attempt is under way.
    fn handle_successor(&mut self, now: Nanos, event: Event) -> Vec<Action> {
        match event {
            Event::Frame(frame) => self.handle_frame(now, frame),
            Event::SuccessorExited => {
                self.successor_dead = true;
                self.abort(AbortReason::SuccessorGone)
            }
            Event::StreamEnded => {
                self.stream_ended = true;
                self.abort(AbortReason::SuccessorGone)
            }
            Event::InvalidFrame => self.abort(AbortReason::ProtocolViolation),
            Event::UpgradeRequested | Event::DrainRequested { .. } => Vec::new(),
        }
    }

    fn handle_frame(&mut self, now: Nanos, frame: Frame) -> Vec<Action> {
        match (self.phase, frame) {
            (_, Frame::Refuse { reason }) => self.abort(AbortReason::Refused { reason }),
            (Phase::Offered, Frame::Accept { version }) if !VERSIONS.contains(&version) => {
                self.abort(AbortReason::Version { version })
            }
            (Phase::Offered, Frame::Accept { .. }) => {
                self.enter(Phase::Preparing, now);
                vec![Action::Send(Frame::Prepare { digest: self.digest, parts: self.parts })]
            }
            (Phase::Preparing, Frame::Prepared) => {
                self.enter(Phase::Loading, now);
                vec![Action::SendState]
            }
            (Phase::Loading, Frame::Loaded) => {
                self.enter(Phase::Switching, now);
                vec![Action::Freeze]
            }
            (Phase::Switching, Frame::Confirmed) => {
                self.enter(Phase::Trial, now);
                self.has_released = true;
                vec![Action::Send(Frame::Release)]
            }
            (Phase::Trial, Frame::Announce(answer)) => {
                self.announced.push(answer);
                Vec::new()
            }
            (Phase::Trial, Frame::TrialOver) => {
                self.phase = Phase::Retired;
                self.failures = 0;
                vec![Action::Send(Frame::Retired), Action::Retire]
            }
            _ => self.abort(AbortReason::ProtocolViolation),
        }
    }

    /// Ends the attempt: the successor is killed. Before the release it cannot have acted, and the
    /// predecessor resumes at once; after it nothing is taken back before the successor is dead.
    fn abort(&mut self, reason: AbortReason) -> Vec<Action> {
        let was_frozen = self.phase == Phase::Switching;
        self.phase = Phase::Aborting;
        self.abort_reason = Some(reason);
        let mut actions = Vec::new();
        if !self.successor_dead {
            actions.push(Action::KillSuccessor);
        }
        if was_frozen {
            actions.push(Action::TakeBack(Vec::new()));
        }
        actions
    }

    /// Reads what the successor announced before its death: it may have been given.
    fn handle_while_aborting(&mut self, event: Event) -> Vec<Action> {
        match event {
            Event::SuccessorExited => self.successor_dead = true,
            // Nothing can be read behind bytes that are no frame (`docs/upgrades.md`).
            Event::StreamEnded | Event::InvalidFrame => self.stream_ended = true,
            Event::Frame(Frame::Announce(answer)) => self.announced.push(answer),
            Event::Frame(_) | Event::UpgradeRequested | Event::DrainRequested { .. } => {}
        }
        Vec::new()
    }

    /// Serves again, now that the successor is dead and all its announcements are read.
    fn finish_abort(&mut self, now: Nanos) -> Vec<Action> {
        self.phase = Phase::Serving;
        let doublings = self.failures.min(BACKOFF_DOUBLINGS_MAX);
        let backoff = self.limits.backoff.saturating_mul(1 << doublings);
        self.not_before = now.saturating_add(backoff.min(self.limits.backoff_max));
        self.failures += 1;
        let announced = std::mem::take(&mut self.announced);
        let mut actions = Vec::new();
        if self.has_released {
            actions.push(Action::TakeBack(announced));
        }
        actions.extend(self.abort_reason.take().map(Action::ReportFailure));
        if let Some(grace) = self.drain_grace.filter(|_| self.has_released) {
            actions.push(Action::Drain { grace });
        }
        actions
    }
}
