//! Events that other tasks send to the event loop.

use crate::connection::table::Connection;
use crate::interpreter::commands::CommandSender;
use crate::wire::interpreter::Notice;
use async_channel::Sender;
use meadowstream_fair_queueing::SettingsChange;
use meadowstream_overload_control::{Nanos, Outcome, Sender as TenantSender};
use std::rc::Rc;

/// A request for an operation, created from a call that a balancer has sent.
pub struct Request {
    /// Connection on which the call was received, and on which it is answered.
    pub connection: Rc<Connection>,
    /// Tag of the call, chosen by the caller and unique among the open calls of its connection.
    pub tag: u64,
    /// Index of the requested operation in the deployment's settings.
    pub operation: usize,
    /// Reference of the invocation. The caller chooses the reference, and uses it again in each retry of the
    /// same invocation.
    pub reference: u64,
    /// Unix time, in milliseconds, at which the call arrived at this machine.
    pub arrival_unix_ms: u64,
    /// Memory that a run of the operation reserves, in kilobytes, as stated in the call.
    pub held_kb: f64,
    /// Index of the caller's tenant in the deployment's settings. The index is 0 if the settings define no
    /// tenants, or if the options file configures how tenants are identified.
    pub tenant: usize,
    /// How long the caller waits for the answer, counted from the arrival of the call; `None` if this time is
    /// unknown.
    pub client_timeout: Option<Nanos>,
    /// True if the caller has marked the call as a retry.
    pub marked_retry: bool,
    /// Body of the call, which is the input of the operation.
    pub body: Vec<u8>,
    /// Idempotency key of the call; `None` if the operation uses no key.
    pub idempotency_key: Option<Vec<u8>>,
    /// Tenant and origin of the call, for fair queueing; `None` if fair queueing is disabled.
    pub sender: Option<TenantSender>,
}

/// An event that another task sends to the event loop.
pub enum Event {
    /// A request has arrived.
    Arrived(Box<Request>),
    /// A connection has broken. The callers on this connection no longer wait for answers.
    ConnectionLost {
        /// Id of the broken connection.
        connection: u64,
    },
    /// A caller has cancelled a call.
    Cancelled {
        /// Id of the connection on which the cancelled call was received.
        connection: u64,
        /// Tag of the call.
        tag: u64,
    },
    /// A connection to the interpreter, called a link, is established.
    Linked {
        /// True if the interpreter is still warming up. During the warm-up, the interpreter runs operations
        /// more slowly.
        cold: bool,
        /// Time since the interpreter process started, in nanoseconds.
        age: Nanos,
        /// True if the interpreter was restarted since the previous link. After a restart, the interpreter
        /// numbers its notices from 1 again.
        restarted: bool,
        /// Queue of the commands that are to be sent over the link.
        commands: CommandSender,
    },
    /// The connection to the interpreter is lost.
    LinkLost,
    /// The interpreter could not replay all notices that were not read on earlier links. The ends of runs may
    /// be among the missing notices.
    NoticesMissed,
    /// The interpreter has sent a notice, for example that a run has ended.
    Notice(Notice),
    /// A downstream call has ended.
    CallEnded {
        /// Id of the invocation that waited for the downstream call.
        invocation: u64,
        /// Number of the downstream call.
        number: u64,
        /// Outcome of the downstream call. The outcome is unknown if it is not certain whether the service
        /// ran the call.
        outcome: Outcome,
        /// Body of the downstream service's reply; empty if there was no reply.
        reply: Vec<u8>,
        /// Duration of the downstream call, in nanoseconds.
        duration: Nanos,
    },
    /// Downstream calls are permitted again. Before, the fleet's call budget or the health of the downstream
    /// services did not permit calls. The controller can now make the calls that it has delayed.
    DownstreamCapacity,
    /// Request to write the tenants with the highest demand to the server's log.
    LogTenants,
    /// Request to apply one part of a change to the weights and shares of tenants.
    ReconfigureFairQueueing(Box<SettingsChange>),
    /// Request to send a signal over this channel. The signal means that the event loop has handled all
    /// events that were queued before this request.
    Barrier(Sender<()>),
    /// Request to change the target utilization of the CPU cores to this value, from 0 to 1.
    SetTargetUtilization(f64),
    /// Request to drain the server and then to stop the server process.
    Shutdown,
}
