//! Accepts connections until the server has drained.

use crate::connection::task;
use crate::lifecycle::drain;
use crate::server::Server;
use async_io::{Async, Timer};
use futures_lite::future;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use tracing::warn;

/// Pause before the next attempt after a failure to accept.
const RETRY_AFTER: Duration = Duration::from_millis(10);

/// What became of the connections that waited in the kernel's queue.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Backlog {
    /// None waited.
    Empty,
    /// All that waited are accepted.
    Accepted,
    /// There are too few descriptors to accept all.
    Waiting,
}

/// Ends with the listener closed, once the drain is over or the stop is near. Until then connections are
/// still accepted: callers notice late that a server leaves, and an answer here costs them less than a
/// refused connection.
pub async fn accept(server: Rc<Server>, listener: Async<TcpListener>) {
    let mut exhausted = false;
    loop {
        if drain::is_over(&server) && accept_backlog(&server, &listener) != Backlog::Accepted {
            return;
        }
        if !server.drain.accepts_connections() && accept_backlog(&server, &listener) != Backlog::Waiting {
            return;
        }
        let Some(descriptor) = server.descriptors.for_connection() else {
            free_descriptor(&server, &mut exhausted).await;
            continue;
        };
        match next_stream(&server, &listener).await {
            None => {}
            Some(Ok(stream)) => {
                exhausted &= server.descriptors.mostly_taken();
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

/// The next connection; `None` where it is time to look whether the drain is over.
async fn next_stream(
    server: &Server,
    listener: &Async<TcpListener>,
) -> Option<std::io::Result<Async<TcpStream>>> {
    let look = async {
        drain::wait_for_next_check(server).await;
        None
    };
    let accepted = async { Some(listener.accept().await.map(|(stream, _)| stream)) };
    future::or(look, accepted).await
}

/// Accepts what waits in the kernel's queue, as far as there are descriptors, before the listener closes: a
/// close would reset these connections together with calls on them that nobody has read. Where nothing waits
/// any more the listener closes with no step of another task between.
fn accept_backlog(server: &Rc<Server>, listener: &Async<TcpListener>) -> Backlog {
    let mut backlog = Backlog::Empty;
    while let Some(descriptor) = server.descriptors.for_connection() {
        let Ok(stream) = listener.get_ref().accept().and_then(|(stream, _)| Async::new(stream)) else {
            return backlog;
        };
        task::spawn(server, stream, descriptor);
        backlog = Backlog::Accepted;
    }
    Backlog::Waiting
}

/// Out of descriptors: an idle connection is closed; where there is none the pooled downstream connections
/// are, and what the kernel accepted waits.
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
