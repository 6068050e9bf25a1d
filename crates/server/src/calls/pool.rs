//! Call connections that wait for their next call.

use crate::resources::descriptors::Descriptors;
use crate::resources::descriptors::Place;
use async_io::{Async, Timer};
use std::cell::RefCell;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Half of the 10 s after which the other side closes: it may be about to close what is older.
const KEPT_FOR: Duration = Duration::from_secs(5);
/// What is less quiet is not used again yet: a second copy of its reply may still come, and the next call
/// would take it for its own.
const QUIET_FOR: Duration = Duration::from_millis(20);
/// Whoever finds no descriptor looks again after this long.
pub const LOOK: Duration = Duration::from_millis(2);

/// A connection and its place among the descriptors.
pub struct Pooled {
    pub stream: Async<TcpStream>,
    to: SocketAddr,
    _place: Place,
}

#[derive(Default)]
pub struct Pool {
    idle: RefCell<Vec<(Pooled, Instant)>>,
}

impl Pool {
    /// The connection used last or, once there is a descriptor for it, a new one: always that where it is to
    /// be `fresh`, for which one that waits makes room.
    pub async fn take(
        &self,
        to: SocketAddr,
        fresh: bool,
        descriptors: &Descriptors,
    ) -> std::io::Result<Pooled> {
        loop {
            if !fresh && let Some(pooled) = self.take_idle(to, Instant::now()) {
                return Ok(pooled);
            }
            if let Some(place) = descriptors.for_call() {
                return Ok(Pooled { stream: Async::<TcpStream>::connect(to).await?, to, _place: place });
            }
            if !fresh || self.idle.borrow_mut().pop().is_none() {
                Timer::after(LOOK).await;
            }
        }
    }

    /// Passes over one that the other side has closed or on which it has said something unasked. Those to
    /// other services stay; what goes nowhere any more after a reload is closed as it ends.
    fn take_idle(&self, to: SocketAddr, now: Instant) -> Option<Pooled> {
        self.close_old();
        loop {
            let mut idle = self.idle.borrow_mut();
            let fits = |(pooled, since): &(Pooled, Instant)| {
                pooled.to == to && now.duration_since(*since) >= QUIET_FOR
            };
            let last = idle.iter().rposition(fits)?;
            let (pooled, _) = idle.remove(last);
            let quiet = pooled.stream.get_ref().peek(&mut [0]);
            if quiet.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock) {
                return Some(pooled);
            }
        }
    }

    pub fn give_back(&self, pooled: Pooled) {
        self.close_old();
        self.idle.borrow_mut().push((pooled, Instant::now()));
    }

    pub fn close_old(&self) {
        self.idle.borrow_mut().retain(|(_, since)| since.elapsed() < KEPT_FOR);
    }

    pub fn close_all(&self) {
        self.idle.borrow_mut().clear();
    }
}

#[cfg(test)]
mod tests;
