//! Checks whether servers comply with their orders, according to their reports. Detects failed servers.

use super::{Coordinator, FleetView, Interval};
use crate::Nanos;
use crate::metrics::IntervalMetrics;
use crate::wire::Report;
use std::collections::BTreeSet;

/// Number of latest orders that a server may leave unanswered. A server that leaves more orders unanswered
/// counts as silent.
const SILENT_ORDERS: u64 = 2;

/// The latest report of a server.
pub(super) struct ReceivedReport {
    pub(super) received_at: Nanos,
    pub(super) report: Report,
    /// Number that identifies the latest interval of this server that the coordinator has processed.
    /// [`Coordinator::take_new_intervals`] sets this number, so that it returns the metrics of each interval
    /// only once.
    last_interval: Option<u64>,
}

impl ReceivedReport {
    pub(super) fn new(received_at: Nanos, report: Report) -> ReceivedReport {
        ReceivedReport { received_at, report, last_interval: None }
    }
}

/// Metrics that a server reported for an interval that the coordinator has not processed yet.
pub(super) struct NewInterval {
    pub(super) server: String,
    pub(super) metrics: Vec<IntervalMetrics>,
}

impl Coordinator {
    /// Returns whether a server complies with its order, according to its latest report. A server that was
    /// selected for the change must run the plan's new settings or program and refuse nothing. Any other
    /// server must run its own settings or program. A server without a report does not comply.
    pub(super) fn complies(&self, server: &str) -> bool {
        let Some(received) = self.reports.get(server) else { return false };
        if self.state.changed.contains(server) {
            received.report.running_hash == self.plan.candidate && received.report.refused.is_none()
        } else {
            !received.report.adopted
        }
    }

    /// Returns whether the latest report of a server arrived less than the response timeout ago.
    fn has_recent_report(&self, now: Nanos, server: &str) -> bool {
        let received = self.reports.get(server);
        received.is_some_and(|received| now.saturating_sub(received.received_at) < self.plan.response_timeout)
    }

    /// Returns the name of an alive server that is silent or has not recently reported that it complies with
    /// its order; `None` if there is no such server.
    pub(super) fn first_unready<'a>(&self, interval: &Interval<'a>) -> Option<&'a String> {
        let is_ready = |server: &String| {
            self.complies(server) && self.has_recent_report(interval.now, server) && !self.is_silent(server)
        };
        interval.view.alive.iter().find(|server| !is_ready(server))
    }

    /// Returns whether a server is silent. A server is silent if it has never reported. It is also silent if
    /// it has left more than [`SILENT_ORDERS`] of the latest orders unanswered.
    fn is_silent(&self, server: &str) -> bool {
        let last_answered = self.reports.get(server).map(|received| received.report.order_sequence);
        last_answered.is_none_or(|last_answered| last_answered + SILENT_ORDERS < self.order_sequence)
    }

    /// Counts the time for which each alive server has been overdue. A server is overdue while it is silent
    /// or does not comply with its order. During a rollback, all time counts. Otherwise, time counts only
    /// while the fleet's view is settled, because an unsettled view may mean that servers are unreachable and
    /// not at fault.
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

    /// Counts for each changed server the time for which it has been absent. A changed server is absent if it
    /// is not alive in the view. The view forgets dead servers, so the plan's own list of changed servers
    /// decides who is absent.
    ///
    /// No time is counted while an unchanged server is missing, because this suggests a network partition.
    /// The time counted so far is kept until the server is alive again.
    pub(super) fn count_absent(&mut self, view: &FleetView, elapsed: Nanos) {
        let alive: BTreeSet<&String> = view.alive.iter().collect();
        let is_changed = |server| self.state.changed.contains(server);
        let counted = if view.missing.iter().all(is_changed) { elapsed } else { 0 };
        let absent = self.state.changed.iter().filter(|server| !alive.contains(server));
        self.absent_for = absent
            .map(|server| (server.clone(), self.absent_for.get(server).unwrap_or(&0) + counted))
            .collect();
    }

    /// Returns the reason for a rollback or a stop if a server has failed. A server has failed if it has been
    /// overdue for the response timeout, or if it has been absent for the response timeout.
    pub(super) fn find_failure(&self) -> Option<String> {
        let timeout = self.plan.response_timeout;
        if self.absent_for.values().any(|absent_for| *absent_for >= timeout) {
            // Absence is counted only while no unchanged server is missing, so the change is the likely
            // cause. A network partition would probably affect unchanged servers, too.
            return Some(format!("{} gone since the change", self.absent_servers()));
        }
        let (server, _) = self.overdue.iter().find(|(_, overdue)| **overdue >= timeout)?;
        let Some(received) = self.reports.get(server) else { return Some(format!("{server} never reports")) };
        Some(match &received.report.refused {
            Some(reason) => format!("{server} refuses: {reason}"),
            None => format!("{server} does not report that it runs what it was ordered to"),
        })
    }

    /// Returns the names of the absent changed servers, separated by commas.
    pub(super) fn absent_servers(&self) -> String {
        self.absent_for.keys().map(String::as_str).collect::<Vec<_>>().join(", ")
    }

    /// Returns the metrics of each alive server that has reported a new interval since the last call of this
    /// function.
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
