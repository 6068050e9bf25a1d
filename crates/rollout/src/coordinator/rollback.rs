//! The way back, and the end of a plan.

use super::{Action, Coordinator, Interval, Phase};
use crate::Nanos;

/// The way back ends after so many response timeouts, whoever has not confirmed it.
const ROLLBACK_TIMEOUT_FACTOR: Nanos = 2;

impl Coordinator {
    /// Orders every server back from now on.
    pub(super) fn roll_back(&mut self, now: Nanos, reason: String, actions: &mut Vec<Action>) {
        self.state.changed.clear();
        self.state.phase = Phase::RollingBack { reason: reason.clone() };
        self.phase_began = now;
        self.overdue.clear();
        self.save(actions);
        self.notify(actions, &format!("rolls back: {reason}"));
    }

    /// Ends the way back when every server in the view has confirmed it, or after the timeout. A server that
    /// is missing is ordered back when it returns in time.
    pub(super) fn handle_rolling_back(
        &mut self,
        interval: &Interval,
        reason: String,
        actions: &mut Vec<Action>,
    ) {
        let view = interval.view;
        let servers = view.alive.iter().chain(&view.missing);
        let unconfirmed: Vec<String> = servers.filter(|server| !self.is_back(server)).cloned().collect();
        let timeout = self.plan.response_timeout.saturating_mul(ROLLBACK_TIMEOUT_FACTOR);
        let is_timed_out = interval.now.saturating_sub(self.phase_began) >= timeout;
        if unconfirmed.is_empty() || is_timed_out {
            self.end(Phase::RolledBack { reason, unconfirmed }, actions);
        }
    }

    /// Whether a server has reported since the way back began that it does not run the change.
    fn is_back(&self, server: &str) -> bool {
        let received = self.reports.get(server);
        received.is_some_and(|one| one.received_at > self.phase_began && !one.report.adopted)
    }

    /// Ends the plan in a phase for which [`Phase::has_ended`] holds; callers pass no other.
    pub(super) fn end(&mut self, phase: Phase, actions: &mut Vec<Action>) {
        let message = match &phase {
            Phase::Done => "done: all stages went through".to_string(),
            Phase::Stopped { reason } => format!("stopped: {reason}"),
            Phase::RolledBack { reason, unconfirmed } if unconfirmed.is_empty() => {
                format!("rolled back: {reason}")
            }
            Phase::RolledBack { reason, unconfirmed } => {
                format!("rolled back: {reason}; NOT CONFIRMED by {}", unconfirmed.join(", "))
            }
            Phase::Waiting | Phase::Applying | Phase::Baking | Phase::RollingBack { .. } => String::new(),
        };
        self.state.phase = phase;
        self.save(actions);
        self.notify(actions, &message);
    }
}
