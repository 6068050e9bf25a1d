//! What the tasks share. They reach the overload controller by the queue of events only.

use crate::calls::pool::Pool;
use crate::configuration::Configuration;
use crate::connection::table::{Connections, HealthStatus};
use crate::event::Event;
use crate::fleet::rollout_state::Rollout;
use crate::fleet::shared_state::LocalSharedState;
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

/// What all tasks of the one thread use.
pub struct Server {
    /// What it was told at its start.
    pub configuration: Configuration,
    /// The time.
    pub clock: Clock,
    /// Its start in Unix nanoseconds, which tells it from earlier servers of its name.
    pub incarnation: u64,
    /// Runs the tasks.
    pub executor: &'static LocalExecutor<'static>,
    /// Where events for the event loop go.
    pub events: Sender<Event>,
    /// The connections of balancers.
    pub connections: Connections,
    /// What answers and health checks report.
    pub health: HealthStatus,
    /// The descriptors in use.
    pub descriptors: Descriptors,
    /// Idle connections to the service below.
    pub pool: Pool,
    /// Counts for the log.
    pub counters: Counters,
    /// Memory for the buffers of connections.
    pub buffers: Rc<BufferBudget>,
    /// Notifies the link that the interpreter has another address.
    pub interpreter_moved: (Sender<()>, Receiver<()>),
    /// How far the drain has come.
    pub drain: DrainState,
    /// Closed once the server is to leave.
    pub left: Receiver<()>,
    /// State shared with other servers, where the options say so.
    pub shared: Option<LocalSharedState>,
    /// This server's part in rollouts, where the options say so.
    pub rollout: Option<Rollout>,
    /// Changes of settings, one at a time.
    pub changes: Changes,
    /// Pauses of the serving thread by the last change of settings.
    pub change_pauses: Cell<Pauses>,
}

impl Server {
    /// Whether it was told to leave.
    pub fn leaves(&self) -> bool {
        self.left.is_closed()
    }
}

/// Bytes that are read at once.
const READ_MAX_BYTES: usize = 8 * 1024;

/// Waits for bytes and adds them to the ring, contiguous with what it holds. The end of the stream is an
/// error.
pub async fn receive(mut stream: &Async<TcpStream>, ring: &mut Ring) -> Result<()> {
    let mut chunk = [0; READ_MAX_BYTES];
    let free = ring.free().min(chunk.len());
    let count = stream.read(&mut chunk[..free]).await?;
    if count == 0 {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    let _ = ring.put(&chunk[..count]);
    ring.straighten();
    Ok(())
}
