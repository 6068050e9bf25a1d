//! Operators' requests to the leader. An operator may repeat a request; the request identifier distinguishes
//! repetitions from new requests.

use crate::change::Change;
use crate::entry::PARTS_MAX;
use crate::message::{RequestId, RequestOutcome};
use std::collections::{HashMap, VecDeque};

/// Number of requests whose outcomes are kept.
const OUTCOMES_MAX: usize = 256;
/// Maximum number of changes that are being assembled from parts at the same time.
const ASSEMBLING_MAX: usize = 16;

/// A request whose change is in the log but not committed yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingRequest {
    pub(crate) request: RequestId,
    /// Number of the change's last entry. The change is committed once the committed log reaches it.
    pub(crate) number: u64,
}

/// A request that was answered, with the outcome sent to the operator.
#[derive(Debug)]
struct AnsweredRequest {
    request: RequestId,
    outcome: RequestOutcome,
}

/// The requests that a leader has received.
#[derive(Debug, Default)]
pub(crate) struct Requests {
    /// Received parts of incomplete requests, by part index.
    assembling: HashMap<RequestId, Vec<Option<Vec<Change>>>>,
    /// Requests whose changes are in the log but not committed yet.
    pending: Vec<PendingRequest>,
    /// The most recently answered requests, oldest first.
    answered: VecDeque<AnsweredRequest>,
}

impl Requests {
    /// Adds one part of a change. Returns the whole change once all `parts` have been received; `None` before
    /// that, and for a part that is out of bounds or exceeds the number of changes assembled at once.
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

    /// The outcome that a request was answered with, if it is still kept.
    pub(crate) fn outcome(&self, request: &RequestId) -> Option<&RequestOutcome> {
        self.answered.iter().find(|answered| answered.request == *request).map(|answered| &answered.outcome)
    }

    /// Whether the request's change is in the log but not committed yet.
    pub(crate) fn is_pending(&self, request: &RequestId) -> bool {
        self.pending.iter().any(|pending| pending.request == *request)
    }

    /// Adds a request whose change was appended to the log.
    pub(crate) fn add_pending(&mut self, pending: PendingRequest) {
        self.pending.push(pending);
    }

    /// Records the outcome that a request was answered with.
    pub(crate) fn record_outcome(&mut self, request: RequestId, outcome: RequestOutcome) {
        if self.answered.len() == OUTCOMES_MAX {
            self.answered.pop_front();
        }
        self.answered.push_back(AnsweredRequest { request, outcome });
    }

    /// Removes and returns the pending requests whose changes are committed. `committed` is the number at the
    /// end of the committed log.
    pub(crate) fn take_committed(&mut self, committed: u64) -> Vec<PendingRequest> {
        self.pending.extract_if(.., |pending| pending.number <= committed).collect()
    }

    /// Removes and returns all pending requests.
    pub(crate) fn take_all(&mut self) -> Vec<PendingRequest> {
        std::mem::take(&mut self.pending)
    }
}
