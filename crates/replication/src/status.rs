//! Who goes by which revision, as members report it to a replica, and whom the publisher still waits for.

use crate::Nanos;
use crate::message::Report;
use std::collections::BTreeMap;

/// A member that has not come to the newest revision is asked again after so long.
const ASK_AGAIN: Nanos = 2_000_000_000;
/// Members asked at once at the most.
const ASKED_AT_ONCE: usize = 32;

#[derive(Clone, Debug)]
struct Reported {
    report: Report,
    asked: Nanos,
}

#[derive(Debug, Default)]
pub struct Status {
    members: BTreeMap<String, Reported>,
    /// Since when each revision that some lack has been committed.
    committed: BTreeMap<u64, Nanos>,
}

/// One that does not go by the newest revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiting {
    pub name: String,
    /// What it goes by; `None` where it has never reported.
    pub in_force: Option<u64>,
    /// Since when the oldest revision that it lacks has been committed here.
    pub since: Nanos,
    pub refused: Option<(u64, String)>,
}

/// Revisions whose time is remembered.
const TIMES_KEPT: usize = 1024;

impl Status {
    pub fn heard(&mut self, name: &str, report: Report) {
        let asked = self.members.get(name).map_or(0, |known| known.asked);
        self.members.insert(name.to_string(), Reported { report, asked });
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

    pub fn in_force(&self, name: &str) -> Option<u64> {
        self.members.get(name).map(|known| known.report.in_force)
    }

    /// Those of the living that do not go by `number`.
    pub fn waiting<'a>(&self, alive: impl Iterator<Item = &'a String>, number: u64) -> Vec<Waiting> {
        let lacks = |name: &&String| self.in_force(name).is_none_or(|in_force| in_force < number);
        let waiting = |name: &String| {
            let known = self.members.get(name);
            let in_force = known.map(|known| known.report.in_force);
            let first = self.committed.range(in_force.unwrap_or(0) + 1..).next();
            Waiting {
                name: name.clone(),
                in_force,
                since: first.map_or(0, |(_, at)| *at),
                refused: known.and_then(|known| known.report.refused.clone()),
            }
        };
        alive.filter(lacks).map(waiting).collect()
    }

    /// Those to be asked for a report now.
    pub fn to_ask<'a>(
        &mut self,
        alive: impl Iterator<Item = &'a String>,
        number: u64,
        now: Nanos,
    ) -> Vec<String> {
        let lacking: Vec<String> = self.waiting(alive, number).into_iter().map(|one| one.name).collect();
        let mut asked = Vec::new();
        for name in lacking {
            let known = self.members.get_mut(&name);
            if known.as_ref().is_some_and(|known| now < known.asked + ASK_AGAIN) {
                continue;
            }
            match known {
                Some(known) => known.asked = now,
                // Never heard of: asked in turn, as the others are, since nothing is kept for it yet.
                None if !(now / ASK_AGAIN + u64::from(name.as_bytes().last().copied().unwrap_or(0)))
                    .is_multiple_of(2) =>
                {
                    continue;
                }
                None => {}
            }
            asked.push(name);
            if asked.len() == ASKED_AT_ONCE {
                break;
            }
        }
        asked
    }
}
