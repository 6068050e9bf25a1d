//! Call connections that wait for their next call.

use async_io::Async;
use std::cell::RefCell;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Half of the 10 s after which the other side closes: it may be about to close what is older.
const KEPT_FOR: Duration = Duration::from_secs(5);

pub struct Pool {
    idle: RefCell<Vec<(Async<TcpStream>, Instant)>>,
    most: usize,
}

impl Pool {
    pub fn new(most: usize) -> Self {
        Self { idle: RefCell::default(), most }
    }

    /// The one used last, unless the other side has closed it or said something unasked.
    pub fn take(&self) -> Option<Async<TcpStream>> {
        self.close_old();
        loop {
            let (stream, _) = self.idle.borrow_mut().pop()?;
            let quiet = stream.get_ref().peek(&mut [0]);
            if quiet.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock) {
                return Some(stream);
            }
        }
    }

    pub fn give_back(&self, stream: Async<TcpStream>) {
        self.close_old();
        if self.idle.borrow().len() < self.most {
            self.idle.borrow_mut().push((stream, Instant::now()));
        }
    }

    pub fn close_old(&self) {
        self.idle.borrow_mut().retain(|(_, since)| since.elapsed() < KEPT_FOR);
    }
}
