//! The protocol state of a balancer's connection, without the socket and the clock.
//!
//! The connection's task reads bytes from the socket and passes them to [`ConnectionState::handle_bytes`].
//! Events parsed from the bytes are returned by [`ConnectionState::poll_event`].
//!
//! The task passes answers to [`ConnectionState::queue_answer`]. Bytes to send are returned by
//! [`ConnectionState::poll_transmit`]. The task passes the current time to each method that needs it, and
//! waits at most until [`ConnectionState::poll_timeout`].

use crate::connection::request::RequestError;
use crate::connection::table::{Connection, OPEN_CALLS_MAX};
use crate::event::Request;
use crate::resources::buffers::BufferReservation;
use crate::wire::ring::Ring;
use crate::wire::{ParseError, Parsed, resp, rpc};
use meadowstream_overload_control::Nanos;
use std::rc::Rc;

/// Maximum length of an encoded answer, in bytes: the body, and at most 256 bytes for the other words of the
/// RESP array.
const ANSWER_MAX_BYTES: usize = resp::WORD_MAX + 256;
/// Capacity of the buffer for outgoing messages, in bytes. The buffer can hold one answer to each open call,
/// and one drain request.
const OUTGOING_MAX_BYTES: usize = (OPEN_CALLS_MAX + 1) * ANSWER_MAX_BYTES;
/// Divisor that turns the shortest client timeout into a time limit. A new connection must deliver its first
/// complete command within this limit. An incomplete command must become complete within the same limit.
const COMMAND_TIMEOUT_DIVISOR: u64 = 2;

/// Settings of the deployment that apply to all connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionSettings {
    /// Longest client timeout of all operations, in nanoseconds. A connection is closed if its peer reads no
    /// bytes for this long.
    pub longest_client_timeout: Nanos,
    /// Shortest client timeout of all operations, in nanoseconds. An incomplete command must become complete
    /// within half of this time.
    pub shortest_client_timeout: Nanos,
    /// Linger time, in nanoseconds. A draining connection without open calls is closed after it has been idle
    /// for the linger time.
    pub linger: Nanos,
    /// True if callers may cancel their calls.
    pub cancellation: bool,
}

/// Event parsed from the bytes that were received on a connection.
pub enum ReceivedEvent {
    /// A call was received. Its tag stays in use until the call is answered or cancelled.
    Request(Box<Request>),
    /// A health check was received. The answer must carry the tag of the health check.
    HealthCheck {
        /// Tag of the health check.
        tag: u64,
    },
    /// The caller has cancelled a call.
    Cancelled {
        /// Tag of the call.
        tag: u64,
        /// True if the cancelled call was still open. False, for example, if the server had answered the call
        /// before the cancellation arrived.
        was_open: bool,
    },
    /// The received command is complete, but cannot be executed.
    Invalid {
        /// Tag for the failure answer to the invalid command. `None` if the command must not be answered: it
        /// has no valid tag, or an open call has the same tag.
        answer_to: Option<u64>,
        /// Reason why the command is invalid.
        error: InvalidCommand,
    },
    /// The received bytes are not valid RESP. The server reads no more bytes from the connection.
    Malformed(ParseError),
}

/// Reason why a command from a balancer cannot be executed.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum InvalidCommand {
    /// The new call or health check has the tag of a call that is still open.
    #[error("tag is already open: {0}")]
    TagInUse(u64),
    /// The command cancels a call, but the settings do not permit cancellations.
    #[error("cancellation is disabled")]
    CancellationUnused,
    /// The words of the RESP array are not a valid command.
    #[error(transparent)]
    Command(#[from] rpc::CommandError),
    /// The call is invalid under the settings of the deployment, for example because its operation is
    /// unknown.
    #[error(transparent)]
    Request(#[from] RequestError),
}

/// Error: a message does not fit into the buffer for outgoing messages, because the peer reads too slowly.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("outgoing buffer is full: {bytes} bytes do not fit, its limit is {OUTGOING_MAX_BYTES} bytes")]
pub struct OutgoingFull {
    /// Length, in bytes, of the message that did not fit into the buffer for outgoing messages.
    pub bytes: usize,
}

/// Result of checking whether the connection has timed out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Expiry {
    /// The connection stays open.
    NotYet,
    /// The connection has timed out because the peer does not read the bytes that are sent to it.
    PeerNotReading,
    /// The connection has timed out for one of two reasons: the peer did not send a complete command in time,
    /// or the peer did not close a draining connection.
    PeerIdle,
}

/// The protocol state of one connection from a balancer.
pub struct ConnectionState {
    settings: ConnectionSettings,
    connection: Rc<Connection>,
    buffers: BufferReservation,
    incoming: Ring,
    outgoing: Ring,
    open_tags: Vec<u64>,
    /// True if the peer has sent malformed data. Nothing that follows it is read or parsed.
    is_malformed: bool,
    /// True if the server reads nothing more because it closes the connection. Commands that were received
    /// before are still parsed.
    is_closing: bool,
    /// True if the peer has closed its sending side. Commands that were received before are still parsed.
    peer_closed: bool,
    /// Start of the time limit within which the peer must send a complete command. Set while the server waits
    /// for the first command of a new connection, or for the rest of an incomplete command. Otherwise `None`.
    command_due_since: Option<Nanos>,
}

