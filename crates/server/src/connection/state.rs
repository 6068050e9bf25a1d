//! The state of a balancer's connection, without socket or clock.
//!
//! Bytes received go in by [`ConnectionState::handle_bytes`], and what they mean comes out of
//! [`ConnectionState::poll_event`]. Answers go in by [`ConnectionState::queue_answer`], and the bytes to send
//! come out of [`ConnectionState::poll_transmit`]. The caller passes the time and waits for
//! [`ConnectionState::poll_timeout`].

use crate::connection::request::RequestError;
use crate::connection::table::{Connection, OPEN_CALLS_MAX};
use crate::event::Request;
use crate::resources::buffers::BufferReservation;
use crate::wire::ring::Ring;
use crate::wire::{ParseError, Parsed, resp, rpc};
use meadowstream_overload_control::Nanos;
use std::rc::Rc;

/// Longest answer: its body, and the other words.
const ANSWER_MAX_BYTES: usize = resp::WORD_MAX + 256;
/// An answer to each open call, and the request for no new call.
const OUTGOING_MAX_BYTES: usize = (OPEN_CALLS_MAX + 1) * ANSWER_MAX_BYTES;
/// The first command, and each one begun, is complete within this part of the shortest client timeout.
const COMMAND_TIMEOUT_DIVISOR: u64 = 2;

/// What the deployment sets for all connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionSettings {
    /// A peer that has read nothing for so long is given up.
    pub longest_client_timeout: Nanos,
    /// Half of it is the time for a command to become complete.
    pub shortest_client_timeout: Nanos,
    /// A draining connection without open calls is closed after this time without use.
    pub linger: Nanos,
    /// Callers may cancel calls.
    pub cancellation: bool,
}

/// What has come on the connection.
pub enum ReceivedEvent {
    /// A call, whose tag is open from now on.
    Request(Box<Request>),
    /// A health check, to be answered under its tag.
    HealthCheck {
        /// Its tag.
        tag: u64,
    },
    /// The caller has given up on a call.
    Cancelled {
        /// The tag of the call.
        tag: u64,
        /// Whether the call was open. Its answer may have crossed the cancellation.
        was_open: bool,
    },
    /// A command that cannot be carried out.
    Invalid {
        /// The tag to answer with a failure; `None` where there is none, or an open call has it.
        answer_to: Option<u64>,
        /// What is wrong with it.
        error: InvalidCommand,
    },
    /// What comes is not RESP: nothing more is read.
    Malformed(ParseError),
}

/// Why a command cannot be carried out.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum InvalidCommand {
    /// The tag of a call or health check is that of an open call.
    #[error("a tag that is open: {0}")]
    TagInUse(u64),
    /// The settings say that callers do not cancel.
    #[error("cancelling is not in use here")]
    CancellationUnused,
    /// Its words make no command.
    #[error(transparent)]
    Command(#[from] rpc::CommandError),
    /// The deployment knows no such call.
    #[error(transparent)]
    Request(#[from] RequestError),
}

/// The peer reads too slowly: an answer does not fit among those that wait to be sent.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("no space for {bytes} bytes more, of {OUTGOING_MAX_BYTES} that may wait to be sent")]
pub struct OutgoingFull {
    /// Bytes that were to be queued.
    pub bytes: usize,
}

/// Whether the connection has to end by now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Expiry {
    /// It may stay.
    NotYet,
    /// The peer does not read what is sent.
    PeerNotReading,
    /// The peer has sent no complete command in time, or does not close a draining connection.
    PeerIdle,
}

/// One connection.
pub struct ConnectionState {
    settings: ConnectionSettings,
    connection: Rc<Connection>,
    buffers: BufferReservation,
    incoming: Ring,
    outgoing: Ring,
    open_tags: Vec<u64>,
    /// Nothing more is read: the peer has closed its side, or what it sends is not RESP.
    reading_ended: bool,
    peer_closed: bool,
    /// Since when a command is due that is not complete.
    command_due_since: Option<Nanos>,
}

