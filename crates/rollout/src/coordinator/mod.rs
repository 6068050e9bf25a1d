//! The coordinator of one plan, a state machine without I/O or clock.
//!
//! [`Coordinator::handle_interval`] is called once an interval with the time, the fleet's view and whether
//! the coordinator holds the lease on rollouts; [`Coordinator::handle_report`] with each report that arrives.
//! The actions to carry out come back, in order: the state is saved before the first order that follows from
//! it.
//!
//! An order says what a server is to run, not what to do: orders are the same until the stage changes, so
//! that the next one makes up for a lost one. A coordinator that is started again from its saved state sends
//! the same orders, and bakes the stage anew.

mod baking;
mod compliance;
mod rollback;
mod stages;
mod state;

pub use state::{PersistedState, Phase};

use crate::Nanos;
use crate::canary::Canary;
use crate::plan::{Plan, PlanError};
use crate::wire::{CLASSES_MAX, Order, Report};
use compliance::ReceivedReport;
use std::collections::BTreeMap;

/// The fleet as the coordinator's own view has it.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// Names of the servers alive.
    pub alive: Vec<String>,
    /// Names of the servers suspect, or down and not yet forgotten.
    pub missing: Vec<String>,
    /// How long the view has not changed, in nanoseconds.
    pub settled_for: Nanos,
}

/// What the caller is to carry out, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Write the state durably to disk before anything that follows is done.
    Save(Box<PersistedState>),
    /// Send an order to a server.
    SendOrder {
        /// Name of the server.
        server: String,
        /// The order.
        order: Order,
    },
    /// Show a message to the operator.
    Notify {
        /// The message.
        message: String,
    },
}

/// Why a coordinator cannot be made.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum CoordinatorError {
    /// The plan cannot be carried out.
    #[error(transparent)]
    Plan(#[from] PlanError),
    /// The saved state is that of another plan.
    #[error("the state is that of plan {saved:?}, not {requested:?}")]
    OtherPlan {
        /// Name of the plan in the state.
        saved: String,
        /// Name of the requested plan.
        requested: String,
    },
    /// The candidate changed while the plan was under way.
    #[error("the candidate {requested:016x} is not the one that the plan began with, {saved:016x}")]
    OtherCandidate {
        /// Hash of the candidate in the state.
        saved: u64,
        /// Hash of the requested candidate.
        requested: u64,
    },
    /// The plan has fewer stages than the saved state has begun.
    #[error("the state is at stage {stage}, which the plan has not")]
    UnknownStage {
        /// Number of the stage in the state, from 1.
        stage: usize,
    },
}

/// The coordinator of one plan.
pub struct Coordinator {
    plan: Plan,
    /// This coordinator's start in nanoseconds since the epoch.
    incarnation: u64,
    /// Number of the last order.
    order_sequence: u64,
    state: PersistedState,
    phase_began: Nanos,
    /// Bake time that has counted in the present stage.
    baked: Nanos,
    /// Verdicts of the present stage for which there were enough intervals, those beyond the bound included.
    verdicts: usize,
    canary: Canary,
    /// How long each server has not done as ordered; time without lease or a settled view does not count.
    overdue: BTreeMap<String, Nanos>,
    /// How long changed servers have been missing from the view, and no others.
    changed_missing_for: Nanos,
    /// The latest report of each server.
    reports: BTreeMap<String, ReceivedReport>,
    last_interval: Option<Nanos>,
    last_message: String,
}

/// What is known at the end of an interval.
struct Interval<'a> {
    now: Nanos,
    /// Time since the interval before.
    elapsed: Nanos,
    view: &'a FleetView,
    /// Whether the view is complete and has not changed for long enough.
    is_settled: bool,
}

impl Coordinator {
    /// Continues from the saved state of the same plan, or begins the plan.
    pub fn new(
        plan: Plan,
        saved: Option<PersistedState>,
        incarnation: u64,
        now: Nanos,
    ) -> Result<Coordinator, CoordinatorError> {
        plan.check()?;
        let state = saved.unwrap_or_else(|| PersistedState::new(&plan));
        state.check_belongs_to(&plan)?;
        Ok(Coordinator {
            plan,
            incarnation,
            order_sequence: 0,
            state,
            phase_began: now,
            baked: 0,
            verdicts: 0,
            canary: Canary::default(),
            overdue: BTreeMap::new(),
            changed_missing_for: 0,
            reports: BTreeMap::new(),
            last_interval: None,
            last_message: String::new(),
        })
    }

