//! Handles operators' requests to the leader: to submit a change, to revert a change, and to list the lagging
//! members. A request that changes the configuration is answered after the change is committed.

use super::Member;
use crate::change::Change;
use crate::committed_log::CommittedLog;
use crate::message::{AWAY_REASON, BODY_BYTES_MAX, LaggingSummary, Message, RequestId, RequestOutcome};
use crate::progress::LaggingMember;
use crate::replica::ProposeError;
use crate::requests::{PendingRequest, TooManyIncomplete};
use crate::time::Nanos;
use std::collections::BTreeSet;

/// Maximum number of members that the leader lists in one answer to a status request, lagging members first
/// and then members that are away.
const SUMMARIES_MAX: usize = 8;
/// Number of characters to which the reason for a rejection is truncated in an answer to a status request.
const SUMMARY_REASON_CHARACTERS: usize = 32;

/// Reason why a change to the configuration cannot be reverted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
enum RevertError {
    /// No complete change ends with the entry `number`, or this member no longer holds the change.
    #[error("no change that is still held ends at {number}")]
    NotHeld { number: u64 },
    /// The configuration before the change is not known, because this member no longer holds the entries that
    /// are needed to compute it.
    #[error("the configuration before the change is not held any more")]
    BaseNotHeld,
    /// A later change has modified a key of the change that is to be reverted. The reversal would therefore
    /// also undo the later change.
    #[error("{key:?} was changed again by {number}")]
    ChangedSince { key: String, number: u64 },
}

