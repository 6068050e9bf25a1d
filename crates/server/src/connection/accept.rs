//! Accepts connections of balancers until the server's drain is over.

use crate::connection::task;
use crate::lifecycle::drain;
use crate::server::Server;
use async_io::{Async, Timer};
use futures_lite::future;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use tracing::warn;

/// Delay before the next attempt to accept a connection, after a failure or without a free descriptor.
const RETRY_AFTER: Duration = Duration::from_millis(10);

/// Result of accepting the connections that wait in the kernel's queue.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Backlog {
    /// No connection was waiting.
    Empty,
    /// All waiting connections were accepted.
    Accepted,
    /// Connections may still be waiting, because too few descriptors are available to accept all of them.
    Waiting,
}

/// Accepts connections until the drain is over or the stop is imminent, then closes the listener. New
/// connections are still accepted during the drain, because callers notice late that a server is leaving,
/// and an answer from this server costs a caller less than a refused connection.
pub async fn accept(server: Rc<Server>, listener: Async<TcpListener>) {
    let mut exhausted = false;
    loop {
        if drain::is_over(&server) && accept_backlog(&server, &listener) != Backlog::Accepted {
            return;
        }
        if !server.drain.accepts_connections() && accept_backlog(&server, &listener) != Backlog::Waiting {
            return;
        }
        let Some(descriptor) = server.descriptors.reserve_for_connection() else {
            free_descriptor(&server, &mut exhausted).await;
            continue;
        };
        match next_stream(&server, &listener).await {
            None => {}
            Some(Ok(stream)) => {
                exhausted &= server.descriptors.connections_exceed_half();
                task::spawn(&server, stream, descriptor);
            }
            Some(Err(error)) => {
                server.counters.accepts_failed.add();
                warn!(%error, "cannot accept");
                free_descriptor(&server, &mut exhausted).await;
            }
        }
    }
}

/// Accepts the next connection. Returns `None` if the drain should be checked again before a connection
/// arrives.
async fn next_stream(
    server: &Server,
    listener: &Async<TcpListener>,
) -> Option<std::io::Result<Async<TcpStream>>> {
    let recheck = async {
        drain::wait_for_next_check(server).await;
        None
    };
    let accepted = async { Some(listener.accept().await.map(|(stream, _)| stream)) };
    future::or(recheck, accepted).await
}

/// Accepts the connections that wait in the kernel's queue while descriptors are available. Called before the
/// listener is closed, since closing it would reset the waiting connections and lose the unread calls on
/// them. If the queue is empty, the caller closes the listener without yielding to another task.
fn accept_backlog(server: &Rc<Server>, listener: &Async<TcpListener>) -> Backlog {
    let mut backlog = Backlog::Empty;
    while let Some(descriptor) = server.descriptors.reserve_for_connection() {
        let Ok(stream) = listener.get_ref().accept().and_then(|(stream, _)| Async::new(stream)) else {
            return backlog;
        };
        task::spawn(server, stream, descriptor);
        backlog = Backlog::Accepted;
    }
    Backlog::Waiting
}

/// Frees a descriptor by closing an idle connection. If no connection may be closed, closes the idle
/// downstream connections and pauses. Meanwhile new connections wait in the kernel's queue.
async fn free_descriptor(server: &Server, exhausted: &mut bool) {
    if server.connections.close_one_idle(server.clock.now()) {
        return future::yield_now().await;
    }
    if !std::mem::replace(exhausted, true) {
        warn!(open = server.connections.count(), "no descriptor for another connection");
    }
    server.pool.close_all();
    Timer::after(RETRY_AFTER).await;
}
