//! Whether servers do as ordered, by their reports, and which one fails to.

use super::{Coordinator, FleetView, Interval};
use crate::Nanos;
use crate::metrics::IntervalMetrics;
use crate::wire::Report;

/// A server is silent when it has answered none of so many of the latest orders.
const SILENT_ORDERS: u64 = 2;

/// The latest report of a server.
pub(super) struct ReceivedReport {
    pub(super) received_at: Nanos,
    pub(super) report: Report,
    /// The last interval of the server that was taken into account.
    last_interval: Option<u64>,
}

impl ReceivedReport {
    pub(super) fn new(received_at: Nanos, report: Report) -> ReceivedReport {
        ReceivedReport { received_at, report, last_interval: None }
    }
}

/// What a server did in an interval that has not been taken into account before.
pub(super) struct NewInterval {
    pub(super) server: String,
    pub(super) metrics: Vec<IntervalMetrics>,
}

impl Coordinator {
    /// Whether a server's latest report says that it runs what it is ordered to.
    pub(super) fn complies(&self, server: &str) -> bool {
        let Some(received) = self.reports.get(server) else { return false };
        if self.state.changed.contains(server) {
            received.report.running_hash == self.plan.candidate
        } else {
            !received.report.adopted
        }
    }

    /// Whether a server has reported within the response timeout.
    pub(super) fn has_recent_report(&self, now: Nanos, server: &str) -> bool {
        let received = self.reports.get(server);
        received.is_some_and(|received| now.saturating_sub(received.received_at) < self.plan.response_timeout)
    }

    /// Whether a server has answered none of the latest orders.
    fn is_silent(&self, server: &str) -> bool {
        let answered = self.reports.get(server).map(|received| received.report.order_sequence);
        answered.is_none_or(|answered| answered + SILENT_ORDERS < self.order_sequence)
    }

    /// Counts the time in which each server could have done as ordered and has not. While the view is not
    /// settled a server may be unreachable, which is not counted, except on the way back.
    pub(super) fn count_overdue(&mut self, interval: &Interval) {
        let is_counted = interval.is_settled || self.is_rolling_back();
        for server in &interval.view.alive {
            if !self.is_silent(server) && self.complies(server) {
                self.overdue.remove(server);
            } else if is_counted {
                *self.overdue.entry(server.clone()).or_default() += interval.elapsed;
            }
        }
    }

    /// Counts how long changed servers are missing from the view and no others.
    pub(super) fn count_changed_missing(&mut self, interval: &Interval) {
        let missing = &interval.view.missing;
        let only_changed = missing.iter().all(|server| self.state.changed.contains(server));
        if only_changed && !missing.is_empty() {
            self.changed_missing_for += interval.elapsed;
        } else {
            self.changed_missing_for = 0;
        }
    }

    /// The failure of a server that has been overdue for the response timeout, if there is one.
    pub(super) fn find_failure(&self, view: &FleetView) -> Option<String> {
        let timeout = self.plan.response_timeout;
        if self.changed_missing_for >= timeout {
            // A partition takes servers of both kinds; where only changed ones are missing, the change is the
            // likely cause.
            return Some(format!("{} gone since the change", view.missing.join(", ")));
        }
        let (server, _) = self.overdue.iter().find(|(_, overdue)| **overdue >= timeout)?;
        let Some(received) = self.reports.get(server) else { return Some(format!("{server} never reports")) };
        Some(match &received.report.refused {
            Some(reason) => format!("{server} refuses: {reason}"),
            None => format!("{server} does not report that it runs what it was ordered to"),
        })
    }

    /// What each server alive did in an interval that it has reported since the last call.
    pub(super) fn take_new_intervals(&mut self, view: &FleetView) -> Vec<NewInterval> {
        let mut new = Vec::new();
        for server in &view.alive {
            let Some(received) = self.reports.get_mut(server) else { continue };
            if received.last_interval != Some(received.report.interval) {
                received.last_interval = Some(received.report.interval);
                let metrics = received.report.classes.clone();
                new.push(NewInterval { server: server.clone(), metrics });
            }
        }
        new
    }
}
