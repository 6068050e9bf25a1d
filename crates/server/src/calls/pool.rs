//! Pool of idle connections to downstream services.

use crate::resources::descriptors::{Descriptor, Descriptors};
use async_io::{Async, Timer};
use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Maximum time that a connection stays idle in the pool. A downstream service closes a connection after 10 s
/// of idle time, so the pool closes the connection after half of that time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Minimum time for which a connection is idle before another call uses the connection. During this time a
/// duplicate of the previous reply may still arrive. Without the delay, the duplicate would be taken for the
/// reply to the next call.
const REUSE_DELAY: Duration = Duration::from_millis(20);
/// Delay between a failed attempt to reserve a file descriptor and the next attempt.
pub const DESCRIPTOR_RETRY_AFTER: Duration = Duration::from_millis(2);

/// A connection to a downstream service, together with the file descriptor that is reserved for the
/// connection.
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
    /// Returns a connection to the downstream service at `to`. Prefers the idle connection that was used most
    /// recently. If no idle connection can be used, opens a new one as soon as a file descriptor is
    /// available.
    ///
    /// If `needs_new_connection` is true, the connection is always new. If no file descriptor is available
    /// for the new connection, an idle connection is closed to free a descriptor.
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

    /// Reserves a file descriptor for reading a file. While no descriptor is available, closes all idle
    /// connections in the pool and waits.
    pub async fn descriptor_for_file(&self, descriptors: &Descriptors) -> Descriptor {
        loop {
            if let Some(descriptor) = descriptors.reserve_for_call() {
                return descriptor;
            }
            self.close_all();
            Timer::after(DESCRIPTOR_RETRY_AFTER).await;
        }
    }

    /// Takes the most recently used idle connection to the address `to` out of the pool. Discards a
    /// connection that the downstream service has closed, or on which the service has sent unexpected data.
    ///
    /// Connections to other addresses stay in the pool. If a call returns a connection after a configuration
    /// reload has replaced the address, this connection is closed when its idle time is over.
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

    /// Puts a connection into the pool, so that a later call can use the connection.
    pub fn return_connection(&self, connection: PooledConnection) {
        self.close_expired();
        self.idle.borrow_mut().push(Idle { connection, since: Instant::now() });
    }

    /// Closes the pooled connections that have reached the maximum idle time.
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
