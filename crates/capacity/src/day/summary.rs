//! Calculates the results of the simulated day: the delays of changes, and the catch-up times of returned
//! servers.

use super::run::{PublishedChange, ReturnedServer, Run};
use super::{Costs, Day, DayScale};
use crate::scale::SECOND_NS;
use meadowstream_membership::Nanos;
use std::collections::BTreeMap;

/// Maximum length of the list of the slowest configuration changes.
const SLOWEST_MAX: usize = 8;
/// Delay in seconds that is used in calculations if a server never applied a change.
const NEVER_SECONDS: f64 = f64::INFINITY;
/// Delay in seconds that is printed if a server never applied a change.
const NEVER_PRINTED_SECONDS: f64 = 1e9;

/// Revision that a server applied, and the time at which the server applied the revision.
struct Application {
    /// Time at which the server applied the revision, in simulated Unix nanoseconds.
    at: Nanos,
    /// Number of the revision.
    number: u64,
}

/// Revisions that each server applied, oldest first. The key is the index of a server.
struct Applications(BTreeMap<usize, Vec<Application>>);

impl Applications {
    fn of(run: &Run) -> Applications {
        let mut by_server: BTreeMap<usize, Vec<Application>> = BTreeMap::new();
        for applied in &run.fleet.applied {
            let application = Application { at: applied.at, number: applied.number };
            by_server.entry(applied.node).or_default().push(application);
        }
        Applications(by_server)
    }

    /// Returns the time from `from` until a server applied the revision `number` or a later revision, in
    /// seconds. Returns `None` if the server never applied such a revision.
    fn seconds_until(&self, server: usize, from: Nanos, number: u64) -> Option<f64> {
        let applications = self.0.get(&server)?;
        let first = applications.iter().find(|application| application.number >= number)?;
        Some(first.at.saturating_sub(from) as f64 / SECOND_NS as f64)
    }

    /// Returns the delay of a change at each of its receivers, in seconds. The delay is [`NEVER_SECONDS`] for
    /// a receiver that never applied the change.
    fn receiver_seconds(&self, change: &PublishedChange) -> Vec<f64> {
        let seconds =
            |server: &usize| self.seconds_until(*server, change.at, change.number).unwrap_or(NEVER_SECONDS);
        change.receivers.iter().map(seconds).collect()
    }

    /// Returns the longest catch-up time of the returned servers, in seconds. `had_empty_disk` selects the
    /// servers that returned with an empty disk (true) or with an intact disk (false). A server that returned
    /// several times is measured from its last return. Servers that never caught up are left out.
    fn longest_catch_up(&self, returned: &[ReturnedServer], had_empty_disk: bool) -> f64 {
        let is_last = |candidate: &ReturnedServer| {
            !returned.iter().any(|other| other.server == candidate.server && other.at > candidate.at)
        };
        returned
            .iter()
            .filter(|returned| returned.had_empty_disk == had_empty_disk && is_last(returned))
            .filter_map(|returned| self.seconds_until(returned.server, returned.at, returned.newest_revision))
            .fold(0.0, f64::max)
    }

    /// Describes the configuration changes with the longest delays. Each description names the slowest
    /// receiver of the change: of the servers for which the change's delay is measured, the one with the
    /// longest delay.
    fn slowest(&self, run: &Run) -> Vec<String> {
        struct SlowChange {
            seconds: f64,
            description: String,
        }
        let mut slowest: Vec<SlowChange> = Vec::new();
        for change in &run.published {
            let seconds = |server: &usize| {
                let seconds = self.seconds_until(*server, change.at, change.number);
                (seconds.unwrap_or(NEVER_SECONDS), *server)
            };
            let last = change.receivers.iter().map(seconds).max_by(|a, b| a.0.total_cmp(&b.0));
            if let Some((seconds, server)) = last {
                let at = (change.at - run.started_at) as f64 / SECOND_NS as f64;
                let number = change.number;
                let printed = seconds.min(NEVER_PRINTED_SECONDS);
                let description = format!("{printed:.1} s: s{server} to {number} published at {at:.0} s");
                slowest.push(SlowChange { seconds, description });
            }
        }
        slowest.sort_by(|a, b| b.seconds.total_cmp(&a.seconds));
        slowest.into_iter().take(SLOWEST_MAX).map(|change| change.description).collect()
    }
}

/// Returns the quantile `share` of `sorted`; NaN if `sorted` is empty. `share` is a number from 0 to 1.
/// `sorted` must be in ascending order.
fn quantile(sorted: &[f64], share: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    sorted.get((last as f64 * share).round() as usize).copied().unwrap_or(f64::NAN)
}

/// Calculates the measurements of the simulated day after its end.
pub(super) fn summary(scale: &DayScale, run: &Run, costs: Costs) -> Day {
    let applications = Applications::of(run);
    let (mut each, mut everywhere) = (Vec::new(), Vec::new());
    for change in &run.published {
        let seconds = applications.receiver_seconds(change);
        everywhere.push(seconds.iter().copied().fold(0.0, f64::max));
        each.extend(seconds);
    }
    each.sort_by(f64::total_cmp);
    everywhere.sort_by(f64::total_cmp);
    Day {
        scale: *scale,
        changes: run.published.len(),
        not_published: run.not_published,
        restarts: run.restarts,
        p50_seconds: quantile(&each, 0.5),
        p99_seconds: quantile(&each, 0.99),
        max_seconds: quantile(&each, 1.0),
        everywhere_p50_seconds: quantile(&everywhere, 0.5),
        everywhere_p99_seconds: quantile(&everywhere, 0.99),
        catch_up_max_seconds: applications.longest_catch_up(&run.returned, false),
        empty_disk_catch_up_max_seconds: applications.longest_catch_up(&run.returned, true),
        returns: run.returned.len(),
        slowest: applications.slowest(run),
        bytes_per_second: costs.bytes_per_second,
        leader_bytes_per_second: costs.leader_bytes_per_second,
        processor_percent: costs.processor_percent,
    }
}
