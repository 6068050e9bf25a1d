//! The start: one thread, one executor, the tasks.

use crate::calls::pool::Pool;
use crate::configuration::Configuration;
use crate::configuration::fleet::Fleet;
use crate::connection::accept;
use crate::connection::table::{Connections, HealthStatus};
use crate::event::Event;
use crate::event_loop::EventLoop;
use crate::fleet::membership;
use crate::fleet::rollout;
use crate::fleet::rollout_state::{Rollout, RolloutError};
use crate::fleet::shared_state::{Shared, SharedStateError};
use crate::interpreter::link;
use crate::lifecycle::changes::Changes;
use crate::lifecycle::clock::Clock;
use crate::lifecycle::drain_state::DrainState;
use crate::lifecycle::{catalog, drain, reload, signals};
use crate::resources::buffers::BufferBudget;
use crate::resources::counters::Counters;
use crate::resources::descriptors::{Descriptors, TooFewDescriptors};
use crate::server::Server;
use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::Async;
use async_signal::Signals;
use meadowstream_shared_state::ServerId;
use std::cell::Cell;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::rc::Rc;
use tracing::{info, warn};

/// Events that may wait for the event loop; senders of more wait.
const EVENTS_MAX: usize = 1024;
/// Part of the memory limit that the buffers of connections may fill, with the answers that they are owed.
const BUFFERS_PART: usize = 2;

/// Why the server cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// Signals cannot be received.
    #[error(transparent)]
    Signals(std::io::Error),
    /// The address for callers cannot be bound.
    #[error("cannot listen on {address}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why not.
        #[source]
        error: std::io::Error,
    },
    /// The limit of descriptors is too low.
    #[error(transparent)]
    Descriptors(#[from] TooFewDescriptors),
    /// The address for other members cannot be bound.
    #[error("<membership>: cannot bind {address}")]
    BindMembership {
        /// The address.
        address: SocketAddr,
        /// Why not.
        #[source]
        error: std::io::Error,
    },
    /// The shared state cannot be set up.
    #[error("<shared-state>: {0}")]
    SharedState(SharedStateError),
    /// The server cannot take part in rollouts.
    #[error("<rollout>: {0}")]
    Rollout(RolloutError),
}

/// What is opened before any task runs, so that a start that cannot succeed is refused.
struct Opened {
    signals: Signals,
    listener: Async<TcpListener>,
    membership: Option<Async<UdpSocket>>,
}

/// Ends of channels that the tasks receive from.
struct Channels {
    events: Receiver<Event>,
    leave_requests: Receiver<()>,
    /// Its closing notifies all tasks that the server leaves.
    stay: async_channel::Sender<()>,
}

/// Serves until the server has drained.
pub fn serve(configuration: Configuration) -> Result<(), StartError> {
    let executor: &'static LocalExecutor = Box::leak(Box::new(LocalExecutor::new()));
    // A task like the others: what `run` itself is given is polled with each of their steps.
    let all = executor.spawn(run(configuration, executor));
    async_io::block_on(executor.run(all))
}

async fn run(
    configuration: Configuration,
    executor: &'static LocalExecutor<'static>,
) -> Result<(), StartError> {
    let signals = signals::subscribe().map_err(StartError::Signals)?;
    let listener = listen(&configuration)?;
    let descriptors = Descriptors::with_limit(configuration.sockets)?;
    let membership = configuration.membership.as_ref().map(bind_membership).transpose()?;
    let opened = Opened { signals, listener, membership };
    for note in &configuration.notes {
        warn!("{note}");
    }
    let address = opened.listener.get_ref().local_addr();
    let listen = address.map_err(|error| StartError::Listen { address: configuration.listen, error })?;
    info!(name = configuration.name, %listen, "started");
    let (server, channels) = server(configuration, descriptors, executor)?;
    let listener = spawn_tasks(&server, opened, channels);
    accept::accept(server.clone(), listener).await;
    drain::finish(&server).await;
    info!("ended; counters:{}", server.counters);
    Ok(())
}

