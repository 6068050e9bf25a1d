//! Accepts connections from balancers, until the drain of the server is over.

use crate::connection::task;
use crate::lifecycle::drain;
use crate::server::Server;
use async_io::{Async, Timer};
use futures_lite::future;
use rustix::io::Errno;
use std::io::{Error, ErrorKind};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use tracing::warn;

/// Delay before the server tries again to accept a connection, after an attempt failed or no file descriptor
/// was available.
const RETRY_AFTER: Duration = Duration::from_millis(10);

/// Result of the attempt to accept all connections that wait in the kernel's queue.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Backlog {
    /// No connection was waiting.
    Empty,
    /// At least one waiting connection was accepted, and now no connection is waiting.
    Accepted,
    /// Connections may still be waiting, because no file descriptor is available or the attempts to accept
    /// failed.
    Waiting,
}

/// Maximum number of successive failed attempts to accept a connection, before the listener is closed, after
/// which the next attempt waits. An attempt may fail while the one after it succeeds, also for a lack of
/// memory.
const ERRORS_MAX: usize = 32;

/// What is done after a failed attempt to accept a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AfterError {
    /// The error concerns a connection that has already ended. The next one can be accepted at once.
    AcceptNext,
    /// The process has no free file descriptor. Idle connections must give way.
    FreeDescriptor,
    /// The machine lacks a resource for the moment.
    Wait,
}

impl AfterError {
    fn of(error: &Error) -> Self {
        match error.raw_os_error().map(Errno::from_raw_os_error) {
            Some(Errno::MFILE) => Self::FreeDescriptor,
            Some(Errno::NFILE | Errno::NOBUFS | Errno::NOMEM) => Self::Wait,
            // Errors of the network that are pending on the new connection, and interruptions by signals.
            _ => Self::AcceptNext,
        }
    }
}

/// Accepts connections until the drain is over or the process is about to stop, then closes the listener.
///
/// During the drain, the server still accepts connections, because some callers learn late that the server is
/// draining. Any answer costs a caller less than a refused connection.
pub async fn accept(server: Rc<Server>, listener: Async<TcpListener>) {
    let mut exhausted = false;
    loop {
        if drain::is_over(&server) && accept_backlog(&server, &listener) == Backlog::Empty {
            return;
        }
        if !server.drain.accepts_connections() {
            if accept_backlog(&server, &listener) != Backlog::Waiting {
                return;
            }
            Timer::after(RETRY_AFTER).await;
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
                match AfterError::of(&error) {
                    AfterError::AcceptNext => future::yield_now().await,
                    AfterError::FreeDescriptor => free_descriptor(&server, &mut exhausted).await,
                    AfterError::Wait => drop(Timer::after(RETRY_AFTER).await),
                }
            }
        }
    }
}

/// Waits for the next connection and accepts it. Returns `None` if the wait ends without a connection. The
/// caller must then check the state of the drain.
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

/// Accepts all connections that wait in the kernel's queue, as long as file descriptors are available.
///
/// Called before the listener is closed. Closing the listener would reset the waiting connections, and
/// their unread calls would be lost. A failed attempt does not show that none is waiting. If no connection
/// is waiting, the caller closes the listener at once, without yielding to another task.
fn accept_backlog(server: &Rc<Server>, listener: &Async<TcpListener>) -> Backlog {
    let mut backlog = Backlog::Empty;
    let mut errors = 0;
    while let Some(descriptor) = server.descriptors.reserve_for_connection() {
        match listener.get_ref().accept().and_then(|(stream, _)| Async::new(stream)) {
            Ok(stream) => {
                task::spawn(server, stream, descriptor);
                (backlog, errors) = (Backlog::Accepted, 0);
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => return backlog,
            Err(error) => {
                server.counters.accepts_failed.add();
                errors += 1;
                if AfterError::of(&error) == AfterError::FreeDescriptor || errors == ERRORS_MAX {
                    return Backlog::Waiting;
                }
            }
        }
    }
    Backlog::Waiting
}

/// Frees a file descriptor for a new connection by closing an idle connection of a balancer. If no balancer's
/// connection may be closed yet, closes all idle connections to downstream services and waits. Meanwhile new
/// connections stay in the kernel's queue.
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
