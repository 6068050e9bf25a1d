//! Operators' requests that the leader has received. An operator may repeat a request that was not answered.
//! The leader recognizes a repetition by the identifier of the request, and does not carry the request out
//! again.

use crate::change::Change;
use crate::entry::PARTS_MAX;
use crate::message::{RequestId, RequestOutcome};
use crate::time::{Nanos, SECOND_NS};
use std::collections::{HashMap, VecDeque};

/// Maximum number of answered requests whose outcomes are kept. When there are more, the oldest outcomes are
/// dropped.
const OUTCOMES_MAX: usize = 256;
/// Maximum number of changes of which only some parts have been received. While there are this many, other
/// changes in parts are rejected.
const ASSEMBLING_MAX: usize = 16;

/// Time after the last received part of a change after which the change is given up. An operator's command
/// sends all parts again several times within this time, unless it has ended.
const ABANDONED_AFTER_NS: Nanos = 3 * SECOND_NS;

/// Reason why a part of a change was not accepted: parts of too many other changes are being received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("too many changes are being received: try again")]
pub(crate) struct TooManyIncomplete;

/// A change of which not all parts have been received.
#[derive(Debug)]
struct IncompleteChange {
    /// The parts of the change, in order; a missing part is `None`.
    parts: Vec<Option<Vec<Change>>>,
    /// Time at which the last part was received.
    received_at: Nanos,
}

/// An operator's request whose change is in the log, but not committed yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingRequest {
    pub(crate) request: RequestId,
    /// Number of the last log entry of the change. Once the committed log reaches this number, the change is
    /// committed.
    pub(crate) number: u64,
}

/// An operator's request that was answered, and the outcome in the answer.
#[derive(Debug)]
struct AnsweredRequest {
    request: RequestId,
    outcome: RequestOutcome,
}

/// The operators' requests that a leader has received.
#[derive(Debug, Default)]
pub(crate) struct Requests {
    /// Changes of which not all parts have been received.
    ///
    /// Invariant: an entry leaves the map at the latest [`ABANDONED_AFTER_NS`] after its last part, or at the
    /// end of this replica's leadership, whatever its operator does.
    assembling: HashMap<RequestId, IncompleteChange>,
    /// Requests whose changes are in the log but not committed yet.
    pending: Vec<PendingRequest>,
    /// The most recently answered requests, the oldest first.
    answered: VecDeque<AnsweredRequest>,
}

impl Requests {
    /// Adds one part of a change. Once all `parts` parts have been received, returns the whole change; before
    /// that, returns `None`. Ignores a part if `part` or `parts` is out of range. Gives up earlier incomplete
    /// changes of the same operator, because an operator makes one request after the other.
    ///
    /// # Errors
    /// Returns an error if the part belongs to a further change while [`ASSEMBLING_MAX`] changes are
    /// incomplete.
    pub(crate) fn assemble(
        &mut self,
        now: Nanos,
        request: &RequestId,
        part: u32,
        parts: u32,
        changes: Vec<Change>,
    ) -> Result<Option<Vec<Change>>, TooManyIncomplete> {
        if part >= parts || parts > PARTS_MAX {
            return Ok(None);
        }
        self.assembling.retain(|known, _| known.from != request.from || known.number >= request.number);
        self.give_up_abandoned(now);
        if !self.assembling.contains_key(request) && self.assembling.len() >= ASSEMBLING_MAX {
            return Err(TooManyIncomplete);
        }
        let new = || IncompleteChange { parts: vec![None; parts as usize], received_at: now };
        let incomplete = self.assembling.entry(request.clone()).or_insert_with(new);
        incomplete.received_at = now;
        if let Some(place) = incomplete.parts.get_mut(part as usize) {
            *place = Some(changes);
        }
        if incomplete.parts.iter().any(Option::is_none) {
            return Ok(None);
        }
        let complete = self.assembling.remove(request);
        Ok(complete.map(|complete| complete.parts.into_iter().flatten().flatten().collect()))
    }

    /// Gives up incomplete changes whose operators have stopped sending parts.
    pub(crate) fn give_up_abandoned(&mut self, now: Nanos) {
        self.assembling.retain(|_, incomplete| now < incomplete.received_at + ABANDONED_AFTER_NS);
    }

    /// Returns the outcome with which a request was answered. Returns `None` if the request was not answered,
    /// or if its outcome is no longer kept.
    pub(crate) fn outcome(&self, request: &RequestId) -> Option<&RequestOutcome> {
        self.answered.iter().find(|answered| answered.request == *request).map(|answered| &answered.outcome)
    }

    /// Returns whether the change of a request is in the log but not committed yet.
    pub(crate) fn is_pending(&self, request: &RequestId) -> bool {
        self.pending.iter().any(|pending| pending.request == *request)
    }

    /// Adds a request whose change was appended to the log. The request is answered once the change is
    /// committed.
    pub(crate) fn add_pending(&mut self, pending: PendingRequest) {
        self.pending.push(pending);
    }

    /// Records the outcome with which a request was answered.
    pub(crate) fn record_outcome(&mut self, request: RequestId, outcome: RequestOutcome) {
        if self.answered.len() == OUTCOMES_MAX {
            self.answered.pop_front();
        }
        self.answered.push_back(AnsweredRequest { request, outcome });
    }

    /// Removes and returns the pending requests whose changes are now committed. `committed` is the number of
    /// the last entry in the committed log.
    pub(crate) fn take_committed(&mut self, committed: u64) -> Vec<PendingRequest> {
        self.pending.extract_if(.., |pending| pending.number <= committed).collect()
    }

    /// Ends the work on requests, because this member is no longer the leader. Gives up incomplete changes.
    /// Removes and returns the pending requests, whose changes are not committed yet.
    pub(crate) fn end_leadership(&mut self) -> Vec<PendingRequest> {
        self.assembling.clear();
        std::mem::take(&mut self.pending)
    }
}
