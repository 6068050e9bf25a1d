//! The successor's side: it checks its configuration, loads the state, and is active from the release on.

use crate::frames::{AnnouncedAnswer, Frame};
use crate::{Nanos, VERSIONS};

/// Phase of the successor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Waits for the offer.
    Waiting,
    /// Waits for the digest of the configuration.
    Preparing,
    /// Checks the configuration.
    Checking,
    /// Receives the parts of the state.
    Receiving,
    /// Loads the state.
    Loading,
    /// Waits for the switch.
    Loaded,
    /// Has everything, and waits for the release.
    Confirmed,
    /// Active; each answer is announced before it is given.
    Trial,
    /// The same; the end of the trial has been reported.
    TrialOver,
    /// Active; the predecessor takes nothing back any more.
    Alone,
    /// To exit at once: it owns nothing.
    Exited,
}

/// What the successor is told.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// A frame arrived.
    Frame(Frame),
    /// Bytes arrived that are no frame.
    InvalidFrame,
    /// The predecessor's end of the stream was closed.
    StreamEnded,
    /// The check of the configuration is done.
    ConfigurationChecked {
        /// Why the configuration cannot be used; absent where it can.
        rejection: Option<String>,
    },
    /// The state has been loaded.
    StateLoaded {
        /// Why the state cannot be used; absent where it can.
        rejection: Option<String>,
    },
}

/// What the caller is to carry out, in the order given.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Send a frame.
    Send(Frame),
    /// Check the configuration, and that its digest is this one; report [`Event::ConfigurationChecked`].
    CheckConfiguration {
        /// Digest of the predecessor's configuration.
        digest: u64,
    },
    /// Keep a part of the state.
    KeepPart {
        /// Index of the part, from 0.
        part: u32,
        /// The part.
        bytes: Vec<u8>,
    },
    /// Load the parts of the state without being active; report [`Event::StateLoaded`].
    LoadState,
    /// Apply what has changed since the state was sent.
    ApplyChanges {
        /// The changes.
        changes: Vec<u8>,
    },
    /// Be active from now on.
    Activate,
    /// Drain.
    Drain {
        /// Time until the stop, in nanoseconds.
        grace: Nanos,
    },
    /// Exit; nothing was handed over for good.
    Exit,
}

/// The successor's state machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Successor {
    phase: Phase,
    /// Longest time of each step, in nanoseconds.
    step_timeout: Nanos,
    /// Length of the trial, in nanoseconds.
    trial: Nanos,
    deadline: Nanos,
    /// Parts of the state that were announced, and that have arrived.
    parts: u32,
    parts_received: u32,
}

impl Successor {
    /// A successor that waits for the offer. Times are in nanoseconds.
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

    /// The present phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether the successor may answer, run, call, report and accept.
    pub fn is_active(&self) -> bool {
        matches!(self.phase, Phase::Trial | Phase::TrialOver | Phase::Alone)
    }

    /// When [`Successor::handle_timeout`] is to be called, where the phase has a timeout.
    pub fn poll_timeout(&self) -> Option<Nanos> {
        match self.phase {
            Phase::TrialOver | Phase::Alone | Phase::Exited => None,
            _ => Some(self.deadline),
        }
    }

    /// The frame to send before this answer is given; none once the predecessor takes nothing back.
    pub fn announce(&self, answer: AnnouncedAnswer) -> Option<Frame> {
        matches!(self.phase, Phase::Trial | Phase::TrialOver).then_some(Frame::Announce(answer))
    }

    fn enter(&mut self, phase: Phase, now: Nanos) {
        let timeout = if phase == Phase::Trial { self.trial } else { self.step_timeout };
        self.phase = phase;
        self.deadline = now.saturating_add(timeout);
    }

    fn refuse(&mut self, reason: &str) -> Vec<Action> {
        self.phase = Phase::Exited;
        vec![Action::Send(Frame::Refuse { reason: reason.to_string() }), Action::Exit]
    }

    /// Ends the trial when its time is over, or refuses where the predecessor has not done its step in time.
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
            Phase::Trial | Phase::TrialOver | Phase::Alone => self.handle_while_active(event),
            _ => self.handle_before_release(now, event),
        }
    }

    fn handle_before_release(&mut self, now: Nanos, event: Event) -> Vec<Action> {
        match event {
            // The predecessor is gone, or keeps what it has: nothing was handed over.
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

    fn refuse_unexpected(&mut self) -> Vec<Action> {
        self.refuse("a frame that is not due")
    }

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

    fn handle_part(&mut self, now: Nanos, part: u32, bytes: Vec<u8>) -> Vec<Action> {
        self.parts_received += 1;
        let mut actions = vec![Action::KeepPart { part, bytes }];
        if self.parts_received == self.parts {
            self.enter(Phase::Loading, now);
            actions.push(Action::LoadState);
        } else {
            self.enter(Phase::Receiving, now);
        }
        actions
    }

    /// The successor alone is active: whatever the predecessor does now, it goes on.
    fn handle_while_active(&mut self, event: Event) -> Vec<Action> {
        match event {
            Event::Frame(Frame::Drain { grace }) => vec![Action::Drain { grace }],
            Event::StreamEnded | Event::Frame(Frame::Retired) => {
                self.phase = Phase::Alone;
                Vec::new()
            }
            Event::Frame(_)
            | Event::InvalidFrame
            | Event::ConfigurationChecked { .. }
            | Event::StateLoaded { .. } => Vec::new(),
        }
    }
}
