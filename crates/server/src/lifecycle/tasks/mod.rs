//! The tasks, one a file. They share a [`Server`] and reach the module by its queue of inputs only.

pub mod accept;
pub mod call;
pub mod catalog;
pub mod connection;
pub mod decisions;
pub mod link;

use super::clock::Clock;
use super::configuration::Configuration;
use crate::memory::{connections::*, counters::Counters, descriptors::Descriptors, pool::Pool};
use crate::wire::interpreter::Notice;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use meadowstream::{Ending, Nanos};
use std::rc::Rc;

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
    /// Closed once the server is to leave.
    pub left: Receiver<()>,
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
        body: Vec<u8>,
    },
    /// A connection has broken: nobody waits for what was open on it.
    Broken(u64),
    /// The interpreter has taken a link, on which these commands go out.
    Linked {
        cold: bool,
        age: Nanos,
        commands: Sender<Vec<u8>>,
    },
    LinkLost,
    Noticed(Notice),
    CallEnded {
        inv: u64,
        number: u64,
        ending: Ending,
        reply: Vec<u8>,
        took: Nanos,
    },
    Leave,
}
