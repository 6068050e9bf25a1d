//! Overload control of one server of a fleet: admission, scheduling, deadlines, downstream calls, health and
//! graceful shutdown. The controller uses only measurements of its own server.
//!
//! A host is the program that embeds the controller. The host creates a [`controller::Controller`] from a
//! [`Deployment`] and reports events to the controller (`on_arrival`, `on_run_finished`, ...). With each
//! event the host passes its implementation of [`Host`], which carries out the controller's decisions. The
//! crate is independent of any network protocol. Times are nanoseconds of a monotonic clock with an arbitrary
//! epoch.

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
mod lingering;
mod log_lines;
mod memory_limit;
mod operation_times;
mod predecessor;
mod reading;
mod regulator;
mod retries;
mod scheduling;
mod standstill;
mod tenant_quota;
mod timers;

/// Nanoseconds: a duration, or a point in time on the host's clock.
pub type Nanos = u64;

/// Actions that the controller requests from its host, the program that embeds the controller. The argument
/// `invocation` is the [`Arrival::id`] of an invocation.
pub trait Host {
    /// Starts the run of a pending invocation, or resumes its run if the run was paused.
    fn start_run(&mut self, invocation: u64);
    /// Stops a run that is in progress, because its answer is no longer needed.
    fn stop_run(&mut self, invocation: u64);
    /// Starts a run again that may have been lost. If the run is on the cores after all, the command has no
    /// effect. Called only for operations that are idempotent.
    fn restart_run(&mut self, _invocation: u64) {}
    /// Ends the wait for the end of a run that evidence has excluded. The invocation was answered. Called
    /// only for runs that the host has reported as unconfirmed, or whose stop command it has reported as
    /// unconfirmed.
    fn abandon_run(&mut self, _invocation: u64) {}
    /// Rejects an invocation that the caller may safely repeat. An invocation that is not idempotent is
    /// rejected only if it certainly had no effect. The caller should wait for `retry_after` before it
    /// retries at this server; 0 gives no advice.
    ///
    /// `no_retry` advises the caller not to retry at another server. It is set in three cases: the rejection
    /// carries a promise of admission by this server, the latency objective has passed, or retries would add
    /// to an overload of the fleet.
    fn reject(&mut self, invocation: u64, no_retry: bool, retry_after: Nanos);
    /// Announces a promise of admission to the host: the server admits the caller's next attempt if the
    /// attempt carries `_ticket` and arrives after the advised delay.
    ///
    /// The controller calls this at most once for an invocation, immediately before its answer. If the answer
    /// is a `reject`, the host sends the ticket with the answer. If the answer is a `fail`, the host discards
    /// the ticket. A host whose protocol has no tickets ignores the call.
    fn promise_admission(&mut self, _invocation: u64, _ticket: u64) {}
    /// Answers an invocation with an error.
    fn fail(&mut self, invocation: u64);
    /// Returns whether the fleet's shared state (call budgets, ejected services) permits an invocation's
    /// downstream call now. `_waiting` is the number of runs that wait to make a downstream call.
    fn may_start_call(&mut self, _invocation: u64, _waiting: usize) -> bool {
        true
    }
    /// Makes the downstream call of an invocation, whose run waits for the result. The host abandons the call
    /// after `timeout`.
    fn start_call(&mut self, invocation: u64, timeout: Nanos);
    /// Continues the run of an invocation without its downstream call. The run then produces a degraded
    /// answer.
    fn skip_call(&mut self, invocation: u64);
    /// Remembers the idempotency key of an invocation for the duration `lifetime`. A host that already stored
    /// the key before it reported the arrival ignores this call.
    fn remember_key(&mut self, invocation: u64, lifetime: Nanos);
    /// Forgets the idempotency key of an invocation, because the invocation never ran.
    fn forget_key(&mut self, invocation: u64);
    /// Answers a repeated invocation with the result of the earlier invocation that has the same idempotency
    /// key.
    fn replay_result(&mut self, invocation: u64);
    /// Sets the response to health checks. `healthy` is true if the server is ready: it is healthy and wants
    /// arrivals. If `cached` is true, the host answers health checks with this value and performs no check. A
    /// host whose checks cost nothing ignores `cached`.
    fn set_health(&mut self, healthy: bool, cached: bool);
    /// Sets the load that the host sends to callers with each answer. [`Advertisement`] defines the unit.
    fn advertise_load(&mut self, load: f64);
    /// Closes connections that have been idle for at least `after`. If only the peer can close a connection
    /// in the protocol, the host requests that the peer sends no more calls on the connection.
    fn close_idle_connections(&mut self, after: Nanos);
    /// Sets a timer: the host calls [`controller::Controller::on_timer`] with the id `timer` after the
    /// duration `after`.
    fn set_timer(&mut self, after: Nanos, timer: u32);
    /// Writes a log line.
    fn log(&mut self, line: &str);
}

