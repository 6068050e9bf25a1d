//! One call to the records service. Dropped, it is given up: its connection closes.

use crate::event::Event;
use crate::server::Server;
use crate::server::receive;
use crate::wire::Parsed;
use crate::wire::http;
use crate::wire::ring::Ring;
use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt, future};
use meadowstream_overload_control::{Nanos, Outcome};
use std::cell::Cell;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

pub struct Call {
    pub invocation: u64,
    pub number: u64,
    pub reference: u64,
    pub timeout: Nanos,
    pub body: Vec<u8>,
    /// It must not be lost on a connection that the other side is just closing: it gets one of its own.
    pub fresh: bool,
}

pub async fn make(server: Rc<Server>, to: SocketAddr, call: Call) {
    let begun = server.clock.now();
    // Until the first byte is written it is known that nothing ran, whatever goes wrong.
    let written = Cell::new(false);
    let failed = || (if written.get() { Outcome::Unknown } else { Outcome::NeverRan }, Vec::new());
    let late = async {
        Timer::after(Duration::from_nanos(call.timeout)).await;
        failed()
    };
    let exchanged = async { exchange(&server, to, &call, &written).await.unwrap_or_else(|_| failed()) };
    let (outcome, reply) = future::or(exchanged, late).await;
    let took = server.clock.now() - begun;
    let ended = Event::CallEnded { invocation: call.invocation, number: call.number, outcome, reply, took };
    let _ = server.events.send(ended).await;
}

async fn exchange(
    server: &Server,
    to: SocketAddr,
    call: &Call,
    written: &Cell<bool>,
) -> std::io::Result<(Outcome, Vec<u8>)> {
    let pooled = server.pool.take(to, call.fresh, &server.descriptors).await?;
    let _ = pooled.stream.get_ref().set_nodelay(true);
    let (reply, alone) = converse(&pooled.stream, to, call, written).await?;
    if reply.stays && alone {
        server.pool.give_back(pooled);
    }
    Ok((reply.outcome, reply.body))
}

/// The reply, and whether nothing came behind it.
async fn converse(
    mut stream: &Async<TcpStream>,
    to: SocketAddr,
    call: &Call,
    written: &Cell<bool>,
) -> std::io::Result<(http::Reply, bool)> {
    let request = http::call(&to.to_string(), call.reference, call.timeout, &call.body);
    let mut rest = request.as_slice();
    while !rest.is_empty() {
        let count = stream.write(rest).await?;
        written.set(true);
        rest = &rest[count..];
    }
    let mut ring = Ring::new(http::REPLY_MAX);
    loop {
        receive(stream, &mut ring).await?;
        match http::reply(ring.front()) {
            Parsed::Incomplete => {}
            Parsed::Complete(reply, used) => {
                ring.drop_front(used);
                return Ok((reply, ring.is_empty()));
            }
            Parsed::Malformed(error) => {
                return Err(std::io::Error::new(ErrorKind::InvalidData, error));
            }
        }
    }
}
