//! The start: one thread, one executor, the tasks.

use crate::calls::pool::Pool;
use crate::configuration::Configuration;
use crate::connection::accept;
use crate::connection::table::Connections;
use crate::connection::table::HealthStatus;
use crate::event::Event;
use crate::event_loop::EventLoop;
use crate::fleet::membership as fleet;
use crate::fleet::rollout;
use crate::fleet::rollout_state::Rollout;
use crate::fleet::shared_state::Shared;
use crate::interpreter::link;
use crate::lifecycle::catalog;
use crate::lifecycle::changes::Changes;
use crate::lifecycle::clock::Clock;
use crate::lifecycle::drain;
use crate::lifecycle::reload;
use crate::lifecycle::signals;
use crate::resources::buffers::BufferBudget;
use crate::resources::counters::Counters;
use crate::resources::descriptors::Descriptors;
use crate::server::Server;
use anyhow::{Context, Result, anyhow};
use async_executor::LocalExecutor;
use async_io::Async;
use meadowstream_shared_state::ServerId;
use std::cell::Cell;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};

/// Events that may wait for the event loop; senders of more wait.
const EVENTS_MAX: usize = 1024;

/// Part of the memory limit that the buffers of connections may fill, with the answers that they are owed.
const BUFFERS_PART: usize = 2;

pub fn serve(configuration: Configuration) -> Result<()> {
    let executor: &'static LocalExecutor = Box::leak(Box::new(LocalExecutor::new()));
    // A task like the others: what `run` itself is given is polled with each of their steps.
    let whole = executor.spawn(run(configuration, executor));
    async_io::block_on(executor.run(whole))
}

async fn run(configuration: Configuration, executor: &'static LocalExecutor<'static>) -> Result<()> {
    let signals = signals::subscribe()?;
    let listener = Async::<TcpListener>::bind(configuration.listen);
    let listener = listener.with_context(|| format!("cannot listen on {}", configuration.listen))?;
    // The queue that the standard library asks for would drop what a burst opens beyond 128 at once.
    rustix::net::listen(listener.get_ref(), configuration.sockets.min(i32::MAX as usize) as i32)?;
    let (events, queue) = async_channel::bounded::<Event>(EVENTS_MAX);
    let (stay, left) = async_channel::bounded(1);
    let descriptors = Descriptors::within(configuration.sockets)?;
    let membership = match &configuration.membership {
        Some(given) => {
            let socket =
                fleet::bind(given).with_context(|| format!("<membership>: cannot bind {}", given.bind))?;
            Some((socket, given.clone()))
        }
        None => None,
    };
    configuration.notes.iter().for_each(|note| warn!("{note}"));
    info!(name = configuration.name, listen = %listener.get_ref().local_addr()?, "started");
    let clock = Clock::start();
    // The start time in Unix nanoseconds: a restart under the old name has a higher incarnation.
    let incarnation = clock.now();
    let shared = membership.as_ref().and_then(|(_, given)| Some((given, given.shared.as_ref()?)));
    let shared = shared.map(|(given, settings)| {
        let me = ServerId { name: given.name.clone(), incarnation };
        Shared::new(me, settings, &given.tier, configuration.seed ^ incarnation)
            .map_err(|fault| anyhow!("<shared-state>: {fault}"))
    });
    let shared = shared.transpose()?;
    if let Some((shared, tenants)) = shared.as_ref().zip(configuration.options.borrow().tenants.as_ref()) {
        shared.name_tenants(reload::names_of(tenants));
    }
    let (ends, ended) = async_channel::bounded(1);
    let candidate = configuration.candidate.borrow().clone();
    let of_rollouts = configuration.options.borrow().rollout.clone();
    let rollout = candidate.zip(of_rollouts).map(|(candidate, given)| {
        let operations = &configuration.settings.operation_names;
        let name = configuration.membership.as_ref().map_or(String::new(), |fleet| fleet.name.clone());
        let me = ServerId { name, incarnation };
        Rollout::new(candidate, me, given.lease, operations, ends.clone())
            .map_err(|fault| anyhow!("<rollout>: {fault}"))
    });
    let rollout = rollout.transpose()?;
    let buffers = BufferBudget::new((configuration.memory_mb << 20) as usize / BUFFERS_PART);
    let server = Rc::new(Server {
        configuration,
        clock,
        executor,
        events,
        connections: Connections::default(),
        health: HealthStatus { healthy: Cell::new(true), advertised_load: Cell::new(None) },
        pool: Pool::default(),
        descriptors,
        buffers,
        grace_over: Cell::new(false),
        stop_at: Cell::new(None),
        interpreter_moved: async_channel::bounded(1),
        counters: Counters::default(),
        left,
        shared,
        rollout,
        changes: Changes::default(),
        retune_pause: Cell::new(Duration::ZERO),
    });
    executor.spawn(signals::heed(server.clone(), signals, ended, stay)).detach();
    executor.spawn(link::run(server.clone())).detach();
    executor.spawn(rollout::read_program(server.clone())).detach();
    executor.spawn(catalog::report(server.clone())).detach();
    executor.spawn(EventLoop::new(server.clone()).run(queue)).detach();
    if let Some((socket, given)) = membership {
        executor.spawn(fleet::keep(server.clone(), socket, given, incarnation)).detach();
    }
    accept::accept(server.clone(), listener).await;
    drain::over(&server).await;
    info!("ended; counters:{}", server.counters);
    Ok(())
}
