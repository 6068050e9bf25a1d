//! Takes connections in until the server leaves.

use super::{Server, connection};
use crate::lifecycle::drain;
use async_io::{Async, Timer};
use futures_lite::future;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;
use tracing::warn;

/// After a failure to accept it is tried again this much later.
const PAUSE: Duration = Duration::from_millis(10);

/// Ends with the listener closed, once the drain is over. Guards what the kernel accepted: callers hear late
/// that a server leaves, and until then they are answered here rather than refused a connection.
pub async fn accept(server: Rc<Server>, listener: Async<TcpListener>) {
    let mut full = false;
    while !drain::is_over(&server) {
        let Some(place) = server.descriptors.for_connection() else {
            make_room(&server, &mut full).await;
            continue;
        };
        let other = async {
            drain::next_look(&server).await;
            None
        };
        match future::or(other, async { Some(listener.accept().await) }).await {
            None => {}
            Some(Ok((stream, _))) => {
                full &= server.descriptors.mostly_taken();
                connection::take_in(&server, stream, place);
            }
            Some(Err(error)) => {
                server.counters.accepts_failed.add();
                warn!(%error, "cannot accept");
                make_room(&server, &mut full).await;
            }
        }
    }
    while let Some(place) = server.descriptors.for_connection()
        && let Ok(stream) = listener.get_ref().accept().and_then(|(stream, _)| Async::new(stream))
    {
        connection::take_in(&server, stream, place);
    }
}

/// Out of descriptors: a connection that is idle ends; where there is none those for calls are closed, and
/// what the kernel accepted waits.
async fn make_room(server: &Server, full: &mut bool) {
    if server.connections.one_gives_way(server.clock.now()) {
        return future::yield_now().await;
    }
    if !std::mem::replace(full, true) {
        warn!(open = server.connections.count(), "no room for another connection");
    }
    server.pool.close_all();
    Timer::after(PAUSE).await;
}
