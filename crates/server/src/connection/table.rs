//! The table of open connections from balancers. Other tasks use the table to send notifications to the task
//! of a connection.

use crate::wire::rpc::Answer;
use async_channel::{Receiver, Sender};
use meadowstream_overload_control::Nanos;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Maximum number of open calls on one connection. A call is open until it is answered or cancelled. While
/// the maximum is reached, further calls stay unread.
pub const OPEN_CALLS_MAX: usize = 32;
/// Idle time, in nanoseconds, for connections that have never received a command. After this time the server
/// may close the connection if a new connection needs its file descriptor.
const UNUSED_TIMEOUT_NS: Nanos = 50_000_000;
/// Idle time, in nanoseconds, for connections that have received a command. After this time the server may
/// close the connection if a new connection needs its file descriptor.
const IDLE_TIMEOUT_NS: Nanos = 500_000_000;

/// Notification that another task sends to the task of a connection.
pub enum Notification {
    /// Send the final answer of a call to the peer.
    Answer {
        /// The tag of the call.
        tag: u64,
        /// The final answer.
        answer: Answer,
    },
    /// Send the peer a request to send no more calls on this connection.
    Drain,
    /// The process is about to stop: close the connection once nothing is open on it, even if its peer
    /// goes on sending calls.
    Close,
    /// Close the connection to free its file descriptor. The connection's task ignores this notification if a
    /// command has arrived in the meantime.
    CloseIfIdle,
}

/// An open connection from a balancer: the part of its state that other tasks can access.
pub struct Connection {
    /// Id of the connection, unique in the table.
    pub id: u64,
    notifications: Sender<Notification>,
    /// Number of calls on the connection that are not yet answered.
    pub open_calls: Cell<usize>,
    /// Time of the last activity on the connection. Activity means that bytes were received, queued for
    /// sending, or sent.
    pub last_used: Cell<Nanos>,
    has_received: Cell<bool>,
    /// True once a drain request was queued for the connection. A drain request asks the peer to send no more
    /// calls on the connection.
    pub draining: Cell<bool>,
    /// True if the connection is about to be closed to free its file descriptor. Reset if a command arrives
    /// before the connection is closed.
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

    /// Queues a notification for the connection's task. Returns false if the connection has ended.
    ///
    /// The queue has no limit of its own, since an answer that does not fit would be lost. It holds at most
    /// one answer to each call that was open when the task emptied the queue last, and to each call received
    /// since. The task receives no bytes in between, so the received bytes limit these calls. They can be
    /// more than [`OPEN_CALLS_MAX`], because a cancelled call gives its place to the next one at once.
    pub fn notify(&self, notification: Notification) -> bool {
        self.notifications.try_send(notification).is_ok()
    }

    /// Records that a complete command was received on the connection. A connection that was about to be
    /// closed as idle stays open.
    pub fn mark_received(&self) {
        self.has_received.set(true);
        self.closes_if_idle.set(false);
    }

    /// Queues a drain request, which asks the peer to send no more calls on the connection. Does nothing if a
    /// drain request was queued before.
    pub fn drain(&self) {
        if !self.draining.replace(true) {
            self.notify(Notification::Drain);
        }
    }

    fn is_idle_since(&self, since: Nanos) -> bool {
        self.open_calls.get() == 0 && self.last_used.get() <= since
    }

    /// Returns whether the server may close the connection to free its file descriptor for a new connection.
    /// The connection must have been idle long enough, and must not already be about to be closed.
    fn may_be_closed(&self, now: Nanos) -> bool {
        let keep_for = if self.has_received.get() { IDLE_TIMEOUT_NS } else { UNUSED_TIMEOUT_NS };
        !self.closes_if_idle.get() && self.open_calls.get() == 0 && self.last_used.get() + keep_for <= now
    }
}

/// Health and load of the server, as set by the controller. Answers to health checks report the health. All
/// answers advertise the load.
pub struct HealthStatus {
    /// Answer to health checks. True if the server is healthy and callers may send calls to it.
    pub healthy: Cell<bool>,
    /// Load of the server that all answers advertise; `None` until the controller sets a load.
    pub advertised_load: Cell<Option<f64>>,
}

/// The table of open connections from balancers.
#[derive(Default)]
pub struct Connections {
    open: RefCell<BTreeMap<u64, Rc<Connection>>>,
    last_id: Cell<u64>,
}

impl Connections {
    /// Adds a new connection to the table. Returns the connection and the queue of notifications for its
    /// task.
    pub fn open(&self, now: Nanos) -> (Rc<Connection>, Receiver<Notification>) {
        let (sender, notifications) = async_channel::unbounded();
        self.last_id.set(self.last_id.get() + 1);
        let connection = Rc::new(Connection::new(self.last_id.get(), sender, now));
        self.open.borrow_mut().insert(connection.id, connection.clone());
        (connection, notifications)
    }

    /// Removes a connection from the table after the connection has ended.
    pub fn close(&self, id: u64) {
        self.open.borrow_mut().remove(&id);
    }

    /// Returns the number of open connections in the table.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Queues a drain request on each open connection. The request asks the peer to send no more calls on the
    /// connection.
    pub fn drain_all(&self) {
        for connection in self.open.borrow().values() {
            connection.drain();
        }
    }

    /// Asks the task of each connection to close the connection once nothing is open on it.
    pub fn close_all(&self) {
        for connection in self.open.borrow().values() {
            connection.notify(Notification::Close);
        }
    }

    /// Queues a drain request on each connection that has been idle at least since the time `since`. The
    /// request asks the peer to send no more calls on the connection.
    pub fn drain_idle_since(&self, since: Nanos) {
        for connection in self.open.borrow().values() {
            if connection.is_idle_since(since) {
                connection.drain();
            }
        }
    }

    /// Asks the task of one idle connection to close the connection. Prefers connections that have never
    /// received a command. If several connections are equally preferred, chooses the connection with the
    /// longest idle time.
    ///
    /// Returns false if no connection has been idle long enough.
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
