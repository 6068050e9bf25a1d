//! The table of open connections, and the notifications that other tasks send to them.

use crate::wire::rpc::Answer;
use async_channel::{Receiver, Sender};
use meadowstream_overload_control::Nanos;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Maximum number of open calls on one connection; further calls stay unread.
pub const OPEN_CALLS_MAX: usize = 32;
/// Idle time, in nanoseconds, after which a connection that has never received a command may be closed to
/// free its descriptor for a new connection.
const UNUSED_TIMEOUT_NS: Nanos = 50_000_000;
/// Idle time, in nanoseconds, after which a connection that has received a command may be closed to free its
/// descriptor for a new connection.
const IDLE_TIMEOUT_NS: Nanos = 500_000_000;

/// Notification from another task to the task of a connection.
pub enum Notification {
    /// A call has its final answer.
    Answer {
        /// The tag of the call.
        tag: u64,
        /// The final answer.
        answer: Answer,
    },
    /// Ask the peer to send no more calls on this connection.
    Drain,
    /// Close the connection to free its descriptor, unless a command has arrived meanwhile.
    CloseIfIdle,
}

/// An open connection, as seen by other tasks.
pub struct Connection {
    /// Number of the connection in the table.
    pub id: u64,
    notifications: Sender<Notification>,
    /// Number of unanswered calls.
    pub open_calls: Cell<usize>,
    /// Time at which bytes were last received, sent or queued.
    pub last_used: Cell<Nanos>,
    has_received: Cell<bool>,
    /// True once the peer was asked, or is about to be asked, to send no more calls.
    pub draining: Cell<bool>,
    /// True if the connection was asked to close and no command has arrived since.
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

    /// Sends a notification to the connection's task. Returns false if the connection has ended. The queue
    /// has space for one answer to each open call.
    pub fn notify(&self, notification: Notification) -> bool {
        self.notifications.try_send(notification).is_ok()
    }

    /// Records that a complete command was received, which cancels a request to close the connection.
    pub fn mark_received(&self) {
        self.has_received.set(true);
        self.closes_if_idle.set(false);
    }

    /// Asks the peer, once, to send no more calls.
    pub fn drain(&self) {
        if !self.draining.replace(true) {
            self.notify(Notification::Drain);
        }
    }

    fn is_idle_since(&self, since: Nanos) -> bool {
        self.open_calls.get() == 0 && self.last_used.get() <= since
    }

    /// Returns whether the connection was idle long enough to be closed in favour of a new one.
    fn may_be_closed(&self, now: Nanos) -> bool {
        let keep_for = if self.has_received.get() { IDLE_TIMEOUT_NS } else { UNUSED_TIMEOUT_NS };
        !self.closes_if_idle.get() && self.open_calls.get() == 0 && self.last_used.get() + keep_for <= now
    }
}

/// Health and load of the server as last set by the controller, reported in answers and health checks.
pub struct HealthStatus {
    /// Answer to health checks: true if healthy.
    pub healthy: Cell<bool>,
    /// Load that each answer advertises; `None` until the controller has set one.
    pub advertised_load: Cell<Option<f64>>,
}

/// All open connections.
#[derive(Default)]
pub struct Connections {
    open: RefCell<BTreeMap<u64, Rc<Connection>>>,
    last_id: Cell<u64>,
}

impl Connections {
    /// Adds a connection. Returns it with the queue from which its task receives notifications.
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

    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Asks all peers to send no more calls.
    pub fn drain_all(&self) {
        for connection in self.open.borrow().values() {
            connection.drain();
        }
    }

    /// Asks the peers of all connections that have been idle since `since` to send no more calls.
    pub fn drain_idle_since(&self, since: Nanos) {
        for connection in self.open.borrow().values() {
            if connection.is_idle_since(since) {
                connection.drain();
            }
        }
    }

    /// Asks one idle connection to close, preferring connections that have never received a command, then the
    /// one idle for longest. Returns false if no connection may be closed yet.
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
