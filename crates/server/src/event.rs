//! What the event loop receives from the other tasks.

use crate::connection::table::Connection;
use crate::wire::interpreter::Notice;
use async_channel::Sender;
use meadowstream_fair_queueing::SettingsChange;
use meadowstream_overload_control::{Nanos, Outcome, Sender as TenantSender};
use std::rc::Rc;

/// An invocation as a balancer's connection has read it.
pub struct Request {
    /// Where its answer goes.
    pub connection: Rc<Connection>,
    /// The caller's number for the call, unique among those open on its connection.
    pub tag: u64,
    /// Place of its operation in the settings.
    pub operation: usize,
    /// The caller's number for the invocation over all its attempts.
    pub reference: u64,
    /// When it reached the machine, in Unix milliseconds.
    pub arrival_unix_ms: u64,
    /// Memory that it reserves while it runs, in kilobytes.
    pub held_kb: f64,
    /// Place of its tenant in the settings; 0 where these name no tenants.
    pub tenant: usize,
    /// How long its caller waits from then on, where callers say so.
    pub client_timeout: Option<Nanos>,
    /// Its caller has marked it as a retry.
    pub marked_retry: bool,
    /// What the operation is applied to.
    pub body: Vec<u8>,
    /// The key of an operation that is idempotent with a key.
    pub idempotency_key: Option<Vec<u8>>,
    /// Who sent it, where capacity is shared between tenants.
    pub sender: Option<TenantSender>,
}

/// Something that happened outside the event loop.
pub enum Event {
    /// An invocation has arrived.
    Arrived(Box<Request>),
    /// A connection has broken: none of its callers waits for an answer.
    ConnectionLost {
        /// The connection's number in the table.
        connection: u64,
    },
    /// The caller has given up on one invocation.
    Cancelled {
        /// The connection's number in the table.
        connection: u64,
        /// The tag of the call.
        tag: u64,
    },
    /// The interpreter has accepted a link.
    Linked {
        /// It is still warming up.
        cold: bool,
        /// Time since its start.
        age: Nanos,
        /// It started after the previous link was made: its notices are numbered from 1 again.
        restarted: bool,
        /// Where commands for it go.
        commands: Sender<Vec<u8>>,
    },
    /// The link to the interpreter has ended.
    LinkLost,
    /// The interpreter has sent a notice.
    Notice(Notice),
    /// A downstream call has ended.
    CallEnded {
        /// The invocation that made it.
        invocation: u64,
        /// The number of the call.
        number: u64,
        /// What is known of its effect.
        outcome: Outcome,
        /// The body of the reply; empty without one.
        reply: Vec<u8>,
        /// From its start to its end.
        took: Nanos,
    },
    /// The fleet's budget has capacity again for calls that the controller held back.
    DownstreamCapacity,
    /// The log is to show the tenants with the highest demand.
    LogTenants,
    /// A part of a change of weights and shares.
    ReconfigureFairQueueing(Box<SettingsChange>),
    /// Every event sent before this one has been handled once it is signalled.
    Barrier(Sender<()>),
    /// The utilization of the cores to steer to from now on.
    SetTargetUtilization(f64),
    /// The server is to drain and end.
    Shutdown,
}
