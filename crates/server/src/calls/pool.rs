//! Pool of idle connections to downstream services.

use crate::resources::descriptors::{Descriptor, Descriptors};
use async_io::{Async, Timer};
use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Maximum time that a connection stays idle in the pool: half of the 10 s after which the service closes it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Minimum idle time before a connection is reused. A duplicate of its last reply may still arrive, and would
/// be taken for the reply to the next call.
const REUSE_DELAY: Duration = Duration::from_millis(20);
/// Delay before the next attempt to reserve a descriptor.
pub const DESCRIPTOR_RETRY_AFTER: Duration = Duration::from_millis(2);

/// A connection to a downstream service, with the file descriptor reserved for it.
pub struct PooledConnection {
    /// The connection's socket.
    pub stream: Async<TcpStream>,
    to: SocketAddr,
    _descriptor: Descriptor,
}

struct Idle {
    connection: PooledConnection,
    since: Instant,
}

/// Idle connections that are available for reuse.
#[derive(Default)]
pub struct Pool {
    idle: RefCell<Vec<Idle>>,
}

impl Pool {
    /// Returns the most recently used idle connection to `to` or, once a descriptor is available, a new
    /// connection. With `needs_new_connection` no idle connection is returned; if no descriptor is available,
    /// an idle connection is closed to free one.
    pub async fn connect(
        &self,
        to: SocketAddr,
        needs_new_connection: bool,
        descriptors: &Descriptors,
    ) -> std::io::Result<PooledConnection> {
        loop {
            if !needs_new_connection && let Some(pooled) = self.reuse(to, Instant::now()) {
                return Ok(pooled);
            }
            if let Some(descriptor) = descriptors.reserve_for_call() {
                let stream = Async::<TcpStream>::connect(to).await?;
                return Ok(PooledConnection { stream, to, _descriptor: descriptor });
            }
            if !needs_new_connection || self.idle.borrow_mut().pop().is_none() {
                Timer::after(DESCRIPTOR_RETRY_AFTER).await;
            }
        }
    }

    /// Reserves a descriptor for reading a file, waiting for one if necessary. Idle connections are closed to
    /// free one.
    pub async fn descriptor_for_file(&self, descriptors: &Descriptors) -> Descriptor {
        loop {
            if let Some(descriptor) = descriptors.reserve_for_call() {
                return descriptor;
            }
            self.close_all();
            Timer::after(DESCRIPTOR_RETRY_AFTER).await;
        }
    }

    /// Removes and returns the most recently used connection to `to`, discarding connections that the service
    /// has closed or sent unexpected data on. Connections to other services stay in the pool; if a
    /// configuration reload removed their service they are closed when their idle time is over.
    fn reuse(&self, to: SocketAddr, now: Instant) -> Option<PooledConnection> {
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

    /// Returns a connection to the pool for reuse by a later call.
    pub fn return_connection(&self, connection: PooledConnection) {
        self.close_expired();
        self.idle.borrow_mut().push(Idle { connection, since: Instant::now() });
    }

    /// Closes connections whose idle time is over.
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
