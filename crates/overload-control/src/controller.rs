//! The controller of one server: receives events, applies its rules in a fixed order, and instructs the host
//! to act.
//!
//! The host calls `on_arrival`, `on_run_finished`, `on_run_unconfirmed`, `on_stop_unconfirmed`,
//! `on_call_needed`, `on_call_finished`, `on_drain_notice`, `on_caller_gone` and `on_timer`. Each event
//! updates the controller's measurements. The controller then evaluates `RULES` in order. After each rule
//! that acts, evaluation starts again from the first rule, and it ends when no rule acts. Actions are
//! calls to the [`Host`] passed with the event. `docs/design.md` lists the parts of the controller taken
//! from the paper, and the deviations from the paper.

mod conditions;
mod events;
mod lingering_runs;
mod rules;

pub use crate::regulator::CONTROL_PERIOD;
pub use crate::timers::CONTROL_TIMER;
pub use conditions::RunCounts;

use crate::admission::{Admission, PriorityClasses};
use crate::advertised_load::AdvertisedLoad;
use crate::concurrency_limit::{ConcurrencyLimit, WarmUp};
use crate::downstream_calls::DownstreamCalls;
use crate::draining::Draining;
use crate::health::Health;
use crate::idempotency::IdempotencyKeys;
use crate::idle_connections::IdleConnections;
use crate::invocations::{Invocation, Invocations};
use crate::lingering::RunnableBound;
use crate::memory_limit::MemoryLimit;
use crate::operation_times::OperationTimes;
use crate::predecessor::InheritedRuns;
use crate::reading::Reading;
use crate::regulator::Regulator;
use crate::retries::Retries;
use crate::standstill::StandstillDetector;
use crate::tenant_quota::TenantQuotas;
use crate::timers::Timers;
use crate::{Deployment, Effect, Host, Nanos, Preemption};
use meadowstream_fair_queueing::{FairScheduler, SettingsChange};
use meadowstream_pending_queue::PendingQueue;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The overload controller of one server.
pub struct Controller {
    deployment: Deployment,
    now: Nanos,
    shortest_objective: Nanos,
    invocations: Invocations,
    classes: PriorityClasses,
    times: OperationTimes,
    quotas: TenantQuotas,
    keys: IdempotencyKeys,
    reading: Reading,
    retries: Retries,
    regulator: Regulator,
    admission: Admission,
    concurrency: ConcurrencyLimit,
    memory: MemoryLimit,
    calls: DownstreamCalls,
    health: Health,
    standstill: StandstillDetector,
    runnable_bound: RunnableBound,
    inherited: InheritedRuns,
    /// Number of runs on the cores that began to linger in the present control period, because a command to
    /// stop them was not confirmed.
    stopped_in_period: f64,
    /// Time at which a run was most recently started.
    last_start: Nanos,
    draining: Draining,
    advertised: AdvertisedLoad,
    idle_connections: IdleConnections,
    timers: Timers,
}

/// A rule of the controller. A rule whose condition holds performs one action and returns `Some`. Otherwise
/// the rule returns `None`.
type Rule = fn(&mut Controller, &mut dyn Host) -> Option<()>;

/// The controller's rules in order of precedence. After a rule has acted, evaluation starts again from the
/// first rule. Evaluation ends when no rule acts.
const RULES: &[Rule] = &[
    Controller::answer_overdue,
    Controller::stop_abandoned_runs,
    Controller::stop_lost_runs,
    Controller::reject_in_refusal_window,
    Controller::reject_beyond_memory,
    Controller::replay_results,
    Controller::reject_for_deadlines,
    Controller::start_calls,
    Controller::start_runs,
    Controller::report_health_and_load,
    Controller::set_deadline_timer,
];

impl Controller {
    /// Creates the controller of a server that started at `started_at`. The first control period starts at an
    /// offset derived from `seed`, so that the servers of a fleet start their periods at different times.
    /// `seed` also determines the random numbers of fair queueing.
    pub fn new(deployment: Deployment, seed: u64, started_at: Nanos, host: &mut dyn Host) -> Self {
        let classes = PriorityClasses::new(&deployment);
        let objectives = deployment.operations.iter().map(|operation| operation.latency_objective);
        let shortest_objective = objectives.min().unwrap_or(CONTROL_PERIOD);
        host.set_timer(ChaCha8Rng::seed_from_u64(seed).random_range(0..CONTROL_PERIOD), CONTROL_TIMER);
        let pending = PendingQueue::new(classes.len(), deployment.operations.len());
        let stopped_runs_pause = deployment.preemption == Preemption::Pauses;
        let warm_up = WarmUp {
            started: started_at,
            starts_cold: deployment.starts_cold,
            cold_speed_ratio: deployment.cold_speed_ratio,
            duration: deployment.warm_up,
        };
        let survivable_ratio = deployment.survivable_concurrency_ratio;
        Self {
            now: started_at,
            shortest_objective,
            invocations: Invocations::new(pending, deployment.run_memory_factor, stopped_runs_pause),
            classes,
            times: OperationTimes::new(&deployment.operations, started_at),
            quotas: TenantQuotas::new(&deployment, seed, started_at),
            keys: IdempotencyKeys::new(deployment.idempotency_entry_kb),
            reading: Reading::new(shortest_objective, started_at),
            retries: Retries::new(deployment.retries_marked, started_at),
            regulator: Regulator::new(deployment.target_utilization),
            admission: Admission::new(started_at),
            concurrency: ConcurrencyLimit::new(deployment.cores, survivable_ratio, warm_up),
            memory: MemoryLimit::new(deployment.memory_kb),
            calls: DownstreamCalls::new(&deployment, started_at),
            health: Health::new(started_at),
            standstill: StandstillDetector::default(),
            runnable_bound: RunnableBound::default(),
            inherited: InheritedRuns::default(),
            stopped_in_period: 0.0,
            last_start: started_at,
            draining: Draining::new(&deployment),
            advertised: AdvertisedLoad::default(),
            idle_connections: IdleConnections::new(deployment.idle_timeout_max, deployment.callers),
            timers: Timers::new(),
            deployment,
        }
    }

    /// Takes into account that an earlier process of this server may have left runs on the cores and calls at
    /// the shared dependency. To be called before the first event.
    pub fn expect_predecessor(&mut self, now: Nanos) {
        self.inherited.assume(self.deployment.cores, now);
        self.calls.expect_predecessor();
    }

    /// Applies `change` to the settings of fair queueing, such as the weights of tenants and the burst size.
    pub fn reconfigure_fair_queueing(&mut self, now: Nanos, change: &SettingsChange) {
        if let Some(fair) = self.quotas.fair_queue() {
            fair.reconfigure(change, now);
        }
    }

    /// Sets the target utilization of the cores, from 0 to 1.
    pub fn set_target_utilization(&mut self, target_utilization: f64) {
        self.deployment.target_utilization = target_utilization;
    }

    /// Returns the fair queueing scheduler; `None` if fair queueing is off.
    pub fn fair_queue(&mut self) -> Option<&mut FairScheduler> {
        self.quotas.fair_queue()
    }

    /// Sets the controller's clock to `now` and refills the call budget for the elapsed time.
    fn advance(&mut self, now: Nanos) {
        self.calls.advance(now.saturating_sub(self.now));
        self.now = now;
    }

    fn apply_rules(&mut self, host: &mut dyn Host) {
        self.keys.expire(self.now);
        while RULES.iter().any(|rule| rule(self, host).is_some()) {}
    }

    fn effect(&self, invocation: &Invocation) -> Effect {
        self.deployment.operations[invocation.operation].effect
    }
}
