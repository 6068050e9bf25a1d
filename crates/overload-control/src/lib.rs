//! Overload control inside one server of a fleet: admission, scheduling, deadlines, downstream calls,
//! health and graceful shutdown, decided from what this server alone observes.
//!
//! A host makes a [`controller::Controller`] from a [`Deployment`], reports events to it (`on_arrival`,
//! `on_run_finished`, ...) and passes a [`Host`] along, which carries out what is decided. Neither side
//! knows a protocol. Times are nanoseconds of any clock that never goes back.

#![deny(missing_docs, clippy::too_many_lines)]

mod admission;
mod advertised_load;
mod call_budget;
mod concurrency_limit;
pub mod controller;
mod deadline;
mod decaying_mean;
mod downstream_calls;
mod draining;
mod health;
mod idempotency;
mod idle_connections;
mod invocations;
mod largest;
mod linear_quadratic;
mod log_lines;
mod memory_limit;
mod operation_times;
mod reading;
mod regulator;
mod retries;
mod scheduling;
mod tenant_quota;
mod timers;

/// Nanoseconds: a point in time on the host's clock, or a duration.
pub type Nanos = u64;

/// What the controller asks of the server that hosts it. Invocations are named by the ids they arrived with.
pub trait Host {
    /// Starts the run of a pending invocation, or resumes a paused one.
    fn start_run(&mut self, invocation: u64);
    /// Preempts a run.
    fn stop_run(&mut self, invocation: u64);
    /// Answers that nothing was done, or that doing it again is harmless: an idempotent invocation is
    /// rejected even after its run was started. `retry_after` is when this server may be tried again, 0 for
    /// no advice.
    ///
    /// `no_retry`: no other server should be tried, for one of three reasons. The rejection carries a promise
    /// of admission here; the latency objective has passed; or retries elsewhere would only add to an
    /// overload of the fleet.
    fn reject(&mut self, invocation: u64, no_retry: bool, retry_after: Nanos);
    /// Announces a promise: the caller that returns with the ticket after the advised time is admitted.
    /// Called right before the answer to the same invocation, at most once. A `reject` carries the ticket to
    /// the caller; a `fail` does not, and the host drops the ticket. A host whose protocol has no tickets
    /// ignores the call.
    fn promise_admission(&mut self, _invocation: u64, _ticket: u64) {}
    /// Answers with an error.
    fn fail(&mut self, invocation: u64);
    /// Whether the fleet's shared state (call budgets, ejected services) permits the downstream call of this
    /// invocation, while so many runs (`waiting`) stand at theirs.
    fn may_start_call(&mut self, _invocation: u64, _waiting: usize) -> bool {
        true
    }
    /// Makes the downstream call that a run waits for, to be given up after `timeout`.
    fn start_call(&mut self, invocation: u64, timeout: Nanos);
    /// Resumes a run without its downstream call, for a degraded answer.
    fn skip_call(&mut self, invocation: u64);
    /// Remembers the idempotency key of an invocation for `lifetime`. A host that stored the key before it
    /// reported the arrival has nothing to do.
    fn remember_key(&mut self, invocation: u64, lifetime: Nanos);
    /// Forgets the idempotency key of an invocation, which had no effect.
    fn forget_key(&mut self, invocation: u64);
    /// Answers a repeat with the result of the invocation that it repeats.
    fn replay_result(&mut self, invocation: u64);
    /// Sets the answer to health checks: whether the server is ready, that is healthy and wants arrivals.
    /// `cached` asks to answer them without the work of a check; a host whose checks cost nothing ignores it.
    fn set_health(&mut self, healthy: bool, cached: bool);
    /// Sets the load advertised with each answer, in the unit of the deployment's [`Advertisement`].
    fn advertise_load(&mut self, load: f64);
    /// Closes each connection that has been idle for at least `after`. Where the protocol lets the peer
    /// close, the host asks it to make no new call on the connection instead.
    fn close_idle_connections(&mut self, after: Nanos);
    /// Calls [`controller::Controller::on_timer`] with this timer after a while.
    fn set_timer(&mut self, after: Nanos, timer: u32);
    /// Writes a log line.
    fn log(&mut self, line: &str);
}

/// Utilization of the cores to steer to unless the settings say otherwise.
pub const TARGET_UTILIZATION: f64 = 0.9;

