//! Connections to the service below that wait for their next call.

use crate::resources::descriptors::{Descriptor, Descriptors};
use async_io::{Async, Timer};
use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// An idle connection is closed after half of the 10 s after which the other side closes it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// A connection is used again only after this time: a duplicate of its last reply may still come, and the
/// next call would take it for its own.
const REUSE_DELAY: Duration = Duration::from_millis(20);
/// Pause before the next attempt to get a descriptor.
pub const DESCRIPTOR_RETRY_AFTER: Duration = Duration::from_millis(2);

/// A connection with its descriptor.
pub struct Pooled {
    /// Its socket.
    pub stream: Async<TcpStream>,
    to: SocketAddr,
    _descriptor: Descriptor,
}

struct Idle {
    connection: Pooled,
    since: Instant,
}

/// The connections that no call uses.
#[derive(Default)]
pub struct Pool {
    idle: RefCell<Vec<Idle>>,
}

impl Pool {
    /// The connection used last or, once there is a descriptor for it, a new one. With `fresh` it is always a
    /// new one, and an idle one is closed for its descriptor.
    pub async fn connect(
        &self,
        to: SocketAddr,
        needs_new_connection: bool,
        descriptors: &Descriptors,
    ) -> std::io::Result<Pooled> {
        loop {
            if !needs_new_connection && let Some(pooled) = self.reuse(to, Instant::now()) {
                return Ok(pooled);
            }
            if let Some(descriptor) = descriptors.for_call() {
                let stream = Async::<TcpStream>::connect(to).await?;
                return Ok(Pooled { stream, to, _descriptor: descriptor });
            }
            if !needs_new_connection || self.idle.borrow_mut().pop().is_none() {
                Timer::after(DESCRIPTOR_RETRY_AFTER).await;
            }
        }
    }

    /// Waits for a descriptor for a file that is read at once; idle connections are closed for it.
    pub async fn descriptor_for_file(&self, descriptors: &Descriptors) -> Descriptor {
        loop {
            if let Some(descriptor) = descriptors.for_call() {
                return descriptor;
            }
            self.close_all();
            Timer::after(DESCRIPTOR_RETRY_AFTER).await;
        }
    }

    /// The connection used last, unless the other side has closed it or sent something unasked. Those to
    /// other services stay; where a reload has left them without use they are closed as they grow old.
    fn reuse(&self, to: SocketAddr, now: Instant) -> Option<Pooled> {
        self.close_expired();
        let mut idle = self.idle.borrow_mut();
        loop {
            let fits =
                |idle: &Idle| idle.connection.to == to && now.duration_since(idle.since) >= REUSE_DELAY;
            let last = idle.iter().rposition(fits)?;
            let pooled = idle.remove(last).connection;
            let peeked = pooled.stream.get_ref().peek(&mut [0]);
            if peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock) {
                return Some(pooled);
            }
        }
    }

    /// Keeps a connection for the next call.
    pub fn give_back(&self, connection: Pooled) {
        self.close_expired();
        self.idle.borrow_mut().push(Idle { connection, since: Instant::now() });
    }

    /// Closes connections that were idle for long.
    pub fn close_expired(&self) {
        self.idle.borrow_mut().retain(|idle| idle.since.elapsed() < IDLE_TIMEOUT);
    }

    /// Closes all idle connections.
    pub fn close_all(&self) {
        self.idle.borrow_mut().clear();
    }
}

#[cfg(test)]
mod tests;
