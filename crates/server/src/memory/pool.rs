//! Call connections: those under way and those that wait for their next call, never more than allowed.

use async_channel::{Receiver, Sender};
use async_io::Async;
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Half of the 10 s after which the other side closes: it may be about to close what is older.
const KEPT_FOR: Duration = Duration::from_secs(5);

/// A connection and its place; both are given back when it is dropped, whoever held it.
pub struct Pooled {
    pub stream: Async<TcpStream>,
    _place: Place,
}

struct Place(Sender<()>);

impl Drop for Place {
    fn drop(&mut self) {
        let _ = self.0.try_send(());
    }
}

pub struct Pool {
    idle: RefCell<Vec<(Pooled, Instant)>>,
    places: (Sender<()>, Receiver<()>),
    /// Calls that wait for a place.
    waiting: Cell<usize>,
}

impl Pool {
    pub fn new(most: usize) -> Self {
        let places = async_channel::bounded(most);
        for _ in 0..most {
            let _ = places.0.try_send(());
        }
        Self { idle: RefCell::default(), places, waiting: Cell::new(0) }
    }

    /// The connection used last or, once there is a place for it, a new one.
    pub async fn take(&self, to: SocketAddr) -> std::io::Result<Pooled> {
        if let Some(pooled) = self.take_idle() {
            return Ok(pooled);
        }
        let waits = Waits::new(&self.waiting);
        let _ = self.places.1.recv().await;
        let place = Place(self.places.0.clone());
        drop(waits);
        Ok(Pooled { stream: Async::<TcpStream>::connect(to).await?, _place: place })
    }

    /// Passes over one that the other side has closed or on which it has said something unasked.
    fn take_idle(&self) -> Option<Pooled> {
        self.close_old();
        loop {
            let (pooled, _) = self.idle.borrow_mut().pop()?;
            let quiet = pooled.stream.get_ref().peek(&mut [0]);
            if quiet.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock) {
                return Some(pooled);
            }
        }
    }

    /// Closed instead where a call waits for its place.
    pub fn give_back(&self, pooled: Pooled) {
        self.close_old();
        if self.waiting.get() == 0 {
            self.idle.borrow_mut().push((pooled, Instant::now()));
        }
    }

    pub fn close_old(&self) {
        self.idle.borrow_mut().retain(|(_, since)| since.elapsed() < KEPT_FOR);
    }
}

/// Counts a waiting call for as long as it waits, also where it is given up meanwhile.
struct Waits<'a>(&'a Cell<usize>);

impl<'a> Waits<'a> {
    fn new(waiting: &'a Cell<usize>) -> Self {
        waiting.set(waiting.get() + 1);
        Self(waiting)
    }
}

impl Drop for Waits<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