impl ConnectionState {
    /// Creates the state of a connection that was accepted at `now`.
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
            is_malformed: false,
            is_closing: false,
            peer_closed: false,
            command_due_since: Some(now),
        }
    }

    /// Returns the number of bytes that still fit into the buffer for received bytes.
    pub fn receive_capacity(&self) -> usize {
        self.incoming.free()
    }

    /// Returns whether the connection's task should read from the socket now.
    pub fn wants_read(&self) -> bool {
        !self.has_reading_ended() && self.accepts_command() && self.receive_capacity() > 0
    }

    /// Returns whether the server reads no more bytes from the connection.
    fn has_reading_ended(&self) -> bool {
        self.is_malformed || self.peer_closed || self.is_closing
    }

    /// Returns whether a complete command was received that is not yet accepted.
    fn has_unparsed_command(&self) -> bool {
        !self.is_malformed && matches!(resp::array(self.incoming.front()), Parsed::Complete(..))
    }

    /// Returns whether reading is paused until other connections release buffer memory.
    pub fn waits_for_buffers(&self) -> bool {
        let may_receive = !self.has_reading_ended() || self.has_unparsed_command();
        may_receive && !self.buffers.budget().has_capacity()
    }

    /// Returns whether the peer has closed its sending side of the connection.
    pub fn peer_closed(&self) -> bool {
        self.peer_closed
    }

    /// Stops reading, because the server closes the connection once all that was received is answered.
    pub fn stop_reading(&mut self) {
        self.is_closing = true;
    }

    /// Returns whether calls are open.
    pub fn has_open_calls(&self) -> bool {
        !self.open_tags.is_empty()
    }

    /// Returns whether the connection can be closed. This requires that no more commands are accepted, every
    /// call is answered, and all answers are sent.
    pub fn is_finished(&self) -> bool {
        let ends = self.has_reading_ended() || self.connection.closes_if_idle.get();
        ends && self.open_tags.is_empty() && self.outgoing.is_empty() && !self.has_unparsed_command()
    }

    /// Adds received bytes to the incoming buffer. The caller must pass at most [`Self::receive_capacity`]
    /// bytes.
    pub fn handle_bytes(&mut self, now: Nanos, bytes: &[u8]) {
        // The bytes always fit, because the connection's task reads at most `receive_capacity` bytes.
        let _ = self.incoming.put(bytes);
        self.incoming.make_contiguous();
        self.connection.last_used.set(now);
    }

    /// Handles the end of the incoming stream: the peer has closed its sending side.
    pub fn handle_end_of_stream(&mut self) {
        self.peer_closed = true;
    }

    /// Returns the next event parsed from the received bytes. Returns `None` if the next command is
    /// incomplete, or if no command is accepted now. The function `decode` converts a call into a request.
    pub fn poll_event(
        &mut self,
        now: Nanos,
        decode: impl FnOnce(&rpc::Call) -> Result<Box<Request>, RequestError>,
    ) -> Option<ReceivedEvent> {
        if self.is_malformed || !self.accepts_command() {
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
                self.is_malformed = true;
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

    /// Creates the event for an invalid command with the tag `tag`. The command is not answered if an open
    /// call has the same tag. If the command were answered, the caller would take the failure for the answer
    /// to the open call.
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

    /// Removes the call with this tag from the open calls, because the call is answered or cancelled. Returns
    /// false if the call was not open.
    pub fn close_call(&mut self, tag: u64) -> bool {
        let was_open = self.is_open(tag);
        self.open_tags.retain(|open| *open != tag);
        self.connection.open_calls.set(self.open_tags.len());
        was_open
    }

    /// Encodes an answer and queues it for sending. The answer reports `advertised_load`, the load of the
    /// server.
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

    /// Queues a drain request for sending. The request asks the peer to send no more calls on this
    /// connection.
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

    /// Returns the bytes to send to the peer next. The result is empty if there is nothing to send.
    pub fn poll_transmit(&self) -> &[u8] {
        self.outgoing.front()
    }

    /// Removes the first `count` bytes from the buffer for outgoing messages. Called after the connection's
    /// task has sent these bytes.
    pub fn handle_transmitted(&mut self, now: Nanos, count: usize) {
        self.outgoing.drop_front(count);
        self.connection.last_used.set(now);
    }

    /// Returns the time at which the connection times out if no bytes are received or sent until this time.
    /// Returns `None` if no timeout applies at present.
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

    /// Returns whether the connection has timed out at the time `now`, and for which reason.
    pub fn handle_timeout(&self, now: Nanos) -> Expiry {
        if self.poll_timeout().is_none_or(|end| now < end) {
            return Expiry::NotYet;
        }
        if self.outgoing.is_empty() { Expiry::PeerIdle } else { Expiry::PeerNotReading }
    }

    /// Updates how much buffer memory the connection reserves. The reservation covers the bytes in the two
    /// buffers of the connection. For each open call, the reservation also covers the body of the call and
    /// the future answer.
    pub fn update_reservation(&mut self) {
        let pending_bytes = self.open_tags.len() * 2 * ANSWER_MAX_BYTES;
        self.buffers.resize(self.incoming.len() + self.outgoing.len() + pending_bytes);
    }

    /// Returns whether the connection accepts another command now. Three conditions must hold:
    /// - Fewer than [`OPEN_CALLS_MAX`] calls are open.
    /// - The outgoing buffer has space for the answers to all open calls and to the new command.
    /// - Buffer memory is available.
    fn accepts_command(&self) -> bool {
        let open = self.open_tags.len();
        let fits = self.outgoing.free() >= (open + 2) * ANSWER_MAX_BYTES;
        open < OPEN_CALLS_MAX && fits && self.buffers.budget().has_capacity()
    }
}

#[cfg(test)]
mod tests;