/// Default target utilization of the cores, from 0 to 1.
pub const TARGET_UTILIZATION: f64 = 0.9;

/// Settings of the controller.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Operations that the server offers. The index in this list identifies an operation.
    pub operations: Vec<Operation>,
    /// Quota of each tenant in the whole fleet, in invocations per second. The index in this list identifies
    /// a tenant.
    pub tenant_allowance: Vec<f64>,
    /// Factor by which the priority weight of an invocation is multiplied if the tenant is over its quota.
    pub over_quota_value_ratio: f64,
    /// Settings of fair queueing, which limits tenants that are not listed in the settings. `None` turns fair
    /// queueing off.
    pub fair_queueing: Option<meadowstream_fair_queueing::Settings>,
    /// Number of servers in this server's tier, including this server, according to the configuration at
    /// start; at least 1.
    pub peers: f64,
    /// Number of callers of this server's tier, according to the configuration at start; at least 1.
    pub callers: f64,
    /// Whether the callers of this server are servers of another tier. Rejecting an invocation then wastes
    /// the work that the calling tier has already done.
    pub is_downstream_tier: bool,
    /// Number of cores of this server, at least 1.
    pub cores: f64,
    /// Target utilization of the cores, from 0 to 1.
    pub target_utilization: f64,
    /// Memory available to invocations and idempotency keys, KB. The controller uses only a share of this
    /// memory.
    pub memory_kb: f64,
    /// Memory of a running invocation, divided by the memory of the same invocation while it is pending.
    pub run_memory_factor: f64,
    /// Memory that one remembered idempotency key uses, KB.
    pub idempotency_entry_kb: f64,
    /// Whether the host can stop runs, and whether a stopped run loses its work.
    pub preemption: Preemption,
    /// Destination of this server's downstream calls.
    pub downstream: Downstream,
    /// Unit of the advertised load.
    pub advertisement: Advertisement,
    /// Maximum delay after which a rejected caller is advised to retry (Retry-After); 0 disables this advice.
    pub retry_after_max: Nanos,
    /// Upper bound of the server's timeout for idle connections: the idle time after which callers close
    /// their connections themselves.
    pub idle_timeout_max: Nanos,
    /// Whether callers mark invocations that are retries or hedged requests.
    pub retries_marked: bool,
    /// Drain grace: time after the drain notice during which new arrivals are still served.
    pub drain_grace: Nanos,
    /// Answer grace: time reserved for an answer to reach its caller before the process stops.
    pub answer_grace: Nanos,
    /// Survivable concurrency of a server at full speed, as a multiple of its cores. The survivable
    /// concurrency is the number of open runs beyond which the server collapses.
    pub survivable_concurrency_ratio: f64,
    /// Whether the server started cold, so that it reaches full speed only after the warm-up.
    pub starts_cold: bool,
    /// Speed of a cold server at its start, as a ratio of full speed.
    pub cold_speed_ratio: f64,
    /// Warm-up: time from the start of a cold server until it reaches full speed.
    pub warm_up: Nanos,
}

/// A kind of request that the server processes.
#[derive(Clone, Debug)]
pub struct Operation {
    /// Whether the operation may run more than once without harm.
    pub effect: Effect,
    /// Latency objective: an answer has its full value if the caller receives it within this time after the
    /// arrival.
    pub latency_objective: Nanos,
    /// Time after which the caller stops waiting for the answer, if its request carries no deadline.
    pub client_timeout: Nanos,
    /// Time for which the idempotency key of an invocation is remembered.
    pub idempotency_window: Nanos,
    /// Value to the operator of an answer that meets the latency objective. Invocations of operations with
    /// higher weights have priority.
    pub priority_weight: f64,
    /// Value to the operator of an answer that misses the latency objective.
    pub late_value: f64,
    /// Value of an answer whose downstream call was skipped, as a ratio (0 to 1) of the value of a full
    /// answer. 0 means that the call cannot be skipped.
    pub degraded_value_ratio: f64,
    /// Whether runs of the operation may make downstream calls.
    pub makes_calls: bool,
}

