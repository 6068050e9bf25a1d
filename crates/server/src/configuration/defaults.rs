//! What the deployment's settings ask for and the options do not describe: done in a default way that is
//! noted, or refused where both contradict each other.

use crate::configuration::Configuration;
use crate::resources::idempotency::ENTRY_BYTES;
use meadowstream_configuration::IdempotencyKeys;
use meadowstream_overload_control::{Advertisement, Deployment, Downstream, Effect};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Keys and results take this part of the memory at most.
const KEYS_PART: usize = 4;
/// The field of a call that holds its key unless the options name another.
const KEY_FIELD: &str = "replay";
/// The field of a call that names its tenant unless the options name another.
pub const TENANT_FIELD: &str = "project";

/// Why the settings of the deployment and the options do not fit together. One of them was probably left
/// over from another deployment.
#[derive(Debug, thiserror::Error)]
pub enum MismatchError {
    /// There is nothing to call.
    #[error("records is missing, though settings: family-info.below names a tier or a dependency")]
    MissingRecords,
    /// Keys are described and no operation has any.
    #[error("options: <tokens>: no operation is by_key")]
    UnusedKeys,
    /// The reply for calls left out is given and none may be.
    #[error("options: <calls>: no operation has a degraded-worth")]
    UnusedReply,
    /// A share of a dependency is given and there is none.
    #[error("settings: family-info.dep-share: given, though family-info.below names no one_for_all")]
    UnusedQuota,
    /// Keys and results take too much memory.
    #[error("options: <tokens>: {bytes} bytes in all, of limits.memory_mb {bytes_max} at most")]
    KeysTooLarge {
        /// What they take.
        bytes: usize,
        /// What they may take.
        bytes_max: usize,
    },
}

fn has_keys(deployment: &Deployment) -> bool {
    deployment.operations.iter().any(|operation| operation.effect == Effect::IdempotentWithKey)
}

fn may_skip_calls(deployment: &Deployment) -> bool {
    deployment.operations.iter().any(|operation| operation.degraded_value_ratio > 0.0)
}

/// A floor of ranks tells callers little where all operations have the same priority weight.
fn has_one_rank(deployment: &Deployment) -> bool {
    let weights = deployment.operations.iter().map(|operation| operation.priority_weight.to_bits());
    weights.collect::<BTreeSet<_>>().len() < 2
}

impl Configuration {
    /// Bytes that keys and results may take.
    fn key_bytes_max(&self) -> usize {
        (self.memory_mb << 20) as usize / KEYS_PART
    }

    /// Fills in what neither the protocol nor the options describe, and notes it: that is no reason to refuse
    /// a start.
    pub(super) fn fill_defaults(&mut self) -> Result<(), MismatchError> {
        // Keys are stored in this process under a limit of its own, not in the memory of the deployment.
        self.settings.deployment.idempotency_entry_kb = 0.0;
        self.default_keys();
        self.default_reply();
        self.note_what_is_not_used();
        let no_records = self.addresses.get().records.is_none();
        if no_records && self.settings.deployment.downstream != Downstream::None {
            return Err(MismatchError::MissingRecords);
        }
        Ok(())
    }

    fn note(&mut self, key: &str, note: &str) {
        self.notes.push(format!("settings: {key}: {note}"));
    }

    /// Half of the memory for entries, half for results.
    fn default_keys(&mut self) {
        let operations = &self.settings.deployment.operations;
        let keyed = operations.iter().position(|operation| operation.effect == Effect::IdempotentWithKey);
        let Some(first) = keyed.filter(|_| self.options.borrow().idempotency_keys.is_none()) else { return };
        let half = self.key_bytes_max() / 2;
        let keys =
            IdempotencyKeys { field: KEY_FIELD.to_string(), entries: half / ENTRY_BYTES, result_bytes: half };
        Arc::make_mut(self.options.get_mut()).idempotency_keys = Some(keys);
        self.note(
            &format!("grades.{first}.effect"),
            &format!("the token is read from the field {KEY_FIELD}"),
        );
    }

    fn default_reply(&mut self) {
        let has_reply = self.options.borrow().skipped_call_reply.is_some();
        if has_reply || !may_skip_calls(&self.settings.deployment) {
            return;
        }
        for operation in &mut self.settings.deployment.operations {
            operation.degraded_value_ratio = 0.0;
        }
        self.note("family-info.degraded-worth", "no call is left out, as <calls> does not say the reply");
    }

    fn note_what_is_not_used(&mut self) {
        let has_tenants = self.options.borrow().tenants.is_some();
        if !self.settings.deployment.tenant_allowance.is_empty() && !has_tenants {
            self.note("orgs", &format!("tenants are told apart by the field {TENANT_FIELD}"));
        }
        if self.settings.read_sharing_window > 0 {
            self.note("family-info.share-for", "answers of reads are not shared: each runs");
        }
        let deployment = &self.settings.deployment;
        if deployment.advertisement == Advertisement::MinimumRank && has_one_rank(deployment) {
            self.note("family-info.say", "a floor says little where all operations have one worth");
        }
    }

    /// Refuses options that the settings have no use for, and the reverse.
    pub(super) fn check_consistency(&self) -> Result<(), MismatchError> {
        let (deployment, options) = (&self.settings.deployment, self.options.borrow());
        if options.idempotency_keys.is_some() && !has_keys(deployment) {
            return Err(MismatchError::UnusedKeys);
        }
        if options.skipped_call_reply.is_some() && !may_skip_calls(deployment) {
            return Err(MismatchError::UnusedReply);
        }
        let is_shared = matches!(deployment.downstream, Downstream::Shared { .. });
        if self.settings.dependency_quota > 0.0 && !is_shared {
            return Err(MismatchError::UnusedQuota);
        }
        if let Some(keys) = &options.idempotency_keys {
            let bytes = keys.entries * ENTRY_BYTES + keys.result_bytes;
            let bytes_max = self.key_bytes_max();
            if bytes > bytes_max {
                return Err(MismatchError::KeysTooLarge { bytes, bytes_max });
            }
        }
        Ok(())
    }
}
