//! Predecessor's side of a hot restart. The predecessor is the old server process: it starts a successor,
//! hands over to it, and resumes if the attempt fails.

use crate::frames::{AnnouncedAnswer, Frame};
use crate::{AbortReason, Nanos, VERSIONS};

/// Time limits for the phases of an upgrade attempt and for the delay after a failed attempt, in nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
    /// Time limit for each step of an upgrade, in nanoseconds. The switch and the trial have limits of their
    /// own.
    pub step: Nanos,
    /// Time limit for the switch, in nanoseconds. The switch is the phase in which neither predecessor nor
    /// successor is active.
    pub switch: Nanos,
    /// Duration of the trial, in nanoseconds. During the trial, the successor is active and the predecessor
    /// can still resume service. The predecessor waits at most twice this time for the end of the trial.
    pub trial: Nanos,
    /// Time from the first failed upgrade attempt until the next attempt may start, in nanoseconds. Each
    /// further failure doubles this time.
    pub backoff: Nanos,
    /// Upper limit of the backoff, in nanoseconds. The backoff is the time from a failed upgrade attempt
    /// until the next attempt may start.
    pub backoff_max: Nanos,
}

/// Timeout for the end of the trial, as a multiple of the trial's duration. The predecessor aborts the
/// upgrade when the timeout expires.
const TRIAL_TIMEOUT_FACTOR: Nanos = 2;
/// Maximum number of times that the delay after a failed upgrade attempt is doubled. Further failures do not
/// change the delay.
const BACKOFF_DOUBLINGS_MAX: u32 = 20;

/// Phase of the predecessor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// No upgrade is in progress.
    Serving,
    /// The predecessor has started the successor and has offered it the supported protocol versions.
    Offered,
    /// The successor is checking its configuration against the predecessor's configuration.
    Preparing,
    /// The successor is receiving and loading the state.
    Loading,
    /// The predecessor is frozen and has handed everything over. No process is active until the successor has
    /// confirmed the handover and is released.
    Switching,
    /// The successor is active on trial. The predecessor keeps everything that it handed over, so that it can
    /// resume service if the successor fails.
    Trial,
    /// The upgrade failed, and the successor is being killed. The successor's announcements of answers are
    /// read until the end of the stream. Meanwhile, the predecessor is active if it had not released the
    /// successor yet.
    Aborting,
    /// The upgrade succeeded. The predecessor can no longer resume service.
    Retired,
}

/// An input of the predecessor.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The operator requests an upgrade.
    UpgradeRequested,
    /// A frame was received from the successor.
    Frame(Frame),
    /// Bytes that are not a valid frame were received from the successor.
    InvalidFrame,
    /// The stream from the successor has ended; no more bytes will be received.
    StreamEnded,
    /// The successor's process has exited.
    SuccessorExited,
    /// The server must drain.
    DrainRequested {
        /// Time from the drain request until the process is stopped, in nanoseconds.
        grace: Nanos,
    },
}

/// An action that the caller must carry out. Several actions must be carried out in the order in which they
/// are returned.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Start the successor's process and give it one end of a new stream.
    StartSuccessor,
    /// Send a frame to the successor.
    Send(Frame),
    /// Send the state in parts. Each part is sent in a [`Frame::State`].
    SendState,
    /// Stop all activity of this process. Then send a [`Frame::Switch`] with the changes that were made after
    /// the state was sent.
    Freeze,
    /// Kill the successor's process, and report [`Event::SuccessorExited`] once it is dead.
    KillSuccessor,
    /// Resume service with the state and connections that had been handed over. The value lists the answers
    /// that the successor announced. Finish writing these answers, and do not answer their invocations again.
    Resume(Vec<AnnouncedAnswer>),
    /// Drain this process.
    Drain {
        /// Time from the drain request until the process is stopped, in nanoseconds.
        grace: Nanos,
    },
    /// End this process, since the successor has taken over permanently.
    Retire,
    /// Report to the requester of the upgrade that the upgrade did not happen.
    ReportFailure(AbortReason),
}

