//! Coordinates the rollout of one plan. The coordinator is a state machine without I/O and without a clock.
//!
//! The caller calls [`Coordinator::handle_interval`] once per interval. The arguments are the time, the
//! fleet's view and whether the coordinator holds the rollout lease. The caller also calls
//! [`Coordinator::handle_report`] for each received report. The interval handler and
//! [`Coordinator::handle_abort`] return actions, which the caller must carry out in order. A state is always
//! saved before the first order that depends on it.
//!
//! An order names the settings or program that a server must run. Orders do not name single steps. Orders
//! therefore stay the same until the stage changes, and the next order makes up for a lost order. A
//! coordinator that restarts from its saved state sends the same orders and repeats the comparison of the
//! current stage.

mod baking;
mod compliance;
mod rollback;
mod stages;
mod state;
mod summary;

pub use state::{PersistedState, Phase};

use crate::Nanos;
use crate::canary::Canary;
use crate::plan::{Plan, PlanError};
use crate::wire::{CLASSES_MAX, Order, Report};
use compliance::ReceivedReport;
use std::collections::BTreeMap;

/// Membership view of the coordinator: the servers of the fleet and their state.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// Names of the alive servers.
    pub alive: Vec<String>,
    /// Names of the servers in the view that are suspect or down. A down server stays in the view for some
    /// time.
    pub missing: Vec<String>,
    /// Time since the last change of the view, in nanoseconds.
    pub settled_for: Nanos,
}

/// Action that the caller must carry out. Actions must be carried out in the order in which they are
/// returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Save the coordinator's state to disk. The state must be durable before any later action is carried
    /// out.
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

/// Reason why a coordinator cannot be created.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum CoordinatorError {
    /// The plan is invalid.
    #[error(transparent)]
    Plan(#[from] PlanError),
    /// The saved state belongs to another plan.
    #[error("the saved state belongs to plan {saved:?}, not {requested:?}")]
    OtherPlan {
        /// Name of the plan to which the saved state belongs.
        saved: String,
        /// Name of the requested plan.
        requested: String,
    },
    /// The candidate (the new settings or program) differs from the candidate with which the plan began.
    #[error("the candidate is {requested:016x}, but the plan began with candidate {saved:016x}")]
    OtherCandidate {
        /// Hash of the candidate with which the plan began, from the saved state.
        saved: u64,
        /// Hash of the requested candidate.
        requested: u64,
    },
    /// The current stage in the saved state does not exist in the plan.
    #[error("the saved state is at stage {stage}, which the plan does not have")]
    UnknownStage {
        /// Number of the stage that the saved state names as the current stage. The first stage has the
        /// number 1.
        stage: usize,
    },
}

/// The coordinator of one plan.
pub struct Coordinator {
    plan: Plan,
    /// Start time of this coordinator, in nanoseconds since the Unix epoch.
    incarnation: u64,
    /// Sequence number of the orders that this coordinator sent last. All orders of one interval have the
    /// same number. The numbers begin after the incarnation, so that no report on an order of an earlier
    /// coordinator is taken for a report on an order of this one.
    order_sequence: u64,
    state: PersistedState,
    /// Time at which the current phase of the plan began, in nanoseconds on the caller's clock.
    phase_began: Nanos,
    /// Time in nanoseconds for which this coordinator has ordered the servers to roll back. Only time with
    /// the rollout lease is counted.
    rolled_back_for: Nanos,
    /// Sequence number of the last order before the rollback; the incarnation if this coordinator has only
    /// sent orders to roll back. Reports on this order and on earlier ones confirm nothing.
    last_order_before_rollback: u64,
    /// Time in nanoseconds for which the current stage has baked so far. Time counts only after the warm-up,
    /// while this coordinator holds the rollout lease and the view is settled.
    baked: Nanos,
    /// Number of verdicts in the current stage. A verdict counts only if there were enough intervals to
    /// compare servers. After `VERDICTS_FACTOR` times the planned number of verdicts,
    /// [`Coordinator::next_verdict`] stops comparing servers, but verdicts are still counted.
    verdicts: usize,
    /// Metric values that servers reported in the current stage, for the comparison of changed with unchanged
    /// servers.
    canary: Canary,
    /// Time in nanoseconds for which each server has been silent or has not complied with its orders, by
    /// server name. Only time with the rollout lease is counted. Time without a settled view is counted only
    /// during a rollback.
    overdue: BTreeMap<String, Nanos>,
    /// Time in nanoseconds for which each absent server has been absent, by server name. Exactly the changed
    /// servers that are not alive in the view are absent, whether or not the view still lists them. Only time
    /// with the rollout lease and with no unchanged server missing is counted.
    absent_for: BTreeMap<String, Nanos>,
    /// The latest report of each server, by server name.
    reports: BTreeMap<String, ReceivedReport>,
    /// Time of the last call of [`Coordinator::handle_interval`], in nanoseconds on the caller's clock.
    last_interval: Option<Nanos>,
    /// The last message shown to the operator.
    last_message: String,
}