impl ConnectionState {
    /// A connection that was accepted now.
    pub fn new(
        settings: ConnectionSettings,
        connection: Rc<Connection>,
        buffers: BufferReservation,
        now: Nanos,
    ) -> Self {
        Self {
            settings,
            connection,
            buffers,
            incoming: Ring::new(resp::ARRAY_MAX),
            outgoing: Ring::new(OUTGOING_MAX_BYTES),
            open_tags: Vec::new(),
            reading_ended: false,
            peer_closed: false,
            command_due_since: Some(now),
        }
    }

    /// Bytes that may be received next, whatever else holds them back.
    pub fn receive_capacity(&self) -> usize {
        self.incoming.free()
    }

    /// Whether to wait for bytes.
    pub fn wants_read(&self) -> bool {
        !self.reading_ended && self.accepts_command() && self.receive_capacity() > 0
    }

    /// Whether reading waits until other connections give buffers back.
    pub fn waits_for_buffers(&self) -> bool {
        !self.reading_ended && !self.buffers.budget().has_capacity()
    }

    /// The peer has closed its side.
    pub fn peer_closed(&self) -> bool {
        self.peer_closed
    }

    /// Everything that came is answered, and nothing more will come.
    pub fn is_finished(&self) -> bool {
        let ends = self.reading_ended || self.connection.closes_if_idle.get();
        ends && self.open_tags.is_empty() && self.outgoing.is_empty()
    }

    /// Bytes have been received, at most as many as [`Self::receive_capacity`].
    pub fn handle_bytes(&mut self, now: Nanos, bytes: &[u8]) {
        // The caller reads no more than fits.
        let _ = self.incoming.put(bytes);
        self.incoming.make_contiguous();
        self.connection.last_used.set(now);
    }

    /// The peer has closed its side.
    pub fn handle_end_of_stream(&mut self) {
        self.reading_ended = true;
        self.peer_closed = true;
    }

    /// The next event of what has been received. `decode` makes a request of a call.
    pub fn poll_event(
        &mut self,
        now: Nanos,
        decode: impl FnOnce(&rpc::Call) -> Result<Box<Request>, RequestError>,
    ) -> Option<ReceivedEvent> {
        if self.reading_ended || !self.accepts_command() {
            return None;
        }
        let (event, length) = match resp::array(self.incoming.front()) {
            Parsed::Complete(words, length) => (self.event(rpc::command(&words), decode), length),
            Parsed::Incomplete => {
                if !self.incoming.is_empty() {
                    self.command_due_since.get_or_insert(now);
                }
                return None;
            }
            Parsed::Malformed(error) => {
                self.reading_ended = true;
                return Some(ReceivedEvent::Malformed(error));
            }
        };
        self.incoming.drop_front(length);
        self.command_due_since = None;
        self.connection.mark_received();
        self.apply(&event);
        Some(event)
    }

    fn event(
        &self,
        command: rpc::Command,
        decode: impl FnOnce(&rpc::Call) -> Result<Box<Request>, RequestError>,
    ) -> ReceivedEvent {
        match command {
            rpc::Command::Health { tag } if self.is_open(tag) => {
                self.invalid(tag, InvalidCommand::TagInUse(tag))
            }
            rpc::Command::Health { tag } => ReceivedEvent::HealthCheck { tag },
            rpc::Command::Cancel { tag } if self.settings.cancellation => {
                ReceivedEvent::Cancelled { tag, was_open: self.is_open(tag) }
            }
            rpc::Command::Cancel { tag } => self.invalid(tag, InvalidCommand::CancellationUnused),
            rpc::Command::Invalid { tag: Some(tag), error } => self.invalid(tag, error.into()),
            rpc::Command::Invalid { tag: None, error } => {
                ReceivedEvent::Invalid { answer_to: None, error: error.into() }
            }
            rpc::Command::Call(call) if self.is_open(call.tag) => {
                self.invalid(call.tag, InvalidCommand::TagInUse(call.tag))
            }
            rpc::Command::Call(call) => match decode(&call) {
                Ok(request) => ReceivedEvent::Request(request),
                Err(error) => self.invalid(call.tag, error.into()),
            },
        }
    }

