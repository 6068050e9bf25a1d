//! The coordinator's state file: what a coordinator needs to continue a plan. The names in the file are those
//! that the attributes give.

use super::CoordinatorError;
use crate::baseline::Baselines;
use crate::plan::Plan;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Phase of a plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Phase {
    /// Waits for the lease, a settled view and the baseline of each server.
    Waiting,
    /// The servers of the stage are ordered to the change; not all have reported it.
    Applying,
    /// The changed servers are compared with the others.
    Baking,
    /// Every server is ordered back.
    RollingBack {
        /// Why the change is rolled back.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Ended: all stages went through.
    Done,
    /// Ended: the servers changed so far stay changed.
    Stopped {
        /// Why the plan was stopped.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Ended: the servers were ordered back.
    RolledBack {
        /// Why the change was rolled back.
        #[serde(rename = "why")]
        reason: String,
        /// Servers that have not reported that they went back.
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

/// The state that a coordinator continues from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PersistedState {
    /// Name of the plan.
    pub plan: String,
    /// Hash of the settings or program of the change.
    pub candidate: u64,
    /// Phase of the plan.
    pub phase: Phase,
    /// Index of the present stage, from 0.
    pub stage: usize,
    /// Names of the servers that are to run the change.
    pub changed: BTreeSet<String>,
    /// What each server did before the change.
    pub baselines: Baselines,
}

impl PersistedState {
    /// The state of a plan that has not begun.
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

    /// Whether the plan can be continued from this state.
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
