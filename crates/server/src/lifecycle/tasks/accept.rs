//! Takes connections in until the server leaves.

use super::{Server, connection};
use crate::lifecycle::drain;
use crate::memory::descriptors::Place;
use async_io::{Async, Timer};
use futures_lite::future;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;
use tracing::warn;

/// Part of the memory that buffers of connections may fill.
const BUFFERS: u64 = 2;
/// After a failure to accept it is tried again this much later.
const PAUSE: Duration = Duration::from_millis(10);

fn place(server: &Server) -> Option<Place> {
    let buffers = server.configuration.memory_mb * (1 << 20) / BUFFERS;
    let most = (buffers / connection::BUFFERED_MAX as u64).max(1) as usize;
    server.descriptors.for_connection().filter(|_| server.connections.count() < most)
}

/// Ends with the listener closed, once the drain is over. Guards what the kernel accepted: callers hear late
/// that a server leaves, and until then they are answered here rather than refused a connection.
pub async fn accept(server: Rc<Server>, listener: Async<TcpListener>) {
    let mut full = false;
    while !drain::is_over(&server) {
        let Some(place) = place(&server) else {
            if !std::mem::replace(&mut full, true) {
                warn!(open = server.connections.count(), "no room for another connection");
            }
            make_room(&server).await;
            continue;
        };
        full = false;
        let other = async {
            drain::next_look(&server).await;
            None
        };
        match future::or(other, async { Some(listener.accept().await) }).await {
            None => {}
            Some(Ok((stream, _))) => connection::take_in(&server, stream, place),
            Some(Err(error)) => {
                server.counters.accepts_failed.add();
                warn!(%error, "cannot accept");
                make_room(&server).await;
            }
        }
    }
    while let Some(place) = place(&server)
        && let Ok(stream) = listener.get_ref().accept().and_then(|(stream, _)| Async::new(stream))
    {
        connection::take_in(&server, stream, place);
    }
}

/// Out of descriptors or near it: idle connections are asked to go, those for calls are closed.
async fn make_room(server: &Server) {
    server.pool.close_all();
    server.connections.idle_enough(server.clock.now());
    Timer::after(PAUSE).await;
}
