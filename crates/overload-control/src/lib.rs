//! Overload control of one server of a fleet: admission, scheduling, deadlines, downstream calls, health
//! and graceful shutdown. All decisions are based on the server's own measurements.
//!
//! A host creates a [`controller::Controller`] from a [`Deployment`] and reports events to it
//! (`on_arrival`, `on_run_finished`, ...). With each event the host passes its implementation of [`Host`],
//! which carries out the controller's decisions. The crate is independent of any network protocol. Times
//! are nanoseconds of a monotonic clock with an arbitrary epoch.

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

/// A duration, or a point in time on the host's clock, in nanoseconds.
pub type Nanos = u64;

/// Actions that the controller requires of the server that hosts it. An invocation is identified by
/// [`Arrival::id`].
pub trait Host {
    /// Starts the run of a pending invocation, or resumes a paused run.
    fn start_run(&mut self, invocation: u64);
    /// Stops a run before it has ended, because its answer is no longer needed.
    fn stop_run(&mut self, invocation: u64);
    /// Rejects an invocation that had no effect or is idempotent, so that the caller may safely repeat it.
    /// An idempotent invocation may have run. `retry_after` is the delay after which the caller may retry
    /// at this server, 0 for no advice.
    ///
    /// `no_retry` tells the caller not to retry at another server, for one of three reasons: the rejection
    /// carries a promise of admission by this server, the latency objective has passed, or retries would
    /// add to an overload of the fleet.
    fn reject(&mut self, invocation: u64, no_retry: bool, retry_after: Nanos);
    /// Announces a promise of admission: a caller that sends its next attempt with `_ticket` after the
    /// advised delay is admitted. The controller calls this at most once for an invocation, immediately
    /// before its answer. If the answer is a `reject`, the host sends the ticket with the answer; if the
    /// answer is a `fail`, the host discards the ticket. A host whose protocol has no tickets ignores
    /// the call.
    fn promise_admission(&mut self, _invocation: u64, _ticket: u64) {}
    /// Answers an invocation with an error.
    fn fail(&mut self, invocation: u64);
    /// Returns whether the fleet's shared state (call budgets, ejected services) permits the downstream
    /// call of an invocation. `_waiting` is the number of runs that currently wait to make a downstream
    /// call.
    fn may_start_call(&mut self, _invocation: u64, _waiting: usize) -> bool {
        true
    }
    /// Makes the downstream call that the run of an invocation waits for. The host abandons the call after
    /// `timeout`.
    fn start_call(&mut self, invocation: u64, timeout: Nanos);
    /// Resumes the run of an invocation without its downstream call; the run then gives a degraded answer.
    fn skip_call(&mut self, invocation: u64);
    /// Remembers the idempotency key of an invocation for `lifetime`. A host that stored the key before it
    /// reported the arrival ignores this action.
    fn remember_key(&mut self, invocation: u64, lifetime: Nanos);
    /// Forgets the idempotency key of an invocation that never ran.
    fn forget_key(&mut self, invocation: u64);
    /// Answers an invocation that repeats an earlier one with the result of the earlier one.
    fn replay_result(&mut self, invocation: u64);
    /// Sets the response to health checks. `healthy` means that the server is ready: it is healthy and
    /// wants arrivals. If `cached`, the host responds from this value without performing a check; a host
    /// whose checks cost nothing ignores the flag.
    fn set_health(&mut self, healthy: bool, cached: bool);
    /// Sets the load advertised with each answer, in the unit given by [`Advertisement`].
    fn advertise_load(&mut self, load: f64);
    /// Closes connections that have been idle for at least `after`. If the protocol only lets the peer
    /// close a connection, the host asks the peer to send no more calls on it.
    fn close_idle_connections(&mut self, after: Nanos);
    /// Schedules a call of [`controller::Controller::on_timer`] with `timer` once the duration `after` has
    /// elapsed.
    fn set_timer(&mut self, after: Nanos, timer: u32);
    /// Writes a log line.
    fn log(&mut self, line: &str);
}

/// Default target utilization of the cores.
pub const TARGET_UTILIZATION: f64 = 0.9;

/// Settings of the controller.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Operations that the server offers; an operation is identified by its index.
    pub operations: Vec<Operation>,
    /// Allowance of each tenant in the whole fleet, in invocations per second, by tenant index.
    pub tenant_allowance: Vec<f64>,
    /// Factor applied to the priority weight of an invocation whose tenant is over its quota.
    pub over_quota_value_ratio: f64,
    /// Settings of fair queueing among tenants that are not listed in the settings; `None` turns fair
    /// queueing off.
    pub fair_queueing: Option<meadowstream_fair_queueing::Settings>,
    /// Number of servers of this server's tier in the configuration at start, 1 or more.
    pub peers: f64,
    /// Number of callers of this tier at start, 1 or more.
    pub callers: f64,
    /// Whether invocations of this server are downstream calls of another tier. Rejecting such a call
    /// wastes the work that the other tier has already done.
    pub is_downstream_tier: bool,
    /// Number of cores of this server, 1 or more.
    pub cores: f64,
    /// Target utilization of the cores, from 0 to 1.
    pub target_utilization: f64,
    /// Memory available to invocations and idempotency keys, KB.
    pub memory_kb: f64,
    /// Memory of a running invocation as a multiple of its memory while pending.
    pub run_memory_factor: f64,
    /// Memory of one remembered idempotency key, KB.
    pub idempotency_entry_kb: f64,
    /// Whether runs can be stopped, and whether a stopped run loses its work.
    pub preemption: Preemption,
    /// Destination of this server's downstream calls.
    pub downstream: Downstream,
    /// Unit of the advertised load.
    pub advertisement: Advertisement,
    /// Maximum Retry-After; 0 disables Retry-After.
    pub retry_after_max: Nanos,
    /// Idle time after which callers close connections themselves.
    pub idle_timeout_max: Nanos,
    /// Whether callers mark retries and hedged requests.
    pub retries_marked: bool,
    /// Time after the drain notice during which arrivals are still served.
    pub drain_grace: Nanos,
    /// Time reserved for an answer to reach its caller before the process stops.
    pub answer_grace: Nanos,
    /// Number of open runs beyond which a server at full speed collapses, as a multiple of its cores.
    pub survivable_concurrency_ratio: f64,
    /// Whether the server started cold and needs to warm up to full speed.
    pub starts_cold: bool,
    /// Initial speed of a cold server as a ratio of full speed.
    pub cold_speed_ratio: f64,
    /// Time that a cold server takes to reach full speed.
    pub warm_up: Nanos,
}

