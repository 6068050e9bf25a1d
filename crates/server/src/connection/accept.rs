//! Takes connections in until the server leaves.

use crate::connection::task as connection;
use crate::lifecycle::drain;
use crate::server::Server;
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
    loop {
        if drain::is_over(&server) && !take_backlog(&server, &listener) {
            return;
        }
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
}

/// Takes in what the kernel accepted, as far as there are places, before the listener closes: a close would
/// reset it, with calls on it that nobody has read. False where there was nothing more: then, with no step of
/// any other task between, the listener closes.
fn take_backlog(server: &Rc<Server>, listener: &Async<TcpListener>) -> bool {
    let mut any = false;
    while let Some(place) = server.descriptors.for_connection()
        && let Ok(stream) = listener.get_ref().accept().and_then(|(stream, _)| Async::new(stream))
    {
        connection::take_in(server, stream, place);
        any = true;
    }
    any
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
