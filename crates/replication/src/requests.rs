//! Operators' requests that the leader has received. An operator may repeat a request that was not answered.
//! The leader recognizes a repetition by the identifier of the request, and does not carry the request out
//! again.

use crate::change::Change;
use crate::entry::PARTS_MAX;
use crate::message::{RequestId, RequestOutcome};
use std::collections::{HashMap, VecDeque};

/// Maximum number of answered requests whose outcomes are kept. When there are more, the oldest outcomes are
/// dropped.
const OUTCOMES_MAX: usize = 256;
/// Maximum number of changes of which only some parts have been received. While there are this many, parts of
/// other changes are ignored.
const ASSEMBLING_MAX: usize = 16;

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
    /// Received parts of changes that are not complete yet. Each list contains the parts of one request in
    /// order; a missing part is `None`.
    assembling: HashMap<RequestId, Vec<Option<Vec<Change>>>>,
    /// Requests whose changes are in the log but not committed yet.
    pending: Vec<PendingRequest>,
    /// The most recently answered requests, the oldest first.
    answered: VecDeque<AnsweredRequest>,
}

impl Requests {
    /// Adds one part of a change. Once all `parts` parts have been received, returns the whole change; before
    /// that, returns `None`. Ignores a part if `part` or `parts` is out of range. Also ignores parts of a
    /// further change while [`ASSEMBLING_MAX`] changes are incomplete.
    pub(crate) fn assemble(
        &mut self,
        request: &RequestId,
        part: u32,
        parts: u32,
        changes: Vec<Change>,
    ) -> Option<Vec<Change>> {
        let is_known = self.assembling.contains_key(request);
        let is_full = !is_known && self.assembling.len() >= ASSEMBLING_MAX;
        if part >= parts || parts > PARTS_MAX || is_full {
            return None;
        }
        let missing = || vec![None; parts as usize];
        let received = self.assembling.entry(request.clone()).or_insert_with(missing);
        *received.get_mut(part as usize)? = Some(changes);
        if received.iter().any(Option::is_none) {
            return None;
        }
        let received = self.assembling.remove(request)?;
        Some(received.into_iter().flatten().flatten().collect())
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

    /// Removes and returns the pending requests, whose changes are not committed yet. Used when this member
    /// is no longer the leader.
    pub(crate) fn take_all(&mut self) -> Vec<PendingRequest> {
        std::mem::take(&mut self.pending)
    }
}