/// A kind of request that the server processes.
#[derive(Clone, Debug)]
pub struct Operation {
    /// Whether running the operation twice is harmful.
    pub effect: Effect,
    /// Latency objective: an answer within this time has its full value.
    pub latency_objective: Nanos,
    /// Client timeout: the caller gives up after this time if its request carries no deadline.
    pub client_timeout: Nanos,
    /// Time for which an idempotency key is remembered.
    pub idempotency_window: Nanos,
    /// Value to the operator of an answer within the latency objective. Invocations with higher weights
    /// have priority.
    pub priority_weight: f64,
    /// Value to the operator of an answer given after the latency objective.
    pub late_value: f64,
    /// Share of its value that an answer keeps if the downstream call was skipped, from 0 to 1; 0 if the
    /// call is required.
    pub degraded_value_ratio: f64,
    /// Whether runs of the operation may make downstream calls.
    pub makes_calls: bool,
}

/// Effect of running an operation more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Repeated runs have the same effect as one run.
    Idempotent,
    /// Repeated runs with one idempotency key have the same effect as one run, while that key is
    /// remembered.
    IdempotentWithKey,
    /// Each run takes effect again.
    NonIdempotent,
}

/// Consequence of stopping a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Preemption {
    /// Runs cannot be stopped.
    Unsupported,
    /// The work is lost and the invocation becomes pending again.
    Discards,
    /// The run keeps its progress and its memory, and can be resumed.
    Pauses,
}

/// Destination of the downstream calls of this server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Downstream {
    /// No downstream calls are made.
    None,
    /// Another tier of servers, each of which controls its own load.
    Tier,
    /// One dependency that all servers of this tier share.
    Shared {
        /// Mean number of concurrent calls that this server may have at the dependency.
        quota: f64,
        /// Time for which an abandoned call still occupies the dependency.
        linger: Nanos,
        /// Period over which the mean number of concurrent calls is taken.
        window: Nanos,
    },
}

/// Meaning of the load that is advertised with answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Advertisement {
    /// No load is advertised.
    None,
    /// Lowest rank that callers should send: 0 (all ranks) while arrivals are wanted, otherwise 1.
    MinimumRank,
    /// Number of concurrent invocations that a caller may have at this server.
    ConcurrencyAllowance,
    /// Load balancing weight of this server, from 0 to 1.
    Weight,
}

/// Identity of the sender of an invocation, used by fair queueing.
#[derive(Clone, Debug, Default)]
pub struct Sender {
    /// Name of the tenant.
    pub tenant: Vec<u8>,
    /// Network origin of the invocation, derived from data that the sender cannot forge.
    pub origin: u64,
    /// Ticket of an earlier promise of admission, if the sender has one.
    pub ticket: Option<u64>,
}

/// An invocation that the host has just read.
#[derive(Clone, Debug, Default)]
pub struct Arrival {
    /// Identifier that is unique among open invocations.
    pub id: u64,
    /// Index of the operation in [`Deployment::operations`].
    pub operation: usize,
    /// Index of the tenant in [`Deployment::tenant_allowance`]; ignored if that list is empty.
    pub tenant: usize,
    /// Sender of the invocation, if known.
    pub sender: Option<Sender>,
    /// Time since the invocation reached the machine.
    pub age: Nanos,
    /// Time from the reading of the invocation until the caller's deadline, if the request carries one.
    pub remaining_deadline: Option<Nanos>,
    /// Id of the earlier invocation with the same idempotency key, if that key is remembered.
    pub repeats: Option<u64>,
    /// Whether the host lacked the memory to store the idempotency key.
    pub key_not_stored: bool,
    /// Whether the caller marked the invocation as a retry or a hedged request.
    pub is_marked_retry: bool,
    /// Memory of the invocation while it is pending, KB.
    pub held_kb: f64,
    /// The caller's estimate of the core time that the invocation needs.
    pub cost_hint: Option<Nanos>,
}

/// Measurements of the server's load. A gauge is `None` if the host cannot measure it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Utilization of the cores during the last control period, from 0 to 1.
    pub utilization: Option<f64>,
    /// Number of threads that are running or ready to run, for example threads of runs, of reading and of
    /// health checks.
    pub runnable: Option<f64>,
}

/// Outcome of a run or of a downstream call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The run or call returned a result.
    Succeeded,
    /// The run or call returned an error.
    Failed,
    /// No answer was received; the run or call may have taken effect.
    Unknown,
    /// The run or call certainly did not take effect.
    NeverRan,
    /// The run or call was stopped.
    Cancelled,
}
