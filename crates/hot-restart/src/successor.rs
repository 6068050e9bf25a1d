//! Successor's side of a hot restart: it checks its configuration, loads the state, and becomes active at the
//! release.

use crate::frames::{AnnouncedAnswer, Frame};
use crate::{Nanos, VERSIONS};

/// Phase of the successor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Waiting for the offer.
    Waiting,
    /// Waiting for the digest of the configuration.
    Preparing,
    /// Checking the configuration.
    Checking,
    /// Receiving the parts of the state.
    Receiving,
    /// Loading the state.
    Loading,
    /// The state is loaded; waiting for the switch.
    Loaded,
    /// All changes are applied; waiting for the release.
    Confirmed,
    /// Active. Each answer is announced before it is sent.
    Trial,
    /// Active. The end of the trial has been reported to the predecessor. Each answer is still announced
    /// before it is sent.
    TrialOver,
    /// Active. The predecessor can no longer resume.
    Independent,
    /// The successor's process must exit at once. It owns no state and no connections.
    Exited,
}

/// An input of the successor.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// A frame was received from the predecessor.
    Frame(Frame),
    /// Bytes that are not a valid frame were received from the predecessor.
    InvalidFrame,
    /// The predecessor's end of the stream was closed.
    StreamEnded,
    /// The configuration has been checked.
    ConfigurationChecked {
        /// Reason why the configuration cannot be used; `None` if it can be used.
        rejection: Option<String>,
    },
    /// The state has been loaded, or loading it failed.
    StateLoaded {
        /// Reason why the state cannot be used; `None` if it can be used.
        rejection: Option<String>,
    },
}

/// An action for the caller. Actions must be carried out in the order returned.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Send a frame to the predecessor.
    Send(Frame),
    /// Check that the successor's configuration is valid and that its digest equals `digest`, and report
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
    /// Load the parts of the state without becoming active, and report [`Event::StateLoaded`].
    LoadState,
    /// Apply the changes since the state was sent.
    ApplyChanges {
        /// Content of the changes.
        changes: Vec<u8>,
    },
    /// Become active.
    Activate,
    /// Drain this process.
    Drain {
        /// Time until the process is stopped, in nanoseconds.
        grace: Nanos,
    },
    /// Exit. The predecessor still owns all state and connections.
    Exit,
}

/// The successor's state machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Successor {
    phase: Phase,
    /// Time limit of each step, in nanoseconds.
    step_timeout: Nanos,
    /// Duration of the trial, in nanoseconds.
    trial: Nanos,
    /// Time at which the current phase times out, if it has a timeout.
    deadline: Nanos,
    /// Number of parts of the state, as announced by the predecessor.
    parts: u32,
    /// Number of parts received so far.
    parts_received: u32,
}

impl Successor {
    /// Creates a successor that waits for the offer. All times are in nanoseconds.
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

    /// Whether the successor may answer, run, call, report and accept.
    pub fn is_active(&self) -> bool {
        matches!(self.phase, Phase::Trial | Phase::TrialOver | Phase::Independent)
    }

    /// Returns the time at which [`Successor::handle_timeout`] must be called, if the current phase has a
    /// timeout.
    pub fn poll_timeout(&self) -> Option<Nanos> {
        match self.phase {
            Phase::TrialOver | Phase::Independent | Phase::Exited => None,
            _ => Some(self.deadline),
        }
    }

    /// Returns the frame that announces an answer and must be sent to the predecessor before the answer is
    /// sent to the caller. Returns `None` outside the trial, where answers need no announcement.
    pub fn announce(&self, answer: AnnouncedAnswer) -> Option<Frame> {
        matches!(self.phase, Phase::Trial | Phase::TrialOver).then_some(Frame::Announce(answer))
    }

    /// Enters a phase and sets its timeout.
    fn enter(&mut self, phase: Phase, now: Nanos) {
        let timeout = if phase == Phase::Trial { self.trial } else { self.step_timeout };
        self.phase = phase;
        self.deadline = now.saturating_add(timeout);
    }

    /// Abandons the upgrade with a reason for the predecessor.
    fn refuse(&mut self, reason: &str) -> Vec<Action> {
        self.phase = Phase::Exited;
        vec![Action::Send(Frame::Refuse { reason: reason.to_string() }), Action::Exit]
    }

    /// Ends the trial once its duration has passed. In earlier phases, refuses the upgrade if the predecessor
    /// has not completed its current step in time.
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

    /// Handles an event in the phases before the release.
    fn handle_before_release(&mut self, now: Nanos, event: Event) -> Vec<Action> {
        match event {
            // The predecessor has exited or aborted; it has handed nothing over.
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

    /// Refuses the upgrade because a frame or event is not expected in the current phase.
    fn refuse_unexpected(&mut self) -> Vec<Action> {
        self.refuse("a frame that is not due")
    }

    /// Handles a frame from the predecessor. A frame that is not expected in the current phase makes the
    /// successor refuse the upgrade.
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

    /// Confirms the configuration, and waits for the parts of the state, if there are any.
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

    /// Stores a part, and loads the state once all parts are received.
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

    /// Handles an event while the successor is active. The successor stays active whatever the predecessor
    /// does.
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
