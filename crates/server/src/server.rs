//! What the tasks share. They reach the overload controller by its queue of inputs only.

use crate::calls::pool::Pool;
use crate::configuration::Configuration;
use crate::connection::table::{Connections, HealthStatus};
use crate::event::Event;
use crate::fleet::shared_state::Shared;
use crate::lifecycle::changes::Changes;
use crate::lifecycle::clock::Clock;
use crate::resources::buffers::BufferBudget;
use crate::resources::counters::Counters;
use crate::resources::descriptors::Descriptors;
use crate::wire::ring::Ring;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::AsyncReadExt;
use meadowstream_overload_control::Nanos;
use std::cell::Cell;
use std::io::{ErrorKind, Result};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// What all tasks of the one thread use.
pub struct Server {
    pub configuration: Configuration,
    pub clock: Clock,
    pub executor: &'static LocalExecutor<'static>,
    pub events: Sender<Event>,
    pub connections: Connections,
    pub health: HealthStatus,
    pub descriptors: Descriptors,
    pub pool: Pool,
    pub counters: Counters,
    /// Memory for the buffers of connections.
    pub buffers: Rc<BufferBudget>,
    /// Says that the interpreter has another address.
    pub interpreter_moved: (Sender<()>, Receiver<()>),
    /// The server leaves, and wants no more calls.
    pub grace_over: Cell<bool>,
    /// When it ends at the latest, where it leaves of its own accord.
    pub stop_at: Cell<Option<Nanos>>,
    /// Closed once the server is to leave.
    pub left: Receiver<()>,
    /// What the servers share, where the options say so.
    pub shared: Option<Shared>,
    /// This server's part in changes by stages, where the options say so.
    pub rollout: Option<crate::fleet::rollout_state::Rollout>,
    /// Changes of settings, one at a time.
    pub changes: Changes,
    /// Longest time that a part of the last change held the module up.
    pub retune_pause: Cell<Duration>,
}

impl Server {
    pub fn leaves(&self) -> bool {
        self.left.is_closed()
    }
}

/// Waits for bytes and puts what fits into the ring, in one piece with what it holds. An error at the end.
pub async fn receive(mut stream: &Async<TcpStream>, ring: &mut Ring) -> Result<()> {
    let mut chunk = [0; 8 * 1024];
    let free = ring.free().min(chunk.len());
    let count = stream.read(&mut chunk[..free]).await?;
    if count == 0 {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    let _ = ring.put(&chunk[..count]);
    ring.straighten();
    Ok(())
}
