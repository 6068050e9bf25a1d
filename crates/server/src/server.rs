//! State shared by the server's tasks. The overload controller is not part of it; tasks reach it through the
//! queue of events.

use crate::calls::pool::Pool;
use crate::configuration::Configuration;
use crate::connection::table::{Connections, HealthStatus};
use crate::event::Event;
use crate::fleet::rollout_state::Rollout;
use crate::fleet::shared_state::Shared;
use crate::lifecycle::changes::Changes;
use crate::lifecycle::clock::Clock;
use crate::lifecycle::drain_state::DrainState;
use crate::lifecycle::pause::Pauses;
use crate::resources::buffers::BufferBudget;
use crate::resources::counters::Counters;
use crate::resources::descriptors::Descriptors;
use crate::wire::ring::Ring;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::AsyncReadExt;
use std::cell::Cell;
use std::io::{ErrorKind, Result};
use std::net::TcpStream;
use std::rc::Rc;

/// State shared by all tasks, which run on a single thread.
pub struct Server {
    /// Configuration of the server.
    pub configuration: Configuration,
    /// Clock of the server.
    pub clock: Clock,
    /// Start time of the process in Unix nanoseconds, which distinguishes it from earlier processes with the
    /// same name.
    pub incarnation: u64,
    /// Executor of the tasks.
    pub executor: &'static LocalExecutor<'static>,
    /// Queue of events for the event loop.
    pub events: Sender<Event>,
    /// Open connections of balancers.
    pub connections: Connections,
    /// Health and advertised load, which answers and health checks report.
    pub health: HealthStatus,
    /// Limit and use of file descriptors.
    pub descriptors: Descriptors,
    /// Pool of idle connections to downstream services.
    pub pool: Pool,
    /// Counters for the log.
    pub counters: Counters,
    /// Limit and use of memory for the connections' buffers.
    pub buffers: Rc<BufferBudget>,
    /// Channel that notifies the link of a change of the interpreter's address.
    pub interpreter_address_changed: (Sender<()>, Receiver<()>),
    /// Progress of the drain.
    pub drain: DrainState,
    /// Channel that is closed when the server must leave.
    pub leave_signal: Receiver<()>,
    /// State shared with the other servers of the fleet, if the options configure it.
    pub shared: Option<Shared>,
    /// State of rollouts on this server, if the options configure them.
    pub rollout: Option<Rollout>,
    /// Serializes changes of settings, so that only one is applied at a time.
    pub changes: Changes,
    /// Pauses of the serving thread caused by the last change of settings.
    pub change_pauses: Cell<Pauses>,
}

impl Server {
    /// Returns whether the server was told to leave.
    pub fn is_leaving(&self) -> bool {
        self.leave_signal.is_closed()
    }
}

/// Maximum number of bytes per read.
const READ_MAX_BYTES: usize = 8 * 1024;

/// Waits for bytes and appends them to the ring, whose contents are contiguous afterwards. Returns an error
/// at the end of the stream.
pub async fn receive(mut stream: &Async<TcpStream>, ring: &mut Ring) -> Result<()> {
    let mut chunk = [0; READ_MAX_BYTES];
    let free = ring.free().min(chunk.len());
    let count = stream.read(&mut chunk[..free]).await?;
    if count == 0 {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    let _ = ring.put(&chunk[..count]);
    ring.make_contiguous();
    Ok(())
}
