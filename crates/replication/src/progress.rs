//! Who goes by which revision, as members report it to a replica, and whom the leader still waits for. A
//! member of the fleet that has not reported is asked; one that does not answer takes no part: a server of an
//! older release, or an operator's command.

use crate::Nanos;
use crate::message::Report;
use std::collections::BTreeMap;

/// A member that has not come to the newest revision is asked again after so long.
const ASK_AGAIN: Nanos = 2_000_000_000;
/// One that takes no part is asked again after so long: it may have been started anew.
const ASK_SILENT_AGAIN: Nanos = 60_000_000_000;
/// Questions without an answer after which a member takes no part.
const SILENT_AFTER: u32 = 3;
/// Members asked at once at the most.
const ASKED_AT_ONCE: usize = 32;

#[derive(Clone, Debug, Default)]
struct Known {
    report: Option<Report>,
    asked: Nanos,
    /// Questions since it was last heard.
    unanswered: u32,
}

impl Known {
    fn is_silent(&self) -> bool {
        self.report.is_none() && self.unanswered >= SILENT_AFTER
    }

    fn may_be_asked(&self, now: Nanos) -> bool {
        let wait = if self.is_silent() { ASK_SILENT_AGAIN } else { ASK_AGAIN };
        self.unanswered == 0 || now >= self.asked + wait
    }
}

#[derive(Debug, Default)]
pub struct ProgressTracker {
    members: BTreeMap<String, Known>,
    /// When each of the last revisions was committed.
    committed: BTreeMap<u64, Nanos>,
}

/// One that does not go by the newest revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LaggingMember {
    pub name: String,
    /// What it goes by; `None` where it has not reported yet.
    pub applied: Option<u64>,
    /// Since when the oldest revision that it lacks has been committed here.
    pub since: Nanos,
    pub rejected: Option<(u64, String)>,
}

/// Revisions whose time is remembered.
const TIMES_KEPT: usize = 1024;

impl ProgressTracker {
    pub fn on_report(&mut self, name: &str, report: Report) {
        let known = self.members.entry(name.to_string()).or_default();
        (known.report, known.unanswered) = (Some(report), 0);
    }

    pub fn committed(&mut self, number: u64, now: Nanos) {
        self.committed.entry(number).or_insert(now);
        while self.committed.len() > TIMES_KEPT {
            self.committed.pop_first();
        }
    }

    /// Forgets those that the fleet's view does not hold.
    pub fn retain(&mut self, alive: impl Fn(&str) -> bool) {
        self.members.retain(|name, _| alive(name));
    }

    fn takes_part(&self, name: &str) -> bool {
        self.members.get(name).is_none_or(|known| !known.is_silent())
    }

    /// How many of the living take part, or may.
    pub fn count<'a>(&self, alive: impl Iterator<Item = &'a String>) -> usize {
        alive.filter(|name| self.takes_part(name)).count()
    }

    /// Those of the living that take part and do not go by `number`.
    pub fn lagging<'a>(&self, alive: impl Iterator<Item = &'a String>, number: u64) -> Vec<LaggingMember> {
        alive.filter(|name| self.takes_part(name)).filter_map(|name| self.lacks(name, number)).collect()
    }

    fn lacks(&self, name: &str, number: u64) -> Option<LaggingMember> {
        let report = self.members.get(name).and_then(|known| known.report.as_ref());
        let applied = report.map(|report| report.applied);
        if applied.is_some_and(|applied| applied >= number) {
            return None;
        }
        let first = self.committed.range(applied.unwrap_or(0) + 1..).next();
        Some(LaggingMember {
            name: name.to_string(),
            applied,
            since: first.map_or(0, |(_, at)| *at),
            rejected: report.and_then(|report| report.rejected.clone()),
        })
    }

    /// Those to be asked for a report now.
    pub fn to_poll<'a>(
        &mut self,
        alive: impl Iterator<Item = &'a String>,
        number: u64,
        now: Nanos,
    ) -> Vec<String> {
        let mut asked = Vec::new();
        for name in alive {
            if asked.len() == ASKED_AT_ONCE {
                break;
            }
            if self.lacks(name, number).is_none() {
                continue;
            }
            let known = self.members.entry(name.clone()).or_default();
            if known.may_be_asked(now) {
                known.asked = now;
                known.unanswered = known.unanswered.saturating_add(1);
                asked.push(name.clone());
            }
        }
        asked
    }
}
