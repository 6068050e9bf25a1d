//! Reads the membership views of the servers from their logs.

use super::harness::FleetHarness;
use super::wait_for;
use anyhow::{Context, Result};
use serde_json::Value;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Maximum number of log lines per server in an error report. The report is written if the membership views
/// do not agree in time.
const REPORTED_LINES: usize = 40;

/// Times until the membership views of the expected members agreed, as measured by
/// [`FleetHarness::wait_for_agreement`]. The times are counted from the instant that this function gets as
/// `since`.
#[derive(Debug, Clone)]
pub struct AgreementTimes {
    /// Time until each server's view first agreed with the expected members. In such a view, all other
    /// expected members are alive, and every further member is down. The key is the index of the server.
    pub by_server: BTreeMap<usize, Duration>,
    /// Time until the views of all servers agreed with the expected members at the same time.
    pub all: Duration,
}

impl FleetHarness {
    /// Reads the last membership view that the server `index` has logged. Returns the state of each member
    /// that this view lists. The key is the name of the member. A view does not list the server itself.
    pub fn member_states(&self, index: usize) -> BTreeMap<String, String> {
        self.member_states_since(index, None)
    }

    /// Reads the last membership view that the server `index` has logged. Returns the state of each member
    /// that this view lists. Views that the harness read before `since` are ignored, because they may be
    /// outdated. For example, a stalled server logs no new view.
    fn member_states_since(&self, index: usize, since: Option<Instant>) -> BTreeMap<String, String> {
        let view = self.log(index).and_then(|log| log.last_event("view", since));
        let Some(members) = view.as_ref().and_then(|view| view["members"].as_str()) else {
            return BTreeMap::new();
        };
        let members: Vec<Value> = serde_json::from_str(members).unwrap_or_default();
        let text = |member: &Value, field: &str| member[field].as_str().unwrap_or("").to_string();
        members.iter().map(|member| (text(member, "name"), text(member, "state"))).collect()
    }

    /// Returns a field of the last membership view that a server has logged. The text of the field is parsed
    /// as JSON.
    pub fn view_field(&self, index: usize, field: &str) -> Option<Value> {
        let view = self.log(index)?.last_event("view", None)?;
        serde_json::from_str(view[field].as_str()?).ok()
    }

    /// Returns how many times a server has logged that the member called `name` is down.
    pub fn down_count(&self, index: usize, name: &str) -> usize {
        let Some(log) = self.log(index) else { return 0 };
        let lines = log.lines();
        let is_down = |fields: &Value| fields["change"] == "down" && fields["member"] == name;
        lines.iter().filter(|line| is_down(&line.fields)).count()
    }

    /// Returns whether a server sees all other servers in `members` alive. Returns false if the server also
    /// sees a further member alive or suspect.
    pub fn sees(&self, index: usize, members: &[usize]) -> bool {
        self.sees_since(index, members, None)
    }

    fn sees_since(&self, index: usize, members: &[usize], since: Option<Instant>) -> bool {
        let states = self.member_states_since(index, since);
        let not_down = states.values().filter(|state| *state != "Down").count();
        let others = members.iter().filter(|&&member| member != index);
        let expected: Vec<String> = others.map(|member| format!("s{member}")).collect();
        let is_alive = |name: &String| states.get(name).is_some_and(|state| state == "Alive");
        not_down == expected.len() && expected.iter().all(is_alive)
    }

    /// Returns whether the views of all servers in `members` agree. In each of these views, all other servers
    /// in `members` must be alive, and every further member must be down.
    pub fn views_agree(&self, members: &[usize]) -> bool {
        members.iter().all(|&index| self.sees(index, members))
    }

    /// Waits until the views of all servers in `members` agree, as defined by [`Self::views_agree`]. Returns
    /// the times at which the views agreed, counted from `since`. Fails after the time `within` with a report
    /// that lists log lines of the servers.
    pub fn wait_for_agreement(
        &self,
        members: &[usize],
        since: Instant,
        within: Duration,
    ) -> Result<AgreementTimes> {
        let mut by_server: BTreeMap<usize, Duration> = BTreeMap::new();
        let all = wait_for(within, || {
            for &index in members {
                if !by_server.contains_key(&index) && self.sees_since(index, members, Some(since)) {
                    by_server.insert(index, since.elapsed());
                }
            }
            (by_server.len() == members.len() && self.views_agree(members)).then(|| since.elapsed())
        });
        let all = all.with_context(|| {
            let report = self.membership_report(members, since);
            format!(
                "views of {members:?} do not agree within {within:?}; matched once: {by_server:?}\n{report}"
            )
        })?;
        Ok(AgreementTimes { by_server, all })
    }

    /// Returns the error report for membership views that did not agree in time. The report contains the
    /// relay's counts and each server's log lines about the membership. Each log line is listed with two
    /// times: the time at which the harness read the line, counted from `since`, and the time at which the
    /// server wrote the line.
    fn membership_report(&self, members: &[usize], since: Instant) -> String {
        let mut report = format!("relay: {:?}\n", self.relay.counts());
        for &index in members {
            let process = self.process_state(index);
            report.push_str(&format!("s{index} ({process}) sees {:?}\n", self.member_states(index)));
            let Some(log) = self.log(index) else { continue };
            let lines = log.lines();
            let about_membership = lines.iter().filter(|line| is_about_membership(&line.fields));
            let newest: Vec<_> = about_membership.rev().take(REPORTED_LINES).collect();
            for line in newest.into_iter().rev() {
                let at = line.at.saturating_duration_since(since).as_secs_f64();
                report.push_str(&format!("  {at:.3} s, {}: {}\n", line.timestamp, line.fields));
            }
        }
        report
    }
}

fn is_about_membership(fields: &Value) -> bool {
    ["view", "member", "this server", "joining"].iter().any(|message| fields["message"] == *message)
}
