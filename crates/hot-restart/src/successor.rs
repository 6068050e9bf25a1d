//! Successor's side of a hot restart. The successor is the new server process: it checks its configuration,
//! loads the state of the predecessor, and becomes active when the predecessor releases it.

use crate::frames::{AnnouncedAnswer, Frame};
use crate::{Nanos, VERSIONS};

/// Phase of the successor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Waiting for the offer.
    Waiting,
    /// The successor waits for the digest of the predecessor's configuration.
    Preparing,
    /// Checking the configuration.
    Checking,
    /// The successor receives the parts of the predecessor's state.
    Receiving,
    /// Loading the state.
    Loading,
    /// The successor has loaded the state. It waits for the switch, a message with the changes that the
    /// predecessor made after it sent the state.
    Loaded,
    /// The successor has applied all changes and waits for the release, which makes it active.
    Confirmed,
    /// The successor is active, and the predecessor can still resume service. The successor announces each
    /// answer to the predecessor before it sends the answer to the caller.
    Trial,
    /// The successor is active and has reported the end of the trial to the predecessor. Until the
    /// predecessor retires, the successor still announces each answer before it sends the answer.
    TrialOver,
    /// The successor is active, and the predecessor can no longer resume service.
    Independent,
    /// The successor's process must exit at once. The process was never released, so it owns no state and no
    /// connections.
    Exited,
}

/// An input of the successor.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// A frame was received from the predecessor.
    Frame(Frame),
    /// Bytes that are not a valid frame were received from the predecessor.
    InvalidFrame,
    /// The predecessor closed its end of the stream, or its process exited.
    StreamEnded,
    /// The caller has checked the successor's configuration.
    ConfigurationChecked {
        /// Reason why the configuration cannot be used, or `None` if it can be used.
        rejection: Option<String>,
    },
    /// The caller has loaded the state, or the state could not be loaded.
    StateLoaded {
        /// Reason why the state cannot be used, or `None` if it can be used.
        rejection: Option<String>,
    },
}

/// An action that the caller must carry out. Several actions must be carried out in the order in which they
/// are returned.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Send a frame to the predecessor.
    Send(Frame),
    /// Check that the successor's configuration is valid and that its digest equals `digest`. Then report
    /// [`Event::ConfigurationChecked`].
    CheckConfiguration {
        /// Digest of the predecessor's configuration.
        digest: u64,
    },
    /// Store one part of the predecessor's state.
    StorePart {
        /// Index of the part, from 0.
        part: u32,
        /// Content of the part.
        bytes: Vec<u8>,
    },
    /// Load the stored parts of the state without becoming active. Then report [`Event::StateLoaded`].
    LoadState,
    /// Apply the changes that the predecessor made after it sent the state.
    ApplyChanges {
        /// Content of the changes.
        changes: Vec<u8>,
    },
    /// Become active.
    Activate,
    /// Drain this process.
    Drain {
        /// Time from the drain request until the process is stopped, in nanoseconds.
        grace: Nanos,
    },
    /// End the successor's process. The process was never released, so it owns no state and no connections.
    Exit,
}

/// The successor's state machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Successor {
    phase: Phase,
    /// Time limit for each step of the predecessor, in nanoseconds.
    step_timeout: Nanos,
    /// Duration of the trial, in nanoseconds. During the trial, the successor is active and the predecessor
    /// can still resume service.
    trial: Nanos,
    /// Time at which the current phase times out. The value is unused in phases without a timeout.
    deadline: Nanos,
    /// Number of parts into which the predecessor has split its state.
    parts: u32,
    /// Number of parts of the state received so far.
    parts_received: u32,
}

