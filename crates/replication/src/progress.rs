//! Tracks which revision each member has applied, according to the reports that the members send to this
//! replica. Members that lag or have not reported yet are polled for a report. A member that has never
//! reported and leaves several polls unanswered is treated as non-participating. Such a member is a server
//! without replicated configuration, or an operator's command that has joined the fleet, such as `publish`.
//!
//! A member that has reported and is not alive any more is away. It is not waited for, since it pulls the
//! newest revision when it returns, but the operator is told that it has not applied the revision.

use crate::message::{Rejection, Report};
use crate::time::{Nanos, SECOND_NS};
use std::collections::BTreeMap;

/// Interval between two polls of a member that has not answered the last poll. A longer interval applies to
/// members that are treated as non-participating.
const UNANSWERED_POLL_INTERVAL_NS: Nanos = 2 * SECOND_NS;
/// Interval between two polls of a member that is treated as non-participating. Polls continue, since the
/// member may have been restarted with other settings.
const NON_PARTICIPATING_POLL_INTERVAL_NS: Nanos = 60 * SECOND_NS;
/// Number of unanswered polls after which a member is treated as non-participating, if it has never sent a
/// report.
const NON_PARTICIPATING_AFTER_POLLS: u32 = 3;
/// Time after which a member that is away is forgotten. Many of the members that are away for so long have
/// been replaced under other names.
const AWAY_MAX_NS: Nanos = 60 * 60 * SECOND_NS;
/// Maximum number of members that are polled for a report in one round.
const POLLS_AT_ONCE_MAX: usize = 32;
/// Maximum number of revisions whose commit times are kept. When there are more, the oldest are dropped.
const COMMIT_TIMES_MAX: usize = 1024;

/// Progress of one member.
#[derive(Clone, Debug, Default)]
struct MemberProgress {
    /// The member's last report.
    report: Option<Report>,
    polled_at: Nanos,
    /// Number of polls sent to the member since its last report.
    unanswered: u32,
    /// Time since which the member is not alive, as far as observed; `None` if it is alive.
    away_since: Option<Nanos>,
}

impl MemberProgress {
    /// Returns whether the member is treated as non-participating: it has never sent a report and left
    /// several polls unanswered.
    fn is_non_participating(&self) -> bool {
        self.report.is_none() && self.unanswered >= NON_PARTICIPATING_AFTER_POLLS
    }

    fn may_be_polled(&self, now: Nanos) -> bool {
        let interval = if self.is_non_participating() {
            NON_PARTICIPATING_POLL_INTERVAL_NS
        } else {
            UNANSWERED_POLL_INTERVAL_NS
        };
        self.unanswered == 0 || now >= self.polled_at + interval
    }
}

/// The progress of each member in applying revisions, as known to this replica.
#[derive(Debug, Default)]
pub struct ProgressTracker {
    members: BTreeMap<String, MemberProgress>,
    /// Commit times of the latest revisions, by revision number. A commit time is the time at which this
    /// replica learned that the revision was committed.
    committed_at: BTreeMap<u64, Nanos>,
}

/// A member that has not applied the newest revision. States the last revision that the member has applied,
/// and since when the member lags.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LaggingMember {
    /// The member's name.
    pub name: String,
    /// Number of the last revision that the member applied; `None` if the member has not sent a report yet.
    pub applied: Option<u64>,
    /// Time since which the member lags, in Unix nanoseconds. This is the commit time, on this replica, of
    /// the oldest revision that the member has not applied. The value is 0 if this time is unknown.
    pub since: Nanos,
    /// The last revision that the member rejected. `None` if it has rejected none, or has since applied a
    /// later revision.
    pub rejected: Option<Rejection>,
}

impl ProgressTracker {
    /// Records a member's report.
    pub fn on_report(&mut self, name: &str, report: Report) {
        let member = self.members.entry(name.to_string()).or_default();
        member.report = Some(report);
        member.unanswered = 0;
    }

    /// Records the time `now` as the commit time of a revision on this replica.
    pub fn on_commit(&mut self, number: u64, now: Nanos) {
        self.committed_at.entry(number).or_insert(now);
        while self.committed_at.len() > COMMIT_TIMES_MAX {
            self.committed_at.pop_first();
        }
    }

    /// Records which members are away at the time `now`. Forgets members that are away and have never
    /// reported, and members that have been away for an hour.
    pub fn observe_away(&mut self, now: Nanos, is_away: impl Fn(&str) -> bool) {
        self.members.retain(|name, member| {
            if !is_away(name) {
                member.away_since = None;
                return true;
            }
            let away_since = *member.away_since.get_or_insert(now);
            member.report.is_some() && now.saturating_sub(away_since) < AWAY_MAX_NS
        });
    }

    fn participates(&self, name: &str) -> bool {
        self.members.get(name).is_none_or(|member| !member.is_non_participating())
    }

    /// Counts the members of `alive` that participate in replication. A member that has not sent a report yet
    /// is counted until it is treated as non-participating, which happens after several unanswered polls.
    pub fn count<'a>(&self, alive: impl Iterator<Item = &'a String>) -> usize {
        alive.filter(|name| self.participates(name)).count()
    }

    /// Returns the members of `alive` that participate in replication but have not applied revision `number`.
    pub fn lagging<'a>(&self, alive: impl Iterator<Item = &'a String>, number: u64) -> Vec<LaggingMember> {
        alive.filter(|name| self.participates(name)).filter_map(|name| self.lag_of(name, number)).collect()
    }

    /// Returns the members that are away and had not applied revision `number` when they reported last.
    pub fn away(&self, is_away: impl Fn(&str) -> bool, number: u64) -> Vec<LaggingMember> {
        let away = self.members.iter().filter(|(name, member)| member.report.is_some() && is_away(name));
        away.filter_map(|(name, _)| self.lag_of(name, number)).collect()
    }

    /// Returns how far a member lags behind revision `number`; `None` if the member has applied this
    /// revision.
    fn lag_of(&self, name: &str, number: u64) -> Option<LaggingMember> {
        let report = self.members.get(name).and_then(|member| member.report.as_ref());
        let applied = report.map(|report| report.applied);
        if applied.is_some_and(|applied| applied >= number) {
            return None;
        }
        let oldest_lacking = self.committed_at.range(applied.unwrap_or(0) + 1..).next();
        Some(LaggingMember {
            name: name.to_string(),
            applied,
            since: oldest_lacking.map_or(0, |(_, at)| *at),
            rejected: report.and_then(|report| report.rejected.clone()),
        })
    }

    /// Selects the members that are to be polled for a report now, and records them as polled. A member of
    /// `alive` is selected if it has not applied revision `number`. A member whose last poll is unanswered is
    /// selected only after the interval between two polls has passed. Selects at most `POLLS_AT_ONCE_MAX`
    /// members.
    pub fn poll<'a>(
        &mut self,
        alive: impl Iterator<Item = &'a String>,
        number: u64,
        now: Nanos,
    ) -> Vec<String> {
        let mut polled = Vec::new();
        for name in alive {
            if polled.len() == POLLS_AT_ONCE_MAX {
                break;
            }
            if self.lag_of(name, number).is_none() {
                continue;
            }
            let member = self.members.entry(name.clone()).or_default();
            if member.may_be_polled(now) {
                member.polled_at = now;
                member.unanswered = member.unanswered.saturating_add(1);
                polled.push(name.clone());
            }
        }
        polled
    }
}
