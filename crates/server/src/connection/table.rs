//! The connections that are open, and what all of them are to say.

use crate::wire::rpc::Answer;
use async_channel::{Receiver, Sender};
use meadowstream_overload_control::Nanos;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Calls that may be open on one connection; what comes beyond waits unread.
pub const OPEN_MAX: usize = 32;
/// A connection has this long to bring its first call before it may have to give way, and this long after it
/// was used last. Guards against crowds that only hold connections; a call that crosses the end of its
/// connection comes again on another. Harms where as many honest ones come within that time.
const FRESH: Nanos = 50_000_000;
const USED_LATELY: Nanos = 10 * FRESH;

/// What a connection is told from elsewhere.
pub enum Told {
    Answer(u64, Answer),
    /// No new call is wanted on it.
    Enough,
    /// Its place is needed: it ends unless it has something to do.
    GiveWay,
}

pub struct Connection {
    pub id: u64,
    told: Sender<Told>,
    /// Calls not answered yet.
    pub open: Cell<usize>,
    /// When it last carried something.
    pub used: Cell<Nanos>,
    /// Something whole has come on it.
    spoke: Cell<bool>,
    pub leaving: Cell<bool>,
    /// It was told to, and nothing has come on it since.
    pub gives_way: Cell<bool>,
}

impl Connection {
    /// False where the connection has gone. Its queue has room for all that can be open.
    pub fn tell(&self, told: Told) -> bool {
        self.told.try_send(told).is_ok()
    }

    /// It has spoken, and need not give way.
    pub fn stays(&self) {
        self.spoke.set(true);
        self.gives_way.set(false);
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
        let (told, hears) = async_channel::bounded(OPEN_MAX + 2);
        self.last.set(self.last.get() + 1);
        let connection = Rc::new(Connection {
            id: self.last.get(),
            told,
            open: Cell::new(0),
            used: Cell::new(now),
            spoke: Cell::new(false),
            leaving: Cell::new(false),
            gives_way: Cell::new(false),
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

    /// Of those that have nothing open one that never spoke or else the one unused for longest ends. False
    /// where all may still stay.
    pub fn one_gives_way(&self, now: Nanos) -> bool {
        let open = self.open.borrow();
        let may_stay = |each: &Connection| if each.spoke.get() { USED_LATELY } else { FRESH };
        let idle = open.values().filter(|each| each.open.get() == 0 && !each.gives_way.get());
        let idle = idle.filter(|each| each.used.get() + may_stay(each) <= now);
        let first = idle.min_by_key(|each| (each.spoke.get(), each.used.get()));
        first.is_some_and(|each| {
            each.gives_way.set(true);
            each.tell(Told::GiveWay)
        })
    }

    /// Those that have carried nothing since then are to go.
    pub fn idle_enough(&self, since: Nanos) {
        let open = self.open.borrow();
        let idle = open.values().filter(|each| each.open.get() == 0 && each.used.get() <= since);
        idle.for_each(|each| each.enough());
    }
}