fn listen(configuration: &Configuration) -> Result<Async<TcpListener>, StartError> {
    let address = configuration.listen;
    let failed = |error| StartError::Listen { address, error };
    let listener = Async::<TcpListener>::bind(address).map_err(failed)?;
    // The queue that the standard library asks for would drop what a burst opens beyond 128 at once.
    let backlog = configuration.sockets.min(i32::MAX as usize) as i32;
    rustix::net::listen(listener.get_ref(), backlog).map_err(|error| failed(error.into()))?;
    Ok(listener)
}

fn bind_membership(fleet: &Fleet) -> Result<Async<UdpSocket>, StartError> {
    membership::bind(fleet).map_err(|error| StartError::BindMembership { address: fleet.bind, error })
}

fn server(
    configuration: Configuration,
    descriptors: Descriptors,
    executor: &'static LocalExecutor<'static>,
) -> Result<(Rc<Server>, Channels), StartError> {
    let clock = Clock::start();
    // The start time in Unix nanoseconds: a restart under the old name has a higher incarnation.
    let incarnation = clock.now();
    let (events, events_received) = async_channel::bounded::<Event>(EVENTS_MAX);
    let (stay, leave_signal) = async_channel::bounded(1);
    let (leave, leave_requests) = async_channel::bounded(1);
    let shared = shared(&configuration, incarnation).map_err(StartError::SharedState)?;
    let rollout = rollout(&configuration, incarnation, leave).map_err(StartError::Rollout)?;
    let buffers = BufferBudget::new((configuration.memory_mb << 20) as usize / BUFFERS_PART);
    let server = Server {
        configuration,
        clock,
        incarnation,
        executor,
        events,
        connections: Connections::default(),
        health: HealthStatus { healthy: Cell::new(true), advertised_load: Cell::new(None) },
        pool: Pool::default(),
        descriptors,
        buffers,
        drain: DrainState::default(),
        interpreter_address_changed: async_channel::bounded(1),
        counters: Counters::default(),
        leave_signal,
        shared,
        rollout,
        changes: Changes::default(),
        change_pauses: Cell::default(),
    };
    Ok((Rc::new(server), Channels { events: events_received, leave_requests, stay }))
}

fn shared(configuration: &Configuration, incarnation: u64) -> Result<Option<Shared>, SharedStateError> {
    let Some(fleet) = &configuration.membership else { return Ok(None) };
    let Some(settings) = &fleet.shared else { return Ok(None) };
    let me = ServerId { name: fleet.name.clone(), incarnation };
    let shared = Shared::new(me, settings, &fleet.tier, configuration.seed ^ incarnation)?;
    if let Some(tenants) = &configuration.options.borrow().tenants {
        shared.name_tenants(reload::names_of(tenants));
    }
    Ok(Some(shared))
}

fn rollout(
    configuration: &Configuration,
    incarnation: u64,
    leave: async_channel::Sender<()>,
) -> Result<Option<Rollout>, RolloutError> {
    let Some(candidate) = configuration.candidate.borrow().clone() else { return Ok(None) };
    let options = configuration.options.borrow();
    let Some(given) = &options.rollout else { return Ok(None) };
    let name = configuration.membership.as_ref().map_or(String::new(), |fleet| fleet.name.clone());
    let me = ServerId { name, incarnation };
    let operations = &configuration.settings.operation_names;
    Rollout::new(candidate, me, given.lease, operations, leave).map(Some)
}

/// Starts all tasks but the one that accepts connections, whose listener is returned.
fn spawn_tasks(server: &Rc<Server>, opened: Opened, channels: Channels) -> Async<TcpListener> {
    let Channels { events, leave_requests, stay } = channels;
    let executor = server.executor;
    executor.spawn(signals::handle(server.clone(), opened.signals, leave_requests, stay)).detach();
    executor.spawn(link::run(server.clone())).detach();
    executor.spawn(rollout::read_program(server.clone())).detach();
    executor.spawn(catalog::report(server.clone())).detach();
    executor.spawn(EventLoop::new(server.clone()).run(events)).detach();
    if let Some((socket, fleet)) = opened.membership.zip(server.configuration.membership.clone()) {
        executor.spawn(membership::run(server.clone(), socket, fleet)).detach();
    }
    opened.listener
}
