//! Events that other tasks send to the event loop.

use crate::connection::table::Connection;
use crate::wire::interpreter::Notice;
use async_channel::Sender;
use meadowstream_fair_queueing::SettingsChange;
use meadowstream_overload_control::{Nanos, Outcome, Sender as TenantSender};
use std::rc::Rc;

/// A request for an operation, as parsed from a balancer's connection.
pub struct Request {
    /// Connection on which to send the answer.
    pub connection: Rc<Connection>,
    /// Tag of the call, chosen by the caller and unique among the open calls of its connection.
    pub tag: u64,
    /// Index of the operation in the settings.
    pub operation: usize,
    /// Reference of the invocation, chosen by the caller and the same for all its attempts.
    pub reference: u64,
    /// Time of arrival at this machine, in Unix milliseconds.
    pub arrival_unix_ms: u64,
    /// Memory that the run reserves, in kilobytes.
    pub held_kb: f64,
    /// Index of the tenant in the settings; 0 if they define no tenants.
    pub tenant: usize,
    /// Time that the caller waits from the arrival of the call, if callers state it.
    pub client_timeout: Option<Nanos>,
    /// True if the caller has marked the call as a retry.
    pub marked_retry: bool,
    /// Body of the call, the operation's input.
    pub body: Vec<u8>,
    /// Idempotency key, if the operation is idempotent with a key.
    pub idempotency_key: Option<Vec<u8>>,
    /// Sender of the call, if capacity is shared between tenants.
    pub sender: Option<TenantSender>,
}

/// An event from outside the event loop.
pub enum Event {
    /// A request has arrived.
    Arrived(Box<Request>),
    /// A connection has broken. Its callers no longer wait for answers.
    ConnectionLost {
        /// Number of the connection in the table.
        connection: u64,
    },
    /// A caller has cancelled an invocation.
    Cancelled {
        /// Number of the connection in the table.
        connection: u64,
        /// Tag of the call.
        tag: u64,
    },
    /// A link to the interpreter is established.
    Linked {
        /// True if the interpreter is still warming up.
        cold: bool,
        /// Time since the interpreter started.
        age: Nanos,
        /// True if the interpreter was restarted since the previous link. It then numbers its notices from 1
        /// again.
        restarted: bool,
        /// Queue for commands to the interpreter.
        commands: Sender<Vec<u8>>,
    },
    /// The link to the interpreter is lost.
    LinkLost,
    /// A notice from the interpreter has arrived.
    Notice(Notice),
    /// A downstream call has ended.
    CallEnded {
        /// Id of the invocation that needed the call.
        invocation: u64,
        /// Number of the call.
        number: u64,
        /// Outcome of the call, as far as it is known.
        outcome: Outcome,
        /// Body of the reply; empty if there was no reply.
        reply: Vec<u8>,
        /// Duration of the call, in nanoseconds.
        duration: Nanos,
    },
    /// The fleet's budget has capacity again for calls that the controller has delayed.
    DownstreamCapacity,
    /// Log the tenants with the highest demand.
    LogTenants,
    /// Apply one part of a change of tenant weights and shares.
    ReconfigureFairQueueing(Box<SettingsChange>),
    /// Signal the sender. All events sent before this one have been handled by then.
    Barrier(Sender<()>),
    /// Set the target utilization of the cores.
    SetTargetUtilization(f64),
    /// Drain the server and stop.
    Shutdown,
}
