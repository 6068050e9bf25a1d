//! The connections that are open, and the notifications sent to them.

use crate::wire::rpc::Answer;
use async_channel::{Receiver, Sender};
use meadowstream_overload_control::Nanos;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Calls that may be open on one connection; further ones stay unread.
pub const OPEN_CALLS_MAX: usize = 32;
/// A connection that has brought nothing may be closed for another one after this time without use.
const UNUSED_TIMEOUT_NS: Nanos = 50_000_000;
/// The same for one that has brought a command before.
const IDLE_TIMEOUT_NS: Nanos = 500_000_000;

/// What other tasks send to the task of a connection.
pub enum Notification {
    /// The final answer to a call.
    Answer {
        /// The tag of the call.
        tag: u64,
        /// The answer to it.
        answer: Answer,
    },
    /// The peer is to send no new call on it.
    Drain,
    /// Its descriptor is needed: it ends unless something has come on it.
    CloseIfIdle,
}

/// One open connection, as seen by the other tasks.
pub struct Connection {
    /// Its number in the table.
    pub id: u64,
    notifications: Sender<Notification>,
    /// Calls not answered yet.
    pub open_calls: Cell<usize>,
    /// When it last carried something.
    pub last_used: Cell<Nanos>,
    has_received: Cell<bool>,
    /// Its peer was, or is about to be, asked for no new call.
    pub draining: Cell<bool>,
    /// It was asked to close, and no command has come on it since.
    pub closes_if_idle: Cell<bool>,
}

impl Connection {
    fn new(id: u64, notifications: Sender<Notification>, now: Nanos) -> Self {
        Self {
            id,
            notifications,
            open_calls: Cell::new(0),
            last_used: Cell::new(now),
            has_received: Cell::new(false),
            draining: Cell::new(false),
            closes_if_idle: Cell::new(false),
        }
    }

    /// False where the connection has gone. Its queue has space for one answer to each open call.
    pub fn notify(&self, notification: Notification) -> bool {
        self.notifications.try_send(notification).is_ok()
    }

    /// A complete command has come on it, so that it need not close for another one.
    pub fn mark_received(&self) {
        self.has_received.set(true);
        self.closes_if_idle.set(false);
    }

    /// Asks its peer, once, for no new call.
    pub fn drain(&self) {
        if !self.draining.replace(true) {
            self.notify(Notification::Drain);
        }
    }

    fn is_idle_since(&self, since: Nanos) -> bool {
        self.open_calls.get() == 0 && self.last_used.get() <= since
    }

    /// Whether it has been without use for so long that another connection may have its descriptor.
    fn may_be_closed(&self, now: Nanos) -> bool {
        let keep_for = if self.has_received.get() { IDLE_TIMEOUT_NS } else { UNUSED_TIMEOUT_NS };
        !self.closes_if_idle.get() && self.open_calls.get() == 0 && self.last_used.get() + keep_for <= now
    }
}

/// What answers and health checks report of the server, as the controller last decided.
pub struct HealthStatus {
    /// The answer to health checks.
    pub healthy: Cell<bool>,
    /// The load that each answer carries; `None` until the controller has set one.
    pub advertised_load: Cell<Option<f64>>,
}

/// All open connections.
#[derive(Default)]
pub struct Connections {
    open: RefCell<BTreeMap<u64, Rc<Connection>>>,
    last_id: Cell<u64>,
}

impl Connections {
    /// Adds a connection; its task receives the notifications.
    pub fn open(&self, now: Nanos) -> (Rc<Connection>, Receiver<Notification>) {
        let (sender, notifications) = async_channel::bounded(OPEN_CALLS_MAX + 2);
        self.last_id.set(self.last_id.get() + 1);
        let connection = Rc::new(Connection::new(self.last_id.get(), sender, now));
        self.open.borrow_mut().insert(connection.id, connection.clone());
        (connection, notifications)
    }

    /// Removes a connection that has ended.
    pub fn close(&self, id: u64) {
        self.open.borrow_mut().remove(&id);
    }

    /// Connections that are open.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Asks every peer for no new call.
    pub fn drain_all(&self) {
        for connection in self.open.borrow().values() {
            connection.drain();
        }
    }

    /// Asks the peers of connections that are idle since that time for no new call.
    pub fn drain_idle_since(&self, since: Nanos) {
        for connection in self.open.borrow().values() {
            if connection.is_idle_since(since) {
                connection.drain();
            }
        }
    }

    /// Closes one idle connection: one that never brought a command before others, and among equals the one
    /// unused for longest. False where none may be closed yet.
    pub fn close_one_idle(&self, now: Nanos) -> bool {
        let open = self.open.borrow();
        let closable = open.values().filter(|connection| connection.may_be_closed(now));
        let first =
            closable.min_by_key(|connection| (connection.has_received.get(), connection.last_used.get()));
        first.is_some_and(|connection| {
            connection.closes_if_idle.set(true);
            connection.notify(Notification::CloseIfIdle)
        })
    }
}
