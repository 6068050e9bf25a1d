//! Operators' requests to the leader. A request may be repeated: its identity tells repetitions from new
//! ones.

use crate::change::Change;
use crate::entry::PARTS_MAX;
use crate::message::{RequestId, RequestOutcome};
use std::collections::{HashMap, VecDeque};

/// Requests whose outcome is remembered.
const OUTCOMES_MAX: usize = 256;
/// Most changes that are assembled from parts at once.
const ASSEMBLING_MAX: usize = 16;

/// A change in the log that is not committed yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingRequest {
    pub(crate) request: RequestId,
    /// The number that it is committed at.
    pub(crate) number: u64,
}

/// An outcome that was sent to the operator.
#[derive(Debug)]
struct AnsweredRequest {
    request: RequestId,
    outcome: RequestOutcome,
}

/// The requests that a leader has received.
#[derive(Debug, Default)]
pub(crate) struct Requests {
    /// Parts that have come, by their index.
    assembling: HashMap<RequestId, Vec<Option<Vec<Change>>>>,
    /// Changes in the log that are not committed yet.
    pending: Vec<PendingRequest>,
    /// The last ones, in the order of their answers.
    answered: VecDeque<AnsweredRequest>,
}

impl Requests {
    /// Adds one part of a change. Returns the whole change once all `parts` have come; `None` before that,
    /// and for a part that is out of bounds.
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

    /// What a request was answered, where it is remembered.
    pub(crate) fn outcome(&self, request: &RequestId) -> Option<&RequestOutcome> {
        self.answered.iter().find(|answered| answered.request == *request).map(|answered| &answered.outcome)
    }

    /// Whether the request's change is in the log and not committed.
    pub(crate) fn is_pending(&self, request: &RequestId) -> bool {
        self.pending.iter().any(|pending| pending.request == *request)
    }

    /// The request's change is in the log.
    pub(crate) fn add_pending(&mut self, pending: PendingRequest) {
        self.pending.push(pending);
    }

    /// Remembers what a request was answered.
    pub(crate) fn record_outcome(&mut self, request: RequestId, outcome: RequestOutcome) {
        if self.answered.len() == OUTCOMES_MAX {
            self.answered.pop_front();
        }
        self.answered.push_back(AnsweredRequest { request, outcome });
    }

    /// Removes the pending requests that are committed, which is up to `committed`.
    pub(crate) fn take_committed(&mut self, committed: u64) -> Vec<PendingRequest> {
        self.pending.extract_if(.., |pending| pending.number <= committed).collect()
    }

    /// Removes all pending requests.
    pub(crate) fn take_all(&mut self) -> Vec<PendingRequest> {
        std::mem::take(&mut self.pending)
    }
}
