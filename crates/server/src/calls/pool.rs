//! Pool of idle connections to downstream services.

use crate::resources::descriptors::{Descriptor, Descriptors};
use async_io::{Async, Timer};
use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Maximum time that a connection stays idle in the pool. It is half of the 10 s after which the service
/// closes an idle connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Minimum idle time of a connection before it is reused. A duplicate of the last reply on the connection
/// may still arrive in this time, and would be taken for the reply to the next call.
const REUSE_DELAY: Duration = Duration::from_millis(20);
/// Delay before the next attempt to reserve a file descriptor.
pub const DESCRIPTOR_RETRY_AFTER: Duration = Duration::from_millis(2);

/// A connection to a downstream service, and the file descriptor reserved for the connection.
pub struct PooledConnection {
    /// Socket of the connection.
    pub stream: Async<TcpStream>,
    to: SocketAddr,
    _descriptor: Descriptor,
}

struct Idle {
    connection: PooledConnection,
    since: Instant,
}

/// Idle connections to downstream services that are available for reuse.
#[derive(Default)]
pub struct Pool {
    idle: RefCell<Vec<Idle>>,
}

impl Pool {
    /// Returns a connection to the service at `to`: the most recently used idle one or, once a descriptor
    /// is available, a new one. With `needs_new_connection` the returned connection is always new. If no
    /// descriptor is available for it, an idle connection is closed to free one.
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

    /// Reserves a file descriptor for reading a file. Closes all idle connections and waits as long as no
    /// descriptor is available.
    pub async fn descriptor_for_file(&self, descriptors: &Descriptors) -> Descriptor {
        loop {
            if let Some(descriptor) = descriptors.reserve_for_call() {
                return descriptor;
            }
            self.close_all();
            Timer::after(DESCRIPTOR_RETRY_AFTER).await;
        }
    }

    /// Removes from the pool and returns the most recently used connection to `to`. Discards connections to
    /// `to` that the service has closed or on which it has sent unexpected data. Connections to other
    /// addresses stay in the pool. If a configuration reload removed such an address, its connections are
    /// closed when their idle time is over.
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

    /// Closes connections that have been idle for the maximum time.
    pub fn close_expired(&self) {
        self.idle.borrow_mut().retain(|idle| idle.since.elapsed() < IDLE_TIMEOUT);
    }

    /// Closes all idle connections in the pool.
    pub fn close_all(&self) {
        self.idle.borrow_mut().clear();
    }
}

#[cfg(test)]
mod tests;
