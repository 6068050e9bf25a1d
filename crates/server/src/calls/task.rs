//! The task that makes one call to a downstream service. If the task is dropped, the call is abandoned and
//! the connection of the call is closed.

use crate::event::Event;
use crate::server::Server;
use crate::sockets;
use crate::wire::Parsed;
use crate::wire::http;
use crate::wire::ring::Ring;
use async_io::{Async, Timer};
use futures_lite::future;
use meadowstream_overload_control::{Nanos, Outcome};
use std::cell::Cell;
use std::io::{ErrorKind, Result};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use tracing::debug;

/// A downstream call that the controller has permitted. The function [`make`] sends the request and receives
/// the reply.
pub struct Call {
    /// Id of the invocation that waits for the result of this downstream call.
    pub invocation: u64,
    /// Number of the downstream call, unique in this process.
    pub number: u64,
    /// Reference of the invocation that needs the downstream call. A reference is an id that the caller of
    /// the invocation chose.
    pub reference: u64,
    /// Time at which the controller permitted the downstream call, by the server's clock.
    pub permitted_at: Nanos,
    /// Maximum duration of the downstream call, counted from `permitted_at`. After this time the call is
    /// abandoned.
    pub timeout: Nanos,
    /// Body of the request.
    pub body: Vec<u8>,
    /// True if the downstream call must use a new connection. If false, the call may use an idle connection.
    /// The downstream service may close an idle connection just as the call is sent. The call is then lost.
    pub needs_new_connection: bool,
}

impl Call {
    /// Returns how much time remains from `now` until the downstream call times out. Returns `None` if the
    /// call has already timed out.
    fn time_left(&self, now: Nanos) -> Option<Nanos> {
        let deadline = self.permitted_at.saturating_add(self.timeout);
        deadline.checked_sub(now).filter(|left| *left > 0)
    }

    /// Returns whether bytes of the downstream call may still be sent. The call must not have timed out, and
    /// the shared state of the fleet must still permit the call.
    ///
    /// The caller checks this condition before each write, because the process may have been suspended. After
    /// a suspension, the call may have timed out although the timeout has not been handled yet.
    fn may_be_sent(&self, server: &Server) -> bool {
        let is_in_time = self.time_left(server.clock.now()).is_some();
        is_in_time && server.shared.as_ref().is_none_or(|shared| shared.permit_send(self.number))
    }
}

struct ReceivedReply {
    reply: http::Reply,
    /// True if no bytes were received after the end of the reply. If more bytes were received, the connection
    /// cannot be reused.
    has_no_trailing_bytes: bool,
}

/// Makes a downstream call and sends the outcome to the event loop. The reply is polled before the timeout. A
/// reply that has already arrived is therefore used even if the timeout has passed.
pub async fn make(server: Rc<Server>, to: SocketAddr, call: Call) {
    let started_at = server.clock.now();
    // True once a byte of the request was written. As long as no byte was written, an error proves that the
    // service did not run the call.
    let written = Cell::new(false);
    let failed = || (if written.get() { Outcome::Unknown } else { Outcome::NeverRan }, Vec::new());
    let timeout = async {
        Timer::after(Duration::from_nanos(call.time_left(started_at).unwrap_or(0))).await;
        failed()
    };
    let exchanged = async { exchange(&server, to, &call, &written).await.unwrap_or_else(|_| failed()) };
    let (outcome, reply) = future::or(exchanged, timeout).await;
    let duration = server.clock.now() - started_at;
    let (number, reference) = (call.number, format!("{:016x}", call.reference));
    debug!(number, reference, ?outcome, took_us = duration / 1_000, "call ended");
    let (invocation, number) = (call.invocation, call.number);
    let ended = Event::CallEnded { invocation, number, outcome, reply, duration };
    let _ = server.events.send(ended).await;
}

async fn exchange(
    server: &Server,
    to: SocketAddr,
    call: &Call,
    written: &Cell<bool>,
) -> Result<(Outcome, Vec<u8>)> {
    let pooled = server.pool.connect(to, call.needs_new_connection, &server.descriptors).await?;
    let _ = pooled.stream.get_ref().set_nodelay(true);
    send(server, &pooled.stream, to, call, written).await?;
    let ReceivedReply { reply, has_no_trailing_bytes } = receive_reply(&pooled.stream).await?;
    if reply.is_reusable && has_no_trailing_bytes {
        server.pool.return_connection(pooled);
    }
    Ok((reply.outcome, reply.body))
}

async fn send(
    server: &Server,
    stream: &Async<TcpStream>,
    to: SocketAddr,
    call: &Call,
    written: &Cell<bool>,
) -> Result<()> {
    let time_left = call.time_left(server.clock.now()).unwrap_or(0);
    let request = http::call(&to.to_string(), call.reference, time_left, &call.body);
    let mut rest = request.as_slice();
    while !rest.is_empty() {
        if !call.may_be_sent(server) {
            debug!(number = call.number, "call not sent: permitted too long ago");
            return Err(ErrorKind::TimedOut.into());
        }
        let count = sockets::send(stream, rest).await?;
        if !written.replace(true) {
            debug!(number = call.number, reference = format!("{:016x}", call.reference), "call sent");
        }
        rest = &rest[count..];
    }
    Ok(())
}

async fn receive_reply(stream: &Async<TcpStream>) -> Result<ReceivedReply> {
    let mut ring = Ring::new(http::REPLY_MAX);
    loop {
        sockets::receive(stream, &mut ring).await?;
        match http::reply(ring.front()) {
            Parsed::Incomplete => {}
            Parsed::Complete(reply, length) => {
                ring.drop_front(length);
                return Ok(ReceivedReply { reply, has_no_trailing_bytes: ring.is_empty() });
            }
            Parsed::Malformed(error) => return Err(std::io::Error::new(ErrorKind::InvalidData, error)),
        }
    }
}
