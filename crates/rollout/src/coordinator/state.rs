//! State file of the coordinator. After a restart, the coordinator continues its plan from this file. The
//! `serde` attributes keep the names used in the file.

use super::CoordinatorError;
use crate::baseline::Baselines;
use crate::plan::Plan;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Phase of a plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Phase {
    /// The coordinator waits for the rollout lease, a settled view of the fleet, and the baseline of each
    /// server.
    Waiting,
    /// The servers of the stage are ordered to apply the change. Some of these servers have not reported yet
    /// that they run the change.
    Applying,
    /// The changed servers are compared with the unchanged servers.
    Baking,
    /// The change is rolled back: every server is ordered to run its own settings or program again.
    RollingBack {
        /// Reason for the rollback.
        #[serde(rename = "why")]
        reason: String,
    },
    /// The plan has ended: all stages are complete.
    Done,
    /// The plan has ended early. The servers changed so far keep the change.
    Stopped {
        /// Reason for the stop.
        #[serde(rename = "why")]
        reason: String,
    },
    /// The plan has ended with a rollback of the change.
    RolledBack {
        /// Reason for the rollback.
        #[serde(rename = "why")]
        reason: String,
        /// Names of the servers that had not confirmed the rollback when the plan ended.
        #[serde(rename = "left")]
        unconfirmed: Vec<String>,
    },
}

impl Phase {
    /// Returns whether the plan has ended in this phase.
    pub fn has_ended(&self) -> bool {
        matches!(self, Phase::Done | Phase::Stopped { .. } | Phase::RolledBack { .. })
    }
}

/// State of a plan, as saved to disk. A restarted coordinator continues from this state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PersistedState {
    /// Name of the plan.
    pub plan: String,
    /// Hash of the new settings or program that the plan rolls out.
    pub candidate: u64,
    /// Current phase of the plan.
    pub phase: Phase,
    /// Index of the current stage, counted from 0.
    pub stage: usize,
    /// Names of the servers that are ordered to run the new settings or program. Empty from the begin of a
    /// rollback on, because a coordinator of any release orders exactly these servers to run the change.
    pub changed: BTreeSet<String>,
    /// Names of the servers that had been ordered to run the change when the rollback began and have not
    /// confirmed since that they went back; `None` before a rollback. Release 0.2 neither writes nor reads
    /// this field.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pending_rollback: Option<BTreeSet<String>>,
    /// Names of the servers that are known to the plan and were left out of its last stage although this
    /// stage was to change the whole fleet. Empty until the plan is done.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub left_out: BTreeSet<String>,
    /// Baselines of the servers, measured before any server is changed.
    pub baselines: Baselines,
}

impl PersistedState {
    /// Creates the initial state of a plan.
    pub(super) fn new(plan: &Plan) -> PersistedState {
        PersistedState {
            plan: plan.name.clone(),
            candidate: plan.candidate,
            phase: Phase::Waiting,
            stage: 0,
            changed: BTreeSet::new(),
            pending_rollback: None,
            left_out: BTreeSet::new(),
            baselines: Baselines::default(),
        }
    }

    /// Moves the changed servers to the servers that have to go back, so that no server is ordered to run the
    /// change any more.
    pub(super) fn begin_rollback(&mut self, reason: String) {
        self.pending_rollback.get_or_insert_default().append(&mut self.changed);
        self.phase = Phase::RollingBack { reason };
    }

    /// Completes a state that release 0.2 saved during a rollback. Such a state does not name the servers
    /// that have to go back, so every server that the plan has measured counts as one of them.
    pub(super) fn complete_rollback(&mut self) {
        if let (Phase::RollingBack { reason }, None) = (&self.phase, &self.pending_rollback) {
            let reason = reason.clone();
            self.pending_rollback = Some(self.baselines.servers().cloned().collect());
            self.begin_rollback(reason);
        }
    }

    /// Returns an error if this state belongs to another plan or does not fit the plan.
    pub(super) fn check_belongs_to(&self, plan: &Plan) -> Result<(), CoordinatorError> {
        if self.plan != plan.name {
            let (saved, requested) = (self.plan.clone(), plan.name.clone());
            return Err(CoordinatorError::OtherPlan { saved, requested });
        }
        if self.candidate != plan.candidate && !self.phase.has_ended() {
            let (saved, requested) = (self.candidate, plan.candidate);
            return Err(CoordinatorError::OtherCandidate { saved, requested });
        }
        if self.stage >= plan.stages.len() {
            return Err(CoordinatorError::UnknownStage { stage: self.stage + 1 });
        }
        Ok(())
    }
}