    /// An open call gets its own answer and no other.
    fn invalid(&self, tag: u64, error: InvalidCommand) -> ReceivedEvent {
        ReceivedEvent::Invalid { answer_to: (!self.is_open(tag)).then_some(tag), error }
    }

    fn apply(&mut self, event: &ReceivedEvent) {
        match event {
            ReceivedEvent::Request(request) => {
                self.open_tags.push(request.tag);
                self.update_reservation();
                self.connection.open_calls.set(self.open_tags.len());
            }
            ReceivedEvent::Cancelled { tag, .. } => {
                self.close_call(*tag);
            }
            _ => {}
        }
    }

    fn is_open(&self, tag: u64) -> bool {
        self.open_tags.contains(&tag)
    }

    /// A call gets its final answer. False where it is not open any more, since it was cancelled.
    pub fn close_call(&mut self, tag: u64) -> bool {
        let was_open = self.is_open(tag);
        self.open_tags.retain(|open| *open != tag);
        self.connection.open_calls.set(self.open_tags.len());
        was_open
    }

    /// Queues an answer with the advertised load that is in force.
    pub fn queue_answer(
        &mut self,
        now: Nanos,
        tag: u64,
        answer: &rpc::Answer,
        advertised_load: Option<f64>,
    ) -> Result<(), OutgoingFull> {
        let mut bytes = Vec::new();
        rpc::put_answer(&mut bytes, tag, answer, advertised_load);
        self.queue(now, &bytes)
    }

    /// Queues the request for no new call on this connection.
    pub fn queue_drain(&mut self, now: Nanos) -> Result<(), OutgoingFull> {
        let mut bytes = Vec::new();
        rpc::put_drain(&mut bytes);
        self.queue(now, &bytes)
    }

    fn queue(&mut self, now: Nanos, bytes: &[u8]) -> Result<(), OutgoingFull> {
        self.connection.last_used.set(now);
        let fits = self.outgoing.put(bytes);
        if fits { Ok(()) } else { Err(OutgoingFull { bytes: bytes.len() }) }
    }

    /// Bytes to be sent next; empty where there are none.
    pub fn poll_transmit(&self) -> &[u8] {
        self.outgoing.front()
    }

    /// So many bytes of [`Self::poll_transmit`] were sent.
    pub fn handle_transmitted(&mut self, now: Nanos, count: usize) {
        self.outgoing.drop_front(count);
        self.connection.last_used.set(now);
    }

    /// When the connection has to end, unless something happens before.
    pub fn poll_timeout(&self) -> Option<Nanos> {
        let last_used = self.connection.last_used.get();
        if !self.outgoing.is_empty() {
            return Some(last_used + self.settings.longest_client_timeout);
        }
        if !self.open_tags.is_empty() {
            return None;
        }
        let drained = self.connection.draining.get().then_some(last_used + self.settings.linger);
        let allowed = self.settings.shortest_client_timeout / COMMAND_TIMEOUT_DIVISOR;
        let silent = self.command_due_since.map(|since| since + allowed);
        drained.into_iter().chain(silent).min()
    }

    /// Whether the time of [`Self::poll_timeout`] has come, and why.
    pub fn handle_timeout(&self, now: Nanos) -> Expiry {
        if self.poll_timeout().is_none_or(|end| now < end) {
            return Expiry::NotYet;
        }
        if self.outgoing.is_empty() { Expiry::PeerIdle } else { Expiry::PeerNotReading }
    }

    /// Counts what the buffers hold, and for each open call its body and its answer to come.
    pub fn update_reservation(&mut self) {
        let to_come = self.open_tags.len() * 2 * ANSWER_MAX_BYTES;
        self.buffers.resize(self.incoming.len() + self.outgoing.len() + to_come);
    }

    /// Whether an answer to every open call fits, and one to a further call.
    fn accepts_command(&self) -> bool {
        let open = self.open_tags.len();
        let fits = self.outgoing.free() >= (open + 2) * ANSWER_MAX_BYTES;
        open < OPEN_CALLS_MAX && fits && self.buffers.budget().has_capacity()
    }
}

#[cfg(test)]
mod tests;
