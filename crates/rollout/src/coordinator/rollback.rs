//! Rolls back a change and ends a plan.

use super::{Action, Coordinator, Interval, Phase};
use crate::Nanos;
use std::collections::BTreeSet;

/// Maximum duration of a rollback, as a multiple of the response timeout. Time without the rollout lease does
/// not count. After this time, the rollback ends even if some servers have not confirmed it.
const ROLLBACK_TIMEOUT_FACTOR: Nanos = 2;

impl Coordinator {
    /// Begins the rollback. From now on, the orders tell every server to run its own settings or program,
    /// without the change.
    pub(super) fn roll_back(&mut self, now: Nanos, reason: String, actions: &mut Vec<Action>) {
        self.state.begin_rollback(reason.clone());
        self.phase_began = now;
        self.rolled_back_for = 0;
        self.last_order_before_rollback = self.order_sequence;
        self.overdue.clear();
        self.save(actions);
        self.notify(actions, &format!("rolls back: {reason}"));
    }

    /// Ends the rollback when every server that had been changed and every server in the view has confirmed
    /// it, or after a timeout. A missing server that returns before the end of the rollback also gets the
    /// order to roll back.
    pub(super) fn handle_rolling_back(
        &mut self,
        interval: &Interval,
        reason: String,
        actions: &mut Vec<Action>,
    ) {
        self.record_confirmations(actions);
        let view = interval.view;
        let pending = self.state.pending_rollback.iter().flatten();
        let servers: BTreeSet<&String> = view.alive.iter().chain(&view.missing).chain(pending).collect();
        let unconfirmed: Vec<String> =
            servers.into_iter().filter(|server| !self.has_confirmed_rollback(server)).cloned().collect();
        let timeout = self.plan.response_timeout.saturating_mul(ROLLBACK_TIMEOUT_FACTOR);
        self.rolled_back_for += interval.elapsed;
        let is_timed_out = self.rolled_back_for >= timeout;
        if unconfirmed.is_empty() || is_timed_out {
            self.end(Phase::RolledBack { reason, unconfirmed }, actions);
        }
    }

    /// Saves which of the changed servers have confirmed the rollback, so that a restarted coordinator does
    /// not wait for them again.
    fn record_confirmations(&mut self, actions: &mut Vec<Action>) {
        let mut pending = self.state.pending_rollback.take().unwrap_or_default();
        let count = pending.len();
        pending.retain(|server| !self.has_confirmed_rollback(server));
        let has_confirmations = pending.len() < count;
        self.state.pending_rollback = Some(pending);
        if has_confirmations {
            self.save(actions);
        }
    }

    /// Returns whether a server has confirmed the rollback. Its latest report must answer an order of the
    /// rollback, and must state that the server does not run the change. A report on an earlier order may
    /// have been written before the server adopted the change.
    fn has_confirmed_rollback(&self, server: &str) -> bool {
        let received = self.reports.get(server);
        received.is_some_and(|latest| {
            latest.report.order_sequence > self.last_order_before_rollback && !latest.report.adopted
        })
    }

    /// Ends the plan. `phase` is the final phase, for which [`Phase::has_ended`] must be true.
    pub(super) fn end(&mut self, phase: Phase, actions: &mut Vec<Action>) {
        self.state.phase = phase;
        self.save(actions);
        self.notify(actions, &self.state.describe_phase());
    }
}
