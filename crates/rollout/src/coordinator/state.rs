//! State file of the coordinator, from which it continues a plan after a restart. The `serde` attributes keep
//! the names used in the file.

use super::CoordinatorError;
use crate::baseline::Baselines;
use crate::plan::Plan;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Phase of a plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Phase {
    /// Waiting for the rollout lease, a settled view of the fleet, and the baseline of each server.
    Waiting,
    /// The servers of the stage are ordered to apply the change; not all have reported that they run it.
    Applying,
    /// The changed servers are compared with the unchanged ones.
    Baking,
    /// Every server is ordered to run its own settings or program again.
    RollingBack {
        /// Reason for the rollback.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Ended: all stages are complete.
    Done,
    /// Ended: the servers changed so far keep the change.
    Stopped {
        /// Reason for the stop.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Ended: the change was rolled back.
    RolledBack {
        /// Reason for the rollback.
        #[serde(rename = "why")]
        reason: String,
        /// Names of the servers that have not confirmed the rollback.
        #[serde(rename = "left")]
        unconfirmed: Vec<String>,
    },
}

impl Phase {
    /// Whether the plan has ended.
    pub fn has_ended(&self) -> bool {
        matches!(self, Phase::Done | Phase::Stopped { .. } | Phase::RolledBack { .. })
    }
}

/// State that a restarted coordinator continues from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PersistedState {
    /// Name of the plan.
    pub plan: String,
    /// Hash of the new settings or program.
    pub candidate: u64,
    /// Current phase of the plan.
    pub phase: Phase,
    /// Index of the current stage, from 0.
    pub stage: usize,
    /// Names of the servers that are ordered to run the change.
    pub changed: BTreeSet<String>,
    /// Baselines of the servers, measured before the change.
    pub baselines: Baselines,
}

impl PersistedState {
    /// Creates the state of a plan that has not begun.
    pub(super) fn new(plan: &Plan) -> PersistedState {
        PersistedState {
            plan: plan.name.clone(),
            candidate: plan.candidate,
            phase: Phase::Waiting,
            stage: 0,
            changed: BTreeSet::new(),
            baselines: Baselines::default(),
        }
    }

    /// Checks that the plan can continue from this state.
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
