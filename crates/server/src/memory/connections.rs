//! The connections that are open, and what all of them are to say.

use crate::wire::rpc::Answer;
use async_channel::{Receiver, Sender};
use meadowstream::Nanos;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Calls that may be open on one connection; what comes beyond waits unread.
pub const OPEN_MAX: usize = 32;

/// What a connection is told from elsewhere.
pub enum Told {
    Answer(u64, Answer),
    /// No new call is wanted on it.
    Enough,
}

pub struct Connection {
    pub id: u64,
    told: Sender<Told>,
    /// Calls not answered yet.
    pub open: Cell<usize>,
    /// When it last carried something.
    pub used: Cell<Nanos>,
    pub leaving: Cell<bool>,
}

impl Connection {
    /// False where the connection has gone. Its queue has room for all that can be open.
    pub fn tell(&self, told: Told) -> bool {
        self.told.try_send(told).is_ok()
    }

    pub fn enough(&self) {
        if !self.leaving.replace(true) {
            self.tell(Told::Enough);
        }
    }
}

/// What answers and checks say of the server, as last decided.
pub struct Standing {
    pub healthy: Cell<bool>,
    pub advertised: Cell<Option<f64>>,
}

#[derive(Default)]
pub struct Connections {
    open: RefCell<BTreeMap<u64, Rc<Connection>>>,
    last: Cell<u64>,
}

impl Connections {
    pub fn open(&self, now: Nanos) -> (Rc<Connection>, Receiver<Told>) {
        let (told, hears) = async_channel::bounded(OPEN_MAX + 1);
        self.last.set(self.last.get() + 1);
        let connection = Rc::new(Connection {
            id: self.last.get(),
            told,
            open: Cell::new(0),
            used: Cell::new(now),
            leaving: Cell::new(false),
        });
        self.open.borrow_mut().insert(connection.id, connection.clone());
        (connection, hears)
    }

    pub fn close(&self, id: u64) {
        self.open.borrow_mut().remove(&id);
    }

    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    pub fn all_enough(&self) {
        self.open.borrow().values().for_each(|each| each.enough());
    }

    /// Those that have carried nothing since then are to go.
    pub fn idle_enough(&self, since: Nanos) {
        let open = self.open.borrow();
        let idle = open.values().filter(|each| each.open.get() == 0 && each.used.get() <= since);
        idle.for_each(|each| each.enough());
    }
}
