//! Compliance of servers with their orders, according to their reports, and detection of failed servers.

use super::{Coordinator, FleetView, Interval};
use crate::Nanos;
use crate::metrics::IntervalMetrics;
use crate::wire::Report;

/// A server counts as silent if its latest report answers an order more than this many orders old.
const SILENT_ORDERS: u64 = 2;

/// The latest report of a server.
pub(super) struct ReceivedReport {
    pub(super) received_at: Nanos,
    pub(super) report: Report,
    /// Number of the server's last interval that [`Coordinator::take_new_intervals`] returned.
    last_interval: Option<u64>,
}

impl ReceivedReport {
    pub(super) fn new(received_at: Nanos, report: Report) -> ReceivedReport {
        ReceivedReport { received_at, report, last_interval: None }
    }
}

/// Metrics of a server for an interval that was not processed before.
pub(super) struct NewInterval {
    pub(super) server: String,
    pub(super) metrics: Vec<IntervalMetrics>,
}

impl Coordinator {
    /// Whether the latest report of a server says that it runs the settings or program ordered.
    pub(super) fn complies(&self, server: &str) -> bool {
        let Some(received) = self.reports.get(server) else { return false };
        if self.state.changed.contains(server) {
            received.report.running_hash == self.plan.candidate
        } else {
            !received.report.adopted
        }
    }

    /// Whether a report of the server arrived within the response timeout.
    pub(super) fn has_recent_report(&self, now: Nanos, server: &str) -> bool {
        let received = self.reports.get(server);
        received.is_some_and(|received| now.saturating_sub(received.received_at) < self.plan.response_timeout)
    }

    /// Whether a server has never reported, or its latest report answers an order more than [`SILENT_ORDERS`]
    /// orders old.
    fn is_silent(&self, server: &str) -> bool {
        let last_answered = self.reports.get(server).map(|received| received.report.order_sequence);
        last_answered.is_none_or(|last_answered| last_answered + SILENT_ORDERS < self.order_sequence)
    }

    /// Adds the length of the interval to the overdue time of each alive server that does not comply with its
    /// order or is silent. While the fleet's view is not settled, a server may be unreachable, so time is
    /// then counted only during a rollback.
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

    /// Measures the time for which changed servers, and no others, have been missing from the view. The time
    /// restarts from 0 whenever no server or an unchanged server is missing.
    pub(super) fn count_changed_missing(&mut self, interval: &Interval) {
        let missing = &interval.view.missing;
        let only_changed = missing.iter().all(|server| self.state.changed.contains(server));
        if only_changed && !missing.is_empty() {
            self.changed_missing_for += interval.elapsed;
        } else {
            self.changed_missing_for = 0;
        }
    }

    /// Returns a message if a server counts as failed: if it has been overdue for the response timeout, or if
    /// changed servers, and no others, have been missing from the view for the response timeout.
    pub(super) fn find_failure(&self, view: &FleetView) -> Option<String> {
        let timeout = self.plan.response_timeout;
        if self.changed_missing_for >= timeout {
            // A partition affects changed and unchanged servers. If only changed ones are missing, the change
            // is the likely cause.
            return Some(format!("{} gone since the change", view.missing.join(", ")));
        }
        let (server, _) = self.overdue.iter().find(|(_, overdue)| **overdue >= timeout)?;
        let Some(received) = self.reports.get(server) else { return Some(format!("{server} never reports")) };
        Some(match &received.report.refused {
            Some(reason) => format!("{server} refuses: {reason}"),
            None => format!("{server} does not report that it runs what it was ordered to"),
        })
    }

    /// Returns the metrics of each alive server that has reported a new interval since the last call.
    pub(super) fn take_new_intervals(&mut self, view: &FleetView) -> Vec<NewInterval> {
        let mut new_intervals = Vec::new();
        for server in &view.alive {
            let Some(received) = self.reports.get_mut(server) else { continue };
            if received.last_interval != Some(received.report.interval) {
                received.last_interval = Some(received.report.interval);
                let metrics = received.report.classes.clone();
                new_intervals.push(NewInterval { server: server.clone(), metrics });
            }
        }
        new_intervals
    }
}
