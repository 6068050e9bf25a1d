//! Starts the server: opens its sockets, and runs all its tasks on one thread.

use crate::calls::pool::Pool;
use crate::configuration::Configuration;
use crate::configuration::fleet::FleetSettings;
use crate::connection::accept;
use crate::connection::table::{Connections, HealthStatus};
use crate::event::Event;
use crate::event_loop::EventLoop;
use crate::fleet::membership;
use crate::fleet::rollout;
use crate::fleet::rollout_state::{Rollout, RolloutError};
use crate::fleet::shared_state::{LocalSharedState, SharedStateError};
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

/// Maximum number of events in the queue of the event loop. While the queue is full, tasks that send events
/// wait.
const EVENTS_MAX: usize = 1024;
/// Divisor of the server's memory limit. The buffers of all connections may use half of the limit. This half
/// includes the memory reserved for answers that are not yet sent.
const BUFFERS_DIVISOR: usize = 2;

/// Reason why the server cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The signal handlers cannot be installed.
    #[error(transparent)]
    Signals(std::io::Error),
    /// The socket on which the server accepts connections cannot be opened.
    #[error("cannot listen on {address}")]
    Listen {
        /// Address of the socket on which the server accepts connections.
        address: SocketAddr,
        /// Cause of the failure.
        #[source]
        error: std::io::Error,
    },
    /// The limit on file descriptors is too low for the server.
    #[error(transparent)]
    Descriptors(#[from] TooFewDescriptors),
    /// The UDP socket for messages between members of the fleet cannot be bound.
    #[error("<membership>: cannot bind {address}")]
    BindMembership {
        /// Address of the UDP socket.
        address: SocketAddr,
        /// Cause of the failure.
        #[source]
        error: std::io::Error,
    },
    /// The settings of the state that the fleet shares are invalid.
    #[error("<shared-state>: {0}")]
    SharedState(SharedStateError),
    /// The server cannot take part in rollouts, although the options enable them.
    #[error("<rollout>: {0}")]
    Rollout(RolloutError),
}

/// Resources that the server opens before it runs any task. If a resource cannot be opened, the start fails.
struct OpenedResources {
    signals: Signals,
    listener: Async<TcpListener>,
    membership: Option<Async<UdpSocket>>,
}

/// Ends of channels that the server hands to its tasks when the tasks are started.
struct Channels {
    events: Receiver<Event>,
    leave_requests: Receiver<()>,
    /// Sender that is closed to notify all tasks that the server is leaving.
    leave_trigger: async_channel::Sender<()>,
}

/// Runs the server until its drain is over.
pub fn serve(configuration: Configuration) -> Result<(), StartError> {
    let executor: &'static LocalExecutor = Box::leak(Box::new(LocalExecutor::new()));
    // The main future is spawned as a task of its own. If the future were passed to `executor.run` directly,
    // it would be polled again after every step of any other task.
    let main = executor.spawn(run(configuration, executor));
    async_io::block_on(executor.run(main))
}

async fn run(
    configuration: Configuration,
    executor: &'static LocalExecutor<'static>,
) -> Result<(), StartError> {
    let signals = signals::subscribe().map_err(StartError::Signals)?;
    let listener = listen(&configuration)?;
    let descriptors = Descriptors::with_limit(configuration.sockets)?;
    let membership = configuration.membership.as_ref().map(bind_membership).transpose()?;
    let opened = OpenedResources { signals, listener, membership };
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
    // Sets the length of the kernel's queue of waiting connections. The standard library sets a length of
    // 128, so connections could be dropped when many arrive at once.
    let backlog = configuration.sockets.min(i32::MAX as usize) as i32;
    rustix::net::listen(listener.get_ref(), backlog).map_err(|error| failed(error.into()))?;
    Ok(listener)
}

fn bind_membership(fleet: &FleetSettings) -> Result<Async<UdpSocket>, StartError> {
    membership::bind(fleet).map_err(|error| StartError::BindMembership { address: fleet.bind, error })
}

fn server(
    configuration: Configuration,
    descriptors: Descriptors,
    executor: &'static LocalExecutor<'static>,
) -> Result<(Rc<Server>, Channels), StartError> {
    let clock = Clock::start();
    // The incarnation is the start time in Unix nanoseconds. A server that is restarted under the same name
    // therefore has a higher incarnation.
    let incarnation = clock.now();
    let (events, events_received) = async_channel::bounded::<Event>(EVENTS_MAX);
    let (leave_trigger, leave_signal) = async_channel::bounded(1);
    let (leave, leave_requests) = async_channel::bounded(1);
    let shared = shared(&configuration, incarnation).map_err(StartError::SharedState)?;
    let rollout = rollout(&configuration, incarnation, leave).map_err(StartError::Rollout)?;
    let buffers = BufferBudget::new((configuration.memory_mb << 20) as usize / BUFFERS_DIVISOR);
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
    Ok((Rc::new(server), Channels { events: events_received, leave_requests, leave_trigger }))
}

fn shared(
    configuration: &Configuration,
    incarnation: u64,
) -> Result<Option<LocalSharedState>, SharedStateError> {
    let Some(fleet) = &configuration.membership else { return Ok(None) };
    let Some(settings) = &fleet.shared else { return Ok(None) };
    let me = ServerId { name: fleet.name.clone(), incarnation };
    let shared = LocalSharedState::new(me, settings, &fleet.tier, configuration.seed ^ incarnation)?;
    if let Some(tenants) = &configuration.options.borrow().tenants {
        shared.set_named_tenants(reload::named_tenants(tenants));
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
    let Some(settings) = &options.rollout else { return Ok(None) };
    let name = configuration.membership.as_ref().map_or(String::new(), |fleet| fleet.name.clone());
    let me = ServerId { name, incarnation };
    let operations = &configuration.settings.operation_names;
    Rollout::new(candidate, me, settings.lease, operations, leave).map(Some)
}

/// Starts all tasks except the task that accepts connections. Returns the listener for this remaining task.
fn spawn_tasks(server: &Rc<Server>, opened: OpenedResources, channels: Channels) -> Async<TcpListener> {
    let Channels { events, leave_requests, leave_trigger } = channels;
    let executor = server.executor;
    executor.spawn(signals::handle(server.clone(), opened.signals, leave_requests, leave_trigger)).detach();
    executor.spawn(link::run(server.clone())).detach();
    executor.spawn(rollout::read_program(server.clone())).detach();
    executor.spawn(catalog::report(server.clone())).detach();
    executor.spawn(EventLoop::new(server.clone()).run(events)).detach();
    if let Some((socket, fleet)) = opened.membership.zip(server.configuration.membership.clone()) {
        executor.spawn(membership::run(server.clone(), socket, fleet)).detach();
    }
    opened.listener
}