/// Effect of running an operation more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Repeated runs have the same effect as one run.
    Idempotent,
    /// Repeated runs with the same idempotency key have the same effect as one run, as long as the key is
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
    /// A stopped run loses its work, and its invocation becomes pending again.
    Discards,
    /// A stopped run is paused: it keeps its progress and its memory, and it can be resumed.
    Pauses,
}

/// Destination of the downstream calls of this server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Downstream {
    /// No downstream calls are made.
    None,
    /// The calls go to another tier of servers. Each server of that tier controls its own load.
    Tier,
    /// The calls go to a dependency that all servers of this server's tier share.
    Shared {
        /// Mean number of concurrent calls that this server may have at the dependency.
        quota: f64,
        /// Time for which an abandoned call still occupies the dependency.
        linger: Nanos,
        /// Length of the window over which the mean number of concurrent calls is computed.
        window: Nanos,
    },
}

/// Kind of load that the server advertises to callers with each answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Advertisement {
    /// No load is advertised.
    None,
    /// The load is the lowest rank that callers should send: 0 (all ranks) while the server wants arrivals,
    /// otherwise 1.
    MinimumRank,
    /// The load is the number of concurrent invocations that each caller may have at this server.
    ConcurrencyAllowance,
    /// The load is the weight of this server in load balancing, from 0 to 1.
    Weight,
}

/// Sender of an invocation. Fair queueing uses this information to share the server among tenants.
#[derive(Clone, Debug, Default)]
pub struct Sender {
    /// Name of the tenant.
    pub tenant: Vec<u8>,
    /// Network origin of the invocation, derived from data that the sender cannot forge.
    pub origin: u64,
    /// Ticket that the sender received with an earlier rejection, if any. The ticket identifies this server's
    /// promise to admit the retry.
    pub ticket: Option<u64>,
}

/// An invocation that the host has just read from a connection.
#[derive(Clone, Debug, Default)]
pub struct Arrival {
    /// Identifier of the invocation, unique among open invocations.
    pub id: u64,
    /// Index of the operation in [`Deployment::operations`].
    pub operation: usize,
    /// Index of the tenant in [`Deployment::tenant_allowance`]; ignored if that list is empty.
    pub tenant: usize,
    /// Sender of the invocation, if known.
    pub sender: Option<Sender>,
    /// Age of the invocation: time since it reached the machine.
    pub age: Nanos,
    /// Time from the reading of the invocation until the caller's deadline; `None` if the request carries no
    /// deadline.
    pub remaining_deadline: Option<Nanos>,
    /// Id of the earlier invocation that had this invocation's idempotency key; `None` if the key is not
    /// remembered.
    pub repeats: Option<u64>,
    /// Whether the host could not store the idempotency key because it lacked memory.
    pub key_not_stored: bool,
    /// Whether the caller marked the invocation as a retry or a hedged request.
    pub is_marked_retry: bool,
    /// Memory that the invocation uses while it is pending, KB.
    pub held_kb: f64,
    /// Core time that the invocation needs, as estimated by the caller; `None` if the caller sent no
    /// estimate.
    pub cost_hint: Option<Nanos>,
}

/// Measurements of the server's load, which the controller uses once per control period. A gauge is `None` if
/// the host cannot measure it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Utilization of the cores during the last control period, from 0 to 1.
    pub utilization: Option<f64>,
    /// Number of threads that are running or ready to run. The number includes threads that execute runs,
    /// read arrivals or answer health checks.
    pub runnable: Option<f64>,
}

/// Outcome of a run or of a downstream call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The run or call returned a result.
    Succeeded,
    /// The run or call returned an error.
    Failed,
    /// No answer was received, so the run or call may have taken effect.
    Unknown,
    /// The run or call certainly did not take effect.
    NeverRan,
    /// The run or call was stopped.
    Cancelled,
}
