//! Which revision each member has applied, as members report it to a replica, and which of them lag. A member
//! of the fleet that has not reported is polled; one that does not answer takes no part: it is a server
//! without replicated configuration, or an operator's command.

use crate::message::{Rejection, Report};
use crate::time::{Nanos, SECOND_NS};
use std::collections::BTreeMap;

/// A member that has not answered a poll is polled again after this long.
const REPOLL_UNANSWERED_INTERVAL_NS: Nanos = 2 * SECOND_NS;
/// One that takes no part is polled at this interval: it may have been restarted with other settings.
const SILENT_POLL_INTERVAL_NS: Nanos = 60 * SECOND_NS;
/// Unanswered polls after which a member that never reported takes no part.
const SILENT_AFTER_POLLS: u32 = 3;
/// Most members polled at once.
const POLLS_AT_ONCE_MAX: usize = 32;
/// Revisions whose time of commitment is remembered.
const COMMIT_TIMES_MAX: usize = 1024;

/// What is known of one member.
#[derive(Clone, Debug, Default)]
struct MemberProgress {
    report: Option<Report>,
    polled_at: Nanos,
    /// Polls since its last report.
    unanswered: u32,
}

impl MemberProgress {
    /// Whether the member takes no part.
    fn is_silent(&self) -> bool {
        self.report.is_none() && self.unanswered >= SILENT_AFTER_POLLS
    }

    fn may_be_polled(&self, now: Nanos) -> bool {
        let interval = if self.is_silent() { SILENT_POLL_INTERVAL_NS } else { REPOLL_UNANSWERED_INTERVAL_NS };
        self.unanswered == 0 || now >= self.polled_at + interval
    }
}

/// What a replica knows of the members' progress.
#[derive(Debug, Default)]
pub struct ProgressTracker {
    members: BTreeMap<String, MemberProgress>,
    /// When each of the last revisions was committed here, by number.
    committed_at: BTreeMap<u64, Nanos>,
}

/// A member that has not applied the newest revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LaggingMember {
    /// Its name.
    pub name: String,
    /// The last revision that it applied; `None` where it has not reported yet.
    pub applied: Option<u64>,
    /// When the oldest revision that it lacks was committed here, in Unix nanoseconds; 0 where unknown.
    pub since: Nanos,
    /// The last revision that it rejected.
    pub rejected: Option<Rejection>,
}

impl ProgressTracker {
    /// A member has reported.
    pub fn on_report(&mut self, name: &str, report: Report) {
        let member = self.members.entry(name.to_string()).or_default();
        member.report = Some(report);
        member.unanswered = 0;
    }

    /// A revision was committed here.
    pub fn on_commit(&mut self, number: u64, now: Nanos) {
        self.committed_at.entry(number).or_insert(now);
        while self.committed_at.len() > COMMIT_TIMES_MAX {
            self.committed_at.pop_first();
        }
    }

    /// Forgets the members that are not alive.
    pub fn retain(&mut self, is_alive: impl Fn(&str) -> bool) {
        self.members.retain(|name, _| is_alive(name));
    }

    fn takes_part(&self, name: &str) -> bool {
        self.members.get(name).is_none_or(|member| !member.is_silent())
    }

    /// How many of the living take part, or may.
    pub fn count<'a>(&self, alive: impl Iterator<Item = &'a String>) -> usize {
        alive.filter(|name| self.takes_part(name)).count()
    }

    /// The living that take part and have not applied `number`.
    pub fn lagging<'a>(&self, alive: impl Iterator<Item = &'a String>, number: u64) -> Vec<LaggingMember> {
        alive.filter(|name| self.takes_part(name)).filter_map(|name| self.lag_of(name, number)).collect()
    }

    /// `None` where the member has applied `number`.
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

    /// The members to poll now for a report; they count as polled.
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
