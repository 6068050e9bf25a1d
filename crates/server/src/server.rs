//! What the tasks share. They reach the overload controller by its queue of inputs only.

use crate::calls::pool::Pool;
use crate::connection::table::*;
use crate::fleet::shared_state::Shared;
use crate::lifecycle::clock::Clock;
use crate::lifecycle::configuration::Configuration;
use crate::lifecycle::reload::Changes;
use crate::memory::counters::Counters;
use crate::memory::descriptors::Descriptors;
use crate::wire::interpreter::Notice;
use crate::wire::ring::Ring;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::AsyncReadExt;
use meadowstream_overload_control::{Nanos, Outcome};
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
    pub inputs: Sender<Input>,
    pub connections: Connections,
    pub standing: Standing,
    pub descriptors: Descriptors,
    pub pool: Pool,
    pub counters: Counters,
    /// Bytes that connections hold, or will when what is open on them is answered.
    pub buffered: Cell<usize>,
    /// Says that the interpreter has another address.
    pub moved: (Sender<()>, Receiver<()>),
    /// The server leaves, and wants no more calls.
    pub grace_over: Cell<bool>,
    /// When it ends at the latest, where it leaves of its own accord.
    pub stop_at: Cell<Option<Nanos>>,
    /// Closed once the server is to leave.
    pub left: Receiver<()>,
    /// What the servers share, where the options say so.
    pub shared: Option<Shared>,
    /// This server's part in changes by stages, where the options say so.
    pub rollout: Option<crate::fleet::rollout::Rollout>,
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
    let room = ring.room().min(chunk.len());
    let count = stream.read(&mut chunk[..room]).await?;
    if count == 0 {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    let _ = ring.put(&chunk[..count]);
    ring.straighten();
    Ok(())
}

/// What the owner of the module is told.
pub enum Input {
    Arrived {
        connection: Rc<Connection>,
        tag: u64,
        operation: usize,
        reference: u64,
        since: u64,
        held_kb: f64,
        /// Its place among the tenants of the settings.
        tenant: usize,
        /// How long its caller waited when it reached the machine, where callers say so.
        patience: Option<Nanos>,
        is_marked_retry: bool,
        body: Vec<u8>,
        /// That of a tokened operation.
        token: Option<Vec<u8>>,
        /// Where tenants are told apart.
        sender: Option<meadowstream_overload_control::Sender>,
    },
    /// A connection has broken: nobody waits for what was open on it.
    Broken(u64),
    /// The caller has given up on this one.
    Cancelled {
        connection: u64,
        tag: u64,
    },
    /// The interpreter has taken a link, on which these commands go out.
    Linked {
        cold: bool,
        age: Nanos,
        /// It started after the link before was made: its notices are numbered from 1 again.
        anew: bool,
        commands: Sender<Vec<u8>>,
    },
    LinkLost,
    Noticed(Notice),
    CallEnded {
        inv: u64,
        number: u64,
        ending: Outcome,
        reply: Vec<u8>,
        took: Nanos,
    },
    /// The fleet's budget has room again for calls that the module held back.
    RoomBelow,
    /// The log is to say who asks for most.
    ShowTenants,
    /// A part of a change of weights and shares.
    Retune(Box<meadowstream_fair_queueing::SettingsChange>),
    /// All that was sent before this has been taken in.
    Reached(Sender<()>),
    /// The busy share of the cores to steer to from now on.
    SteerTo(f64),
    Leave,
}