    /// The present state, as it is saved.
    pub fn state(&self) -> &PersistedState {
        &self.state
    }

    /// Handles a server's report. One that answers no order sent so far, or is not later than the latest of
    /// that server, is dropped.
    pub fn handle_report(&mut self, now: Nanos, server: &str, report: Report) {
        let answers_an_order = (1..=self.order_sequence).contains(&report.order_sequence);
        if !answers_an_order || report.classes.len() > CLASSES_MAX {
            return;
        }
        match self.reports.get_mut(server) {
            Some(known) if known.report.order_sequence >= report.order_sequence => {}
            Some(known) => (known.received_at, known.report) = (now, report),
            None => {
                self.reports.insert(server.to_string(), ReceivedReport::new(now, report));
            }
        }
    }

    /// Handles the operator's request to abort: the change is rolled back.
    pub fn handle_abort(&mut self, now: Nanos) -> Vec<Action> {
        let mut actions = Vec::new();
        if !self.state.phase.has_ended() && !self.is_rolling_back() {
            self.roll_back(now, "aborted by the operator".into(), &mut actions);
        }
        actions
    }

    /// Handles the end of an interval.
    pub fn handle_interval(&mut self, now: Nanos, view: &FleetView, has_lease: bool) -> Vec<Action> {
        let elapsed = now.saturating_sub(self.last_interval.unwrap_or(now));
        self.last_interval = Some(now);
        let mut actions = Vec::new();
        if self.state.phase.has_ended() {
            return actions;
        }
        if !has_lease {
            // Another coordinator may hold the lease, and only its holder may order servers.
            self.canary.discard_interval();
            self.notify(
                &mut actions,
                "waits for the lease on rollouts: another plan holds it, or no majority is heard",
            );
            return actions;
        }
        let is_settled =
            view.missing.is_empty() && view.settled_for >= self.plan.settle_time && !view.alive.is_empty();
        let interval = Interval { now, elapsed, view, is_settled };
        self.count_overdue(&interval);
        self.count_changed_missing(&interval);
        match self.state.phase.clone() {
            Phase::Waiting => self.handle_waiting(&interval, &mut actions),
            Phase::Applying => self.handle_applying(&interval, &mut actions),
            Phase::Baking => self.handle_baking(&interval, &mut actions),
            Phase::RollingBack { reason } => self.handle_rolling_back(&interval, reason, &mut actions),
            Phase::Done | Phase::Stopped { .. } | Phase::RolledBack { .. } => {}
        }
        if !self.state.phase.has_ended() {
            self.send_orders(view, &mut actions);
        }
        actions
    }

    /// Orders each server in the view, those missing included, which may only be unreachable from here.
    fn send_orders(&mut self, view: &FleetView, actions: &mut Vec<Action>) {
        self.order_sequence += 1;
        for server in view.alive.iter().chain(&view.missing) {
            let is_changed = self.state.changed.contains(server);
            let order = Order {
                plan: self.plan.name.clone(),
                incarnation: self.incarnation,
                sequence: self.order_sequence,
                kind: self.plan.kind,
                adopt: is_changed.then_some(self.plan.candidate),
            };
            actions.push(Action::SendOrder { server: server.clone(), order });
        }
    }

    fn is_rolling_back(&self) -> bool {
        matches!(self.state.phase, Phase::RollingBack { .. })
    }

    /// Saves the state before what follows from it.
    fn save(&self, actions: &mut Vec<Action>) {
        actions.push(Action::Save(Box::new(self.state.clone())));
    }

    /// Shows a message to the operator unless it was the last one shown.
    fn notify(&mut self, actions: &mut Vec<Action>, message: &str) {
        if self.last_message != message {
            self.last_message = message.to_string();
            actions.push(Action::Notify { message: message.to_string() });
        }
    }
}
