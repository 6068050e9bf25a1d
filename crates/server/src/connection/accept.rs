//! Accepts connections of balancers until the server has drained.

use crate::connection::task;
use crate::lifecycle::drain;
use crate::server::Server;
use async_io::{Async, Timer};
use futures_lite::future;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use tracing::warn;

/// Delay before the next attempt after accepting a connection failed.
const RETRY_AFTER: Duration = Duration::from_millis(10);

/// Result of accepting the connections that wait in the kernel's queue.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Backlog {
    /// No connection was waiting.
    Empty,
    /// All waiting connections were accepted.
    Accepted,
    /// Connections may still be waiting, since there are too few descriptors to accept them all.
    Waiting,
}

/// Accepts connections until the drain is over or the stop is imminent, then closes the listener. New
/// connections are accepted during the drain because callers notice late that a server is leaving, and an
/// answer from this server costs them less than a refused connection.
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

/// Accepts the next connection. Returns `None` when it is time to check again whether the drain is over.
async fn next_stream(
    server: &Server,
    listener: &Async<TcpListener>,
) -> Option<std::io::Result<Async<TcpStream>>> {
    let recheck = async {
        drain::next_look(server).await;
        None
    };
    let accepted = async { Some(listener.accept().await.map(|(stream, _)| stream)) };
    future::or(recheck, accepted).await
}

/// Accepts the connections that wait in the kernel's queue, as far as descriptors are available. Closing the
/// listener would reset these connections, and lose unread calls on them. When the queue is empty the
/// listener is closed without yielding to another task.
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

/// Frees a descriptor by closing an idle connection. If there is none, closes the pooled downstream
/// connections and pauses; connections accepted by the kernel wait meanwhile.
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
