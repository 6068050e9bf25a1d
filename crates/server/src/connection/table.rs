//! The table of open connections of balancers, and the notifications that other tasks send to the tasks of
//! these connections.

use crate::wire::rpc::Answer;
use async_channel::{Receiver, Sender};
use meadowstream_overload_control::Nanos;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Maximum number of open calls on one connection. Further calls stay unread until an open call is
/// answered.
pub const OPEN_CALLS_MAX: usize = 32;
/// Idle time, in nanoseconds, after which a connection that has never received a command may be closed to
/// free its file descriptor for a new connection.
const UNUSED_TIMEOUT_NS: Nanos = 50_000_000;
/// Idle time, in nanoseconds, after which a connection that has received a command may be closed to free
/// its file descriptor for a new connection.
const IDLE_TIMEOUT_NS: Nanos = 500_000_000;

/// Notification from another task to the task of a connection.
pub enum Notification {
    /// Send the final answer to a call.
    Answer {
        /// The tag of the call.
        tag: u64,
        /// The final answer.
        answer: Answer,
    },
    /// Ask the peer to send no more calls on this connection.
    Drain,
    /// Close the connection to free its file descriptor, unless a command has arrived in the meantime.
    CloseIfIdle,
}

/// An open connection of a balancer, as seen by tasks other than the connection's own.
pub struct Connection {
    /// Number of the connection in the table.
    pub id: u64,
    notifications: Sender<Notification>,
    /// Number of calls on the connection that are not answered.
    pub open_calls: Cell<usize>,
    /// Time at which bytes were last received on the connection, queued for sending, or sent.
    pub last_used: Cell<Nanos>,
    has_received: Cell<bool>,
    /// True once the peer was asked, or is about to be asked, to send no more calls on the connection.
    pub draining: Cell<bool>,
    /// True if the connection's task was asked to close the connection and no command has arrived since.
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

    /// Sends a notification to the connection's task. Returns false if the notification could not be
    /// queued, for example because the connection has ended. The queue has space for one answer to each
    /// open call.
    pub fn notify(&self, notification: Notification) -> bool {
        self.notifications.try_send(notification).is_ok()
    }

    /// Records that a complete command was received on the connection. This cancels a request to close the
    /// connection if idle.
    pub fn mark_received(&self) {
        self.has_received.set(true);
        self.closes_if_idle.set(false);
    }

    /// Asks the peer to send no more calls on the connection, unless it was asked before.
    pub fn drain(&self) {
        if !self.draining.replace(true) {
            self.notify(Notification::Drain);
        }
    }

    fn is_idle_since(&self, since: Nanos) -> bool {
        self.open_calls.get() == 0 && self.last_used.get() <= since
    }

    /// Returns whether the connection has been idle long enough to be closed for a new connection.
    fn may_be_closed(&self, now: Nanos) -> bool {
        let keep_for = if self.has_received.get() { IDLE_TIMEOUT_NS } else { UNUSED_TIMEOUT_NS };
        !self.closes_if_idle.get() && self.open_calls.get() == 0 && self.last_used.get() + keep_for <= now
    }
}

/// Health and load of the server as last set by the controller. The health is reported in answers to health
/// checks; the load is advertised in answers to calls.
pub struct HealthStatus {
    /// Response to health checks: true if the server is healthy and wants calls.
    pub healthy: Cell<bool>,
    /// Load that each answer advertises; `None` until the controller sets a load.
    pub advertised_load: Cell<Option<f64>>,
}

/// The table of open connections of balancers.
#[derive(Default)]
pub struct Connections {
    open: RefCell<BTreeMap<u64, Rc<Connection>>>,
    last_id: Cell<u64>,
}

impl Connections {
    /// Adds a connection to the table. Returns the connection, and the queue from which its task receives
    /// notifications.
    pub fn open(&self, now: Nanos) -> (Rc<Connection>, Receiver<Notification>) {
        let (sender, notifications) = async_channel::bounded(OPEN_CALLS_MAX + 2);
        self.last_id.set(self.last_id.get() + 1);
        let connection = Rc::new(Connection::new(self.last_id.get(), sender, now));
        self.open.borrow_mut().insert(connection.id, connection.clone());
        (connection, notifications)
    }

    /// Removes a connection that has ended from the table.
    pub fn close(&self, id: u64) {
        self.open.borrow_mut().remove(&id);
    }

    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Asks the peers of all connections to send no more calls on them.
    pub fn drain_all(&self) {
        for connection in self.open.borrow().values() {
            connection.drain();
        }
    }

    /// Asks the peers of all connections that have been idle since `since` to send no more calls on them.
    pub fn drain_idle_since(&self, since: Nanos) {
        for connection in self.open.borrow().values() {
            if connection.is_idle_since(since) {
                connection.drain();
            }
        }
    }

    /// Asks the task of one idle connection to close it. Prefers connections that have never received a
    /// command, and among those the one that has been idle for longest. Returns false if no connection may
    /// be closed yet.
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