/// Inputs that the coordinator handles at the end of an interval.
struct Interval<'a> {
    now: Nanos,
    /// Time since the end of the previous interval, in nanoseconds.
    elapsed: Nanos,
    view: &'a FleetView,
    /// Whether the view is settled. The view is settled if at least one server is alive, no server is
    /// missing, every changed server is alive, and the view has not changed for the plan's settle time.
    is_settled: bool,
}

impl Coordinator {
    /// Creates a coordinator for a plan. The coordinator continues from the state `saved`, or begins the plan
    /// if `saved` is `None`.
    pub fn new(
        plan: Plan,
        saved: Option<PersistedState>,
        incarnation: u64,
        now: Nanos,
    ) -> Result<Coordinator, CoordinatorError> {
        plan.check()?;
        let mut state = saved.unwrap_or_else(|| PersistedState::new(&plan));
        state.check_belongs_to(&plan)?;
        state.complete_rollback();
        Ok(Coordinator {
            plan,
            incarnation,
            order_sequence: incarnation,
            state,
            phase_began: now,
            rolled_back_for: 0,
            last_order_before_rollback: incarnation,
            baked: 0,
            verdicts: 0,
            canary: Canary::default(),
            overdue: BTreeMap::new(),
            absent_for: BTreeMap::new(),
            reports: BTreeMap::new(),
            last_interval: None,
            last_message: String::new(),
        })
    }

    /// Returns the current state of the plan, as [`Action::Save`] saves it.
    pub fn state(&self) -> &PersistedState {
        &self.state
    }

    /// Handles a report of a server. Each report answers one order. Ignores a report with too many classes
    /// and a report on an order that was never sent. Also ignores a report if the coordinator already has a
    /// report of this server on the same or a later order.
    pub fn handle_report(&mut self, now: Nanos, server: &str, report: Report) {
        let sent_orders = self.incarnation + 1..=self.order_sequence;
        let answers_an_order = sent_orders.contains(&report.order_sequence);
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

    /// Handles the operator's request to abort the rollout. Rolls back the change.
    pub fn handle_abort(&mut self, now: Nanos) -> Vec<Action> {
        let mut actions = Vec::new();
        if !self.state.phase.has_ended() && !self.is_rolling_back() {
            self.roll_back(now, "aborted by the operator".into(), &mut actions);
        }
        actions
    }

    /// Handles the end of an interval. Returns the actions that the caller must carry out.
    pub fn handle_interval(&mut self, now: Nanos, view: &FleetView, has_lease: bool) -> Vec<Action> {
        let elapsed = now.saturating_sub(self.last_interval.unwrap_or(now));
        self.last_interval = Some(now);
        let mut actions = Vec::new();
        if self.state.phase.has_ended() {
            return actions;
        }
        if !has_lease {
            // Without the lease, this coordinator sends no orders and compares no values. Another coordinator
            // may hold the lease, and only the holder may send orders.
            self.canary.discard_interval();
            self.notify(
                &mut actions,
                "waits for the lease on rollouts: another plan holds it, or no majority is reachable",
            );
            return actions;
        }
        self.count_absent(view, elapsed);
        let is_complete = view.missing.is_empty() && self.absent_for.is_empty() && !view.alive.is_empty();
        let is_settled = is_complete && view.settled_for >= self.plan.settle_time;
        let interval = Interval { now, elapsed, view, is_settled };
        self.count_overdue(&interval);
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

    /// Sends an order to each server in the view. Missing servers get an order, too, because they may be
    /// unreachable only for this coordinator.
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

    /// Adds the action that saves the current state. The caller must add this action before any action that
    /// depends on this state.
    fn save(&self, actions: &mut Vec<Action>) {
        actions.push(Action::Save(Box::new(self.state.clone())));
    }

    /// Shows a message to the operator. A message that equals the last shown message is not repeated.
    fn notify(&mut self, actions: &mut Vec<Action>, message: &str) {
        if self.last_message != message {
            self.last_message = message.to_string();
            actions.push(Action::Notify { message: message.to_string() });
        }
    }
}