/// State machine of the predecessor, the old server process in a hot restart.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Predecessor {
    limits: Limits,
    phase: Phase,
    /// Time at which the current phase times out. The value is unused in phases without a timeout.
    deadline: Nanos,
    /// Digest of the configuration.
    digest: u64,
    /// Number of parts of the state.
    parts: u32,
    /// Answers that the successor has announced during the trial.
    announced: Vec<AnnouncedAnswer>,
    /// Whether the predecessor has released the successor, that is, made it the active process. After the
    /// release, the successor may have acted.
    has_released: bool,
    /// Whether the successor's process has exited.
    successor_exited: bool,
    /// Whether the stream from the successor has ended.
    stream_ended: bool,
    /// Reason why the current upgrade is being aborted. `None` if no upgrade is being aborted.
    abort_reason: Option<AbortReason>,
    /// Number of failed upgrade attempts since the last successful upgrade.
    failures: u32,
    /// Earliest time of the next upgrade attempt after a failed attempt.
    backoff_until: Nanos,
    /// Time from the drain request until the process is stopped, in nanoseconds. `None` if no drain was
    /// requested.
    drain_grace: Option<Nanos>,
}

impl Predecessor {
    /// Creates a predecessor that serves normally, with no upgrade in progress.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            phase: Phase::Serving,
            deadline: 0,
            digest: 0,
            parts: 0,
            announced: Vec::new(),
            has_released: false,
            successor_exited: false,
            stream_ended: false,
            abort_reason: None,
            failures: 0,
            backoff_until: 0,
            drain_grace: None,
        }
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Sets the two values that the predecessor announces to the successor in the next upgrade: the digest of
    /// the configuration, and the number of parts of the state.
    pub fn set_offer(&mut self, digest: u64, parts: u32) {
        self.digest = digest;
        self.parts = parts;
    }

    /// Returns whether the predecessor is active. Only an active process may answer and run invocations, call
    /// services, send reports and accept connections.
    pub fn is_active(&self) -> bool {
        match self.phase {
            Phase::Serving | Phase::Offered | Phase::Preparing | Phase::Loading => true,
            Phase::Aborting => !self.has_released,
            Phase::Switching | Phase::Trial | Phase::Retired => false,
        }
    }

    /// Returns the time at which [`Predecessor::handle_timeout`] must be called, or `None` if the current
    /// phase has no timeout.
    pub fn poll_timeout(&self) -> Option<Nanos> {
        match self.phase {
            Phase::Serving | Phase::Aborting | Phase::Retired => None,
            Phase::Offered | Phase::Preparing | Phase::Loading | Phase::Switching | Phase::Trial => {
                Some(self.deadline)
            }
        }
    }

    /// Enters a phase and sets the time at which the phase times out.
    fn enter(&mut self, phase: Phase, now: Nanos) {
        let timeout = match phase {
            Phase::Switching => self.limits.switch,
            Phase::Trial => TRIAL_TIMEOUT_FACTOR * self.limits.trial,
            _ => self.limits.step,
        };
        self.phase = phase;
        self.deadline = now.saturating_add(timeout);
    }

    /// Aborts the upgrade attempt if the current phase has timed out.
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
        if self.phase == Phase::Aborting && self.successor_exited && self.stream_ended {
            actions.extend(self.finish_abort(now));
        }
        actions
    }

    /// Starts an upgrade, or reports the reason why no upgrade can start now.
    fn handle_upgrade_request(&mut self, now: Nanos) -> Vec<Action> {
        if self.phase != Phase::Serving {
            return vec![Action::ReportFailure(AbortReason::Busy)];
        }
        if self.drain_grace.is_some() {
            return vec![Action::ReportFailure(AbortReason::Draining)];
        }
        if now < self.backoff_until {
            return vec![Action::ReportFailure(AbortReason::Backoff { wait: self.backoff_until - now })];
        }
        self.has_released = false;
        self.successor_exited = false;
        self.stream_ended = false;
        self.abort_reason = None;
        self.announced.clear();
        self.enter(Phase::Offered, now);
        let build = env!("CARGO_PKG_VERSION").to_string();
        let offer = Frame::Offer { versions: VERSIONS.to_vec(), build };
        vec![Action::StartSuccessor, Action::Send(offer)]
    }

    /// Handles a request to drain. The active process drains. If an upgrade is in progress and the successor
    /// has not been released yet, the upgrade is aborted.
    fn handle_drain_request(&mut self, grace: Nanos) -> Vec<Action> {
        self.drain_grace = Some(grace);
        match self.phase {
            Phase::Serving => vec![Action::Drain { grace }],
            // After the release, the successor is the active process and must drain.
            Phase::Trial => vec![Action::Send(Frame::Drain { grace })],
            // Before the release, an upgrade attempt is aborted and this process drains, since a draining
            // server hands nothing over. If an attempt is being aborted after the release, this process
            // drains once it has resumed.
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

    /// Handles an event that the successor caused during an upgrade attempt.
    fn handle_successor(&mut self, now: Nanos, event: Event) -> Vec<Action> {
        match event {
            Event::Frame(frame) => self.handle_frame(now, frame),
            Event::SuccessorExited => {
                self.successor_exited = true;
                self.abort(AbortReason::SuccessorExited)
            }
            Event::StreamEnded => {
                self.stream_ended = true;
                self.abort(AbortReason::SuccessorExited)
            }
            Event::InvalidFrame => self.abort(AbortReason::ProtocolViolation),
            Event::UpgradeRequested | Event::DrainRequested { .. } => Vec::new(),
        }
    }

    /// Handles a frame from the successor. A frame that is not expected in the current phase aborts the
    /// upgrade attempt.
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

    /// Aborts the upgrade attempt and kills the successor. Before the release the successor cannot have
    /// acted. A predecessor that has frozen for the switch therefore resumes at once. After the release the
    /// predecessor resumes only when the successor is dead.
    fn abort(&mut self, reason: AbortReason) -> Vec<Action> {
        let was_frozen = self.phase == Phase::Switching;
        self.phase = Phase::Aborting;
        self.abort_reason = Some(reason);
        let mut actions = Vec::new();
        if !self.successor_exited {
            actions.push(Action::KillSuccessor);
        }
        if was_frozen {
            actions.push(Action::Resume(Vec::new()));
        }
        actions
    }

    /// Handles an event while the upgrade attempt is being aborted. Announcements that the successor sent
    /// before its death are still collected, since callers may have received the announced answers.
    fn handle_while_aborting(&mut self, event: Event) -> Vec<Action> {
        match event {
            Event::SuccessorExited => self.successor_exited = true,
            // After bytes that are not a valid frame, no further frame can be decoded, so the stream counts
            // as ended (`docs/upgrades.md`).
            Event::StreamEnded | Event::InvalidFrame => self.stream_ended = true,
            Event::Frame(Frame::Announce(answer)) => self.announced.push(answer),
            Event::Frame(_) | Event::UpgradeRequested | Event::DrainRequested { .. } => {}
        }
        Vec::new()
    }

    /// Ends the abort and returns to serving. The successor is dead, and all its announcements have been
    /// read.
    fn finish_abort(&mut self, now: Nanos) -> Vec<Action> {
        self.phase = Phase::Serving;
        let doublings = self.failures.min(BACKOFF_DOUBLINGS_MAX);
        let backoff = self.limits.backoff.saturating_mul(1 << doublings);
        self.backoff_until = now.saturating_add(backoff.min(self.limits.backoff_max));
        self.failures += 1;
        let announced = std::mem::take(&mut self.announced);
        let mut actions = Vec::new();
        if self.has_released {
            actions.push(Action::Resume(announced));
        }
        actions.extend(self.abort_reason.take().map(Action::ReportFailure));
        if let Some(grace) = self.drain_grace.filter(|_| self.has_released) {
            actions.push(Action::Drain { grace });
        }
        actions
    }
}
