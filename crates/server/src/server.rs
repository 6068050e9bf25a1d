//! State that the tasks of the server share. The overload controller is not part of this state. The event
//! loop owns the controller, and other tasks send events to the event loop.

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
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use std::cell::Cell;
use std::rc::Rc;

/// State that all tasks of the server share. The tasks run on a single thread.
pub struct Server {
    /// Configuration of the server.
    pub configuration: Configuration,
    /// Clock of the server.
    pub clock: Clock,
    /// Incarnation of the server: the start time of the process, in Unix nanoseconds. Distinguishes this
    /// process from earlier processes with the same name.
    pub incarnation: u64,
    /// Executor that runs the tasks.
    pub executor: &'static LocalExecutor<'static>,
    /// Queue of events that tasks send to the event loop.
    pub events: Sender<Event>,
    /// Open connections of balancers.
    pub connections: Connections,
    /// Health and load of the server. Answers to health checks report the health, and all answers advertise
    /// the load.
    pub health: HealthStatus,
    /// Pool of file descriptors, which limits how many descriptors the server uses.
    pub descriptors: Descriptors,
    /// Idle connections to downstream services, for reuse by later calls.
    pub pool: Pool,
    /// Counters of events since the start of the process, for the log.
    pub counters: Counters,
    /// Limit on the total memory of all connections' buffers, and the number of bytes in use.
    pub buffers: Rc<BufferBudget>,
    /// Channel to the task that keeps the link to the interpreter established. A message means that the
    /// interpreter's address has changed.
    pub interpreter_address_changed: (Sender<()>, Receiver<()>),
    /// State of the drain: its phase, and the time of the notice to leave.
    pub drain: DrainState,
    /// Channel that is closed when the server is notified to leave. The server must then drain and stop.
    pub leave_signal: Receiver<()>,
    /// State that the servers of the fleet share; `None` if the options do not enable shared state.
    pub shared: Option<LocalSharedState>,
    /// State of rollouts on this server; `None` if the options do not enable rollouts.
    pub rollout: Option<Rollout>,
    /// Lock and flag for changes of settings. The lock lets only one change be applied at a time. The flag
    /// merges reload requests.
    pub changes: Changes,
    /// Pauses of the serving thread during the most recent change of settings.
    pub change_pauses: Cell<Pauses>,
}

impl Server {
    /// Returns whether the server was notified to leave, so that it drains and stops.
    pub fn is_leaving(&self) -> bool {
        self.leave_signal.is_closed()
    }
}
