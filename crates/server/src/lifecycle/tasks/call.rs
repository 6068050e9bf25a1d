//! One call to the records service. Dropped, it is given up: its connection closes.

use super::{Input, Server, receive};
use crate::wire::{Parsed, http, ring::Ring};
use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt, future};
use meadowstream::{Ending, Nanos};
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

pub struct Call {
    pub inv: u64,
    pub number: u64,
    pub reference: u64,
    pub timeout: Nanos,
    pub body: Vec<u8>,
}

pub async fn make(server: Rc<Server>, to: SocketAddr, call: Call) {
    let begun = server.clock.now();
    let late = async {
        Timer::after(Duration::from_nanos(call.timeout)).await;
        (Ending::Unknown, Vec::new())
    };
    let (ending, reply) = future::or(exchange(&server, to, &call), late).await;
    let took = server.clock.now() - begun;
    let ended = Input::CallEnded { inv: call.inv, number: call.number, ending, reply, took };
    let _ = server.inputs.send(ended).await;
}

async fn exchange(server: &Server, to: SocketAddr, call: &Call) -> (Ending, Vec<u8>) {
    let pooled = match server.pool.take(to, &server.descriptors).await {
        Ok(pooled) => pooled,
        // Only a refusal proves that nothing ran.
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => return (Ending::NeverRan, Vec::new()),
        Err(_) => return (Ending::Unknown, Vec::new()),
    };
    let _ = pooled.stream.get_ref().set_nodelay(true);
    match converse(&pooled.stream, to, call).await {
        Ok((reply, alone)) => {
            if reply.stays && alone {
                server.pool.give_back(pooled);
            }
            (reply.ending, reply.body)
        }
        Err(_) => (Ending::Unknown, Vec::new()),
    }
}

/// The reply, and whether nothing came behind it.
async fn converse(
    mut stream: &Async<TcpStream>,
    to: SocketAddr,
    call: &Call,
) -> std::io::Result<(http::Reply, bool)> {
    stream.write_all(&http::call(&to.to_string(), call.reference, call.timeout, &call.body)).await?;
    let mut ring = Ring::new(http::REPLY_MAX);
    loop {
        receive(stream, &mut ring).await?;
        match http::reply(ring.front()) {
            Parsed::More => {}
            Parsed::Whole(reply, used) => {
                ring.drop_front(used);
                return Ok((reply, ring.is_empty()));
            }
            Parsed::Malformed(why) => return Err(std::io::Error::new(ErrorKind::InvalidData, why)),
        }
    }
}