impl Successor {
    /// Creates a successor that waits for the predecessor's offer of an upgrade. `step_timeout` is the time
    /// limit for each step of the predecessor. All times are in nanoseconds.
    pub fn new(step_timeout: Nanos, trial: Nanos, now: Nanos) -> Self {
        Self {
            phase: Phase::Waiting,
            step_timeout,
            trial,
            deadline: now.saturating_add(step_timeout),
            parts: 0,
            parts_received: 0,
        }
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns whether the successor is active. Only an active process may answer and run invocations, call
    /// services, send reports and accept connections.
    pub fn is_active(&self) -> bool {
        matches!(self.phase, Phase::Trial | Phase::TrialOver | Phase::Independent)
    }

    /// Returns the time at which [`Successor::handle_timeout`] must be called, or `None` if the current phase
    /// has no timeout.
    pub fn poll_timeout(&self) -> Option<Nanos> {
        match self.phase {
            Phase::TrialOver | Phase::Independent | Phase::Exited => None,
            _ => Some(self.deadline),
        }
    }

    /// Returns the frame that announces an answer. The caller must send this frame to the predecessor before
    /// it sends the answer. Returns `None` if no announcement is needed: the successor is not active, or the
    /// predecessor can no longer resume service.
    pub fn announce(&self, answer: AnnouncedAnswer) -> Option<Frame> {
        matches!(self.phase, Phase::Trial | Phase::TrialOver).then_some(Frame::Announce(answer))
    }

    /// Enters a phase and sets the time at which the phase times out.
    fn enter(&mut self, phase: Phase, now: Nanos) {
        let timeout = if phase == Phase::Trial { self.trial } else { self.step_timeout };
        self.phase = phase;
        self.deadline = now.saturating_add(timeout);
    }

    /// Abandons the upgrade and sends `reason` to the predecessor.
    fn refuse(&mut self, reason: &str) -> Vec<Action> {
        self.phase = Phase::Exited;
        vec![Action::Send(Frame::Refuse { reason: reason.to_string() }), Action::Exit]
    }

    /// Handles the timeout of the current phase. The trial ends when its duration has passed. In earlier
    /// phases, a timeout means that the predecessor did not complete a step in time, and the upgrade is
    /// refused.
    pub fn handle_timeout(&mut self, now: Nanos) -> Vec<Action> {
        if self.poll_timeout().is_none_or(|deadline| now < deadline) {
            return Vec::new();
        }
        if self.phase == Phase::Trial {
            self.phase = Phase::TrialOver;
            return vec![Action::Send(Frame::TrialOver)];
        }
        self.refuse("the predecessor did not do its step in time")
    }

    /// Handles an event.
    pub fn handle_event(&mut self, now: Nanos, event: Event) -> Vec<Action> {
        match self.phase {
            Phase::Exited => Vec::new(),
            Phase::Trial | Phase::TrialOver | Phase::Independent => self.handle_while_active(event),
            _ => self.handle_before_release(now, event),
        }
    }

    /// Handles an event in a phase before the release, while the successor is not active.
    fn handle_before_release(&mut self, now: Nanos, event: Event) -> Vec<Action> {
        match event {
            // The predecessor has exited or aborted the upgrade. The successor has not been released, so it
            // owns nothing and exits.
            Event::StreamEnded => {
                self.phase = Phase::Exited;
                vec![Action::Exit]
            }
            Event::InvalidFrame => self.refuse("no frame"),
            Event::Frame(frame) => self.handle_frame(now, frame),
            Event::ConfigurationChecked { rejection } if self.phase == Phase::Checking => match rejection {
                None => self.handle_configuration_accepted(now),
                Some(reason) => self.refuse(&reason),
            },
            Event::StateLoaded { rejection } if self.phase == Phase::Loading => match rejection {
                None => {
                    self.enter(Phase::Loaded, now);
                    vec![Action::Send(Frame::Loaded)]
                }
                Some(reason) => self.refuse(&reason),
            },
            Event::ConfigurationChecked { .. } | Event::StateLoaded { .. } => self.refuse_unexpected(),
        }
    }

    /// Refuses the upgrade because of a frame or event that is not expected in the current phase.
    fn refuse_unexpected(&mut self) -> Vec<Action> {
        self.refuse("a frame that is not due")
    }

    /// Handles a frame from the predecessor. If the frame is not expected in the current phase, the successor
    /// refuses the upgrade.
    fn handle_frame(&mut self, now: Nanos, frame: Frame) -> Vec<Action> {
        match (self.phase, frame) {
            (Phase::Waiting, Frame::Offer { versions, .. }) => {
                let common = VERSIONS.iter().rev().find(|version| versions.contains(version)).copied();
                let Some(version) = common else { return self.refuse("no version in common") };
                self.enter(Phase::Preparing, now);
                vec![Action::Send(Frame::Accept { version })]
            }
            (Phase::Preparing, Frame::Prepare { digest, parts }) => {
                self.parts = parts;
                self.enter(Phase::Checking, now);
                vec![Action::CheckConfiguration { digest }]
            }
            (Phase::Receiving, Frame::State { part, bytes }) if part == self.parts_received => {
                self.handle_part(now, part, bytes)
            }
            (Phase::Loaded, Frame::Switch { changes }) => {
                self.enter(Phase::Confirmed, now);
                vec![Action::ApplyChanges { changes }, Action::Send(Frame::Confirmed)]
            }
            (Phase::Confirmed, Frame::Release) => {
                self.enter(Phase::Trial, now);
                vec![Action::Activate]
            }
            _ => self.refuse_unexpected(),
        }
    }

    /// Handles a successful check of the configuration. The successor reports the success to the predecessor
    /// and then waits for the parts of the state. If there are no parts, the state is loaded at once.
    fn handle_configuration_accepted(&mut self, now: Nanos) -> Vec<Action> {
        let mut actions = vec![Action::Send(Frame::Prepared)];
        if self.parts == 0 {
            self.enter(Phase::Loading, now);
            actions.push(Action::LoadState);
        } else {
            self.enter(Phase::Receiving, now);
        }
        actions
    }

    /// Stores a received part of the state. Once all parts are received, the state is loaded.
    fn handle_part(&mut self, now: Nanos, part: u32, bytes: Vec<u8>) -> Vec<Action> {
        self.parts_received += 1;
        let mut actions = vec![Action::StorePart { part, bytes }];
        if self.parts_received == self.parts {
            self.enter(Phase::Loading, now);
            actions.push(Action::LoadState);
        } else {
            self.enter(Phase::Receiving, now);
        }
        actions
    }

    /// Handles an event while the successor is active. No event from the predecessor can make the successor
    /// inactive again.
    fn handle_while_active(&mut self, event: Event) -> Vec<Action> {
        match event {
            Event::Frame(Frame::Drain { grace }) => vec![Action::Drain { grace }],
            Event::StreamEnded | Event::Frame(Frame::Retired) => {
                self.phase = Phase::Independent;
                Vec::new()
            }
            Event::Frame(_)
            | Event::InvalidFrame
            | Event::ConfigurationChecked { .. }
            | Event::StateLoaded { .. } => Vec::new(),
        }
    }
}