/// Reason why an operator's request is not carried out. The text of the error is sent to the operator.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
enum RequestError {
    #[error(transparent)]
    Revert(#[from] RevertError),
    #[error(transparent)]
    Propose(#[from] ProposeError),
}

/// Returns the change that reverts an earlier change. `number` is the number of the earlier change's last
/// entry. Each key that the earlier change modified gets its previous value again, or is removed if it had
/// none.
fn revert(log: &CommittedLog, number: u64) -> Result<Vec<Change>, RevertError> {
    let entries = log.change_at(number).ok_or(RevertError::NotHeld { number })?;
    let first = entries.first().map_or(number, |entry| entry.number());
    let before = log.state_at(first - 1).ok_or(RevertError::BaseNotHeld)?;
    let changes = entries.iter().flat_map(|entry| &entry.changes);
    let keys: BTreeSet<&String> = changes.map(|change| &change.key).collect();
    for entry in log.tail().filter(|entry| entry.number() > number) {
        if let Some(change) = entry.changes.iter().find(|change| keys.contains(&change.key)) {
            let (key, number) = (change.key.clone(), entry.number());
            return Err(RevertError::ChangedSince { key, number });
        }
    }
    Ok(keys.into_iter().map(|key| before.restore_change(key)).collect())
}

fn summary(member: &LaggingMember) -> LaggingSummary {
    let reason = member.rejected.as_ref().map_or("", |rejection| &rejection.reason);
    LaggingSummary {
        name: member.name.clone(),
        applied: member.applied.unwrap_or(0),
        reason: reason.chars().take(SUMMARY_REASON_CHARACTERS).collect(),
    }
}

fn away_summary(member: &LaggingMember) -> LaggingSummary {
    LaggingSummary { reason: AWAY_REASON.to_string(), ..summary(member) }
}

impl Member {
    /// Carries out an operator's request if this member is the leader. A repeated request to change the
    /// configuration is not carried out again: the leader repeats its answer, or ignores the repetition if
    /// the change is not committed yet.
    pub(super) fn on_operator_request(&mut self, now: Nanos, from: &str, message: Message) {
        let request = match &message {
            Message::Submit { request, .. }
            | Message::Revert { request, .. }
            | Message::PollStatus { request } => request.clone(),
            _ => return,
        };
        let Some(control) = &mut self.control else { return };
        if !control.replica.is_leader() {
            let leader = self.leader.clone().filter(|name| *name != self.name);
            return self.send(from, &Message::NotLeader { request, leader }, now);
        }
        if let Some(outcome) = control.requests.outcome(&request).cloned() {
            return self.send(from, &Message::Submitted { request, outcome }, now);
        }
        if control.requests.is_pending(&request) {
            return;
        }
        match message {
            Message::PollStatus { .. } => self.send_status(from, request, now),
            Message::Revert { number, .. } => {
                let outcome = revert(&self.log, number).map_err(RequestError::from);
                let outcome = outcome.and_then(|changes| Ok(self.propose(changes, now)?));
                self.on_proposed(request, outcome, now);
            }
            Message::Submit { part, parts, changes, .. } => {
                match control.requests.assemble(now, &request, part, parts, changes) {
                    Ok(Some(changes)) => {
                        let outcome = self.propose(changes, now).map_err(RequestError::from);
                        self.on_proposed(request, outcome, now);
                    }
                    Ok(None) => {}
                    Err(error) => self.reject_part(request, part, error, now),
                }
            }
            _ => {}
        }
    }

    /// Answers an operator whose change cannot be received now. The outcome is not recorded, so that the
    /// request can be repeated. One answer is sent for all parts.
    fn reject_part(&mut self, request: RequestId, part: u32, error: TooManyIncomplete, now: Nanos) {
        self.counts.incomplete_rejected += 1;
        if part == 0 {
            let to = request.from.clone();
            let outcome = RequestOutcome::Rejected { reason: error.to_string() };
            self.send(&to, &Message::Submitted { request, outcome }, now);
        }
    }

    /// Handles the result of proposing a requested change. If the change was appended to the log, the request
    /// stays pending until the change is committed. Otherwise, answers the request with the reason for the
    /// failure.
    fn on_proposed(&mut self, request: RequestId, outcome: Result<u64, RequestError>, now: Nanos) {
        let Some(control) = &mut self.control else { return };
        match outcome {
            Ok(number) => control.requests.add_pending(PendingRequest { request, number }),
            Err(error) => {
                self.answer(request, RequestOutcome::Rejected { reason: error.to_string() }, now);
            }
        }
        self.answer_requests(now);
    }

    fn answer(&mut self, request: RequestId, outcome: RequestOutcome, now: Nanos) {
        let Some(control) = &mut self.control else { return };
        control.requests.record_outcome(request.clone(), outcome.clone());
        let to = request.from.clone();
        self.send(&to, &Message::Submitted { request, outcome }, now);
    }

    /// Answers the pending requests whose changes are committed. If this member is no longer the leader,
    /// answers all pending requests with [`Message::NotLeader`] instead.
    pub(super) fn answer_requests(&mut self, now: Nanos) {
        let Some(control) = &mut self.control else { return };
        if control.replica.is_leader() {
            for PendingRequest { request, number } in control.requests.take_committed(self.log.number()) {
                self.answer(request, RequestOutcome::Committed { number }, now);
            }
            return;
        }
        for PendingRequest { request, .. } in control.requests.end_leadership() {
            let to = request.from.clone();
            self.send(&to, &Message::NotLeader { request, leader: None }, now);
        }
    }

    fn send_status(&mut self, to: &str, request: RequestId, now: Nanos) {
        // The program that sent the operator's request is a member of the fleet, but applies no revisions.
        // Therefore, do not count this member in the status.
        let members = self.members_except(to);
        let mut lagging = self.lagging();
        lagging.retain(|member| member.name != to);
        let away = self.away();
        let summaries = lagging.iter().map(summary).chain(away.iter().map(away_summary));
        let status = Message::Status {
            request,
            number: self.log.complete().number(),
            members: members as u32,
            applied: (members - lagging.len()) as u32,
            lagging: summaries.take(SUMMARIES_MAX).collect(),
        };
        debug_assert!(status.encode().len() <= BODY_BYTES_MAX);
        self.send(to, &status, now);
    }
}