/// The settings that decisions read.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The operations that invocations may ask for, by index.
    pub operations: Vec<Operation>,
    /// Invocations a second that the whole fleet grants each tenant, by index.
    pub tenant_allowance: Vec<f64>,
    /// Ratio of the priority weight that an invocation over its tenant's quota keeps.
    pub over_quota_value_ratio: f64,
    /// Fair queueing among tenants that become known as they come; `None` where they are not told apart.
    pub fair_queueing: Option<meadowstream_fair_queueing::Settings>,
    /// Servers of this tier listed at start, 1 or more.
    pub peers: f64,
    /// Callers of this tier at start, 1 or more.
    pub callers: f64,
    /// Invocations here are downstream calls of a tier above, which has already worked for them.
    pub is_downstream_tier: bool,
    /// Cores of this server, 1 or more.
    pub cores: f64,
    /// Utilization of the cores to steer to, from 0 to 1.
    pub target_utilization: f64,
    /// Memory for invocations and idempotency entries, KB.
    pub memory_kb: f64,
    /// Memory of a running invocation as a multiple of that of a pending one.
    pub run_memory_factor: f64,
    /// Memory of a remembered idempotency key, KB.
    pub idempotency_entry_kb: f64,
    /// What stopping a run does to its work.
    pub preemption: Preemption,
    /// What the runs call.
    pub downstream: Downstream,
    /// Unit of the advertised load.
    pub advertisement: Advertisement,
    /// Longest Retry-After, 0 where none may be given.
    pub retry_after_max: Nanos,
    /// After this callers close idle connections by themselves.
    pub idle_timeout_max: Nanos,
    /// Whether callers mark retries and hedged requests.
    pub retries_marked: bool,
    /// After the drain notice, how long arrivals are still served.
    pub drain_grace: Nanos,
    /// Time reserved for an answer to reach its caller before the process stops.
    pub answer_grace: Nanos,
    /// Runs that a warm server survives, as a multiple of its cores.
    pub survivable_concurrency_ratio: f64,
    /// The server started cold and warms up.
    pub starts_cold: bool,
    /// Speed of a cold server at its start, as a ratio of full speed.
    pub cold_speed_ratio: f64,
    /// How long a cold server takes to reach full speed.
    pub warm_up: Nanos,
}

/// One kind of work that callers ask for.
#[derive(Clone, Debug)]
pub struct Operation {
    /// What running it twice does.
    pub effect: Effect,
    /// Time within which an answer has its full value.
    pub latency_objective: Nanos,
    /// How long callers wait for an answer.
    pub client_timeout: Nanos,
    /// How long an idempotency key is remembered.
    pub idempotency_window: Nanos,
    /// Value of an answer to the operator; invocations of higher weight go first.
    pub priority_weight: f64,
    /// Value of an answer after the latency objective.
    pub late_value: f64,
    /// Ratio of its value that an answer keeps when its downstream call was skipped; 0 where it needs the
    /// call.
    pub degraded_value_ratio: f64,
    /// Whether its runs may make downstream calls.
    pub makes_calls: bool,
}

/// What running an operation twice does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The same as running it once.
    Idempotent,
    /// The same as running it once, while its idempotency key is remembered.
    IdempotentWithKey,
    /// Its effect again.
    NonIdempotent,
}

/// What stopping a run does to its work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Preemption {
    /// Runs cannot be stopped.
    Unsupported,
    /// The work is lost and the invocation is pending again.
    Discards,
    /// The run keeps its progress and its memory.
    Pauses,
}

/// What the runs of this server call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Downstream {
    /// Nothing.
    None,
    /// A tier of servers that control their own load.
    Tier,
    /// One dependency that all servers share.
    Shared {
        /// Mean number of concurrent calls that this server may have there.
        quota: f64,
        /// How long a call that was given up still occupies the dependency.
        linger: Nanos,
        /// Span over which the mean is taken.
        window: Nanos,
    },
}

/// What the load advertised with answers means to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Advertisement {
    /// None is advertised.
    None,
    /// Lowest rank to be sent: 0 while arrivals are wanted, which is all ranks, and 1 while they are not.
    MinimumRank,
    /// Invocations that a caller may have here at once.
    ConcurrencyAllowance,
    /// Load balancing weight, from 0 to 1.
    Weight,
}

/// Who sent an invocation, where tenants become known as they come.
#[derive(Clone, Debug, Default)]
pub struct Sender {
    /// Name of the tenant.
    pub tenant: Vec<u8>,
    /// Where it comes from, as far as that cannot be forged.
    pub origin: u64,
    /// The ticket of an earlier promise of admission.
    pub ticket: Option<u64>,
}

/// An invocation as it is read.
#[derive(Clone, Debug, Default)]
pub struct Arrival {
    /// Unique among open invocations.
    pub id: u64,
    /// Index into [`Deployment::operations`].
    pub operation: usize,
    /// Index into [`Deployment::tenant_allowance`]; of no meaning where that is empty.
    pub tenant: usize,
    /// Who sent it, where known.
    pub sender: Option<Sender>,
    /// Time since it reached the machine.
    pub age: Nanos,
    /// How long the caller still waits, where it says so.
    pub remaining_deadline: Option<Nanos>,
    /// The invocation whose idempotency key it carries, where that is remembered.
    pub repeats: Option<u64>,
    /// The host had no memory to store its idempotency key.
    pub key_not_stored: bool,
    /// Marked as a retry or a hedged request.
    pub is_marked_retry: bool,
    /// Memory that it takes while it is pending, KB.
    pub held_kb: f64,
    /// The caller's estimate of its time on a core, where there is one.
    pub cost_hint: Option<Nanos>,
}

/// What the server measures of itself, where it does.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Busy share of the cores over the last control period, from 0 to 1.
    pub utilization: Option<f64>,
    /// Threads that want a core now: runs, reading, health checks.
    pub runnable: Option<f64>,
}

/// How a run or a downstream call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// With a result.
    Succeeded,
    /// With an error.
    Failed,
    /// It may have had its effect.
    Unknown,
    /// It is certain that nothing was done.
    NeverRan,
    /// It was stopped.
    Cancelled,
}
