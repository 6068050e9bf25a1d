//! Compares the options file with the deployment's settings, which are a part of the platform's file.
//!
//! If the settings require a feature that the options file does not describe, the server uses defaults and
//! adds a note to the log. If the two files contradict each other, loading fails.

use crate::configuration::Configuration;
use crate::resources::idempotency::ENTRY_BYTES;
use meadowstream_configuration::IdempotencyKeys;
use meadowstream_overload_control::{Advertisement, Deployment, Downstream, Effect};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Divisor of the server's memory limit. Idempotency keys and their results may use a quarter of that limit.
const KEYS_DIVISOR: usize = 4;
/// Default name of the call field that holds the idempotency key.
const KEY_FIELD: &str = "replay";
/// Default name of the call field that holds the tenant's name.
pub const TENANT_FIELD: &str = "project";

/// Contradiction between the deployment's settings and the options file. Usually one of the two files was
/// written for another deployment.
#[derive(Debug, thiserror::Error)]
pub enum MismatchError {
    /// The settings name a downstream service, but the configuration contains no address for the service.
    #[error("records is missing, though settings: family-info.below names a tier or a dependency")]
    MissingRecords,
    /// The options file contains settings for idempotency keys, but no operation is idempotent with a key.
    #[error("options: <tokens>: no operation has the effect by_key")]
    UnusedKeys,
    /// The options file defines a reply that replaces skipped downstream calls, but no operation may skip
    /// downstream calls.
    #[error("options: <calls>: no operation has a degraded-worth")]
    UnusedReply,
    /// The settings define a quota for a shared downstream service, but the deployment has no such service.
    #[error("settings: family-info.dep-share: set, but family-info.below is not one_for_all")]
    UnusedQuota,
    /// Idempotency keys and their results could use more memory than the configuration permits.
    #[error(
        "options: <tokens>: entries and results use {bytes} bytes, but limits.memory_mb allows {bytes_max}"
    )]
    KeysTooLarge {
        /// Number of bytes that idempotency keys and their results could use with the configured limits.
        bytes: usize,
        /// Maximum number of bytes that idempotency keys and their results may use.
        bytes_max: usize,
    },
}

fn has_keys(deployment: &Deployment) -> bool {
    deployment.operations.iter().any(|operation| operation.effect == Effect::IdempotentWithKey)
}

fn may_skip_calls(deployment: &Deployment) -> bool {
    deployment.operations.iter().any(|operation| operation.degraded_value_ratio > 0.0)
}

/// Returns whether all operations have the same priority weight.
///
/// A server can advertise the minimum rank of the calls that it wants to receive. If all weights are equal,
/// this rank tells callers little about which operations are rejected. The server therefore logs a note if
/// the settings make it advertise the rank and all weights are equal.
fn has_one_rank(deployment: &Deployment) -> bool {
    let weights = deployment.operations.iter().map(|operation| operation.priority_weight.to_bits());
    weights.collect::<BTreeSet<_>>().len() < 2
}

impl Configuration {
    /// Returns the maximum number of bytes that idempotency keys and their results may use: a quarter of the
    /// server's memory limit.
    fn key_bytes_max(&self) -> usize {
        (self.memory_mb << 20) as usize / KEYS_DIVISOR
    }

    /// Fills in defaults for features that neither the protocol nor the options file describes. Adds notes
    /// for the log about these defaults and about settings that have little or no effect. The server can
    /// start without the missing descriptions.
    ///
    /// Returns an error if the settings require a downstream service but the platform's file contains no
    /// address for it.
    pub(super) fn fill_defaults(&mut self) -> Result<(), MismatchError> {
        // The controller must not count the memory of idempotency keys, because this process already stores
        // the keys within a separate memory limit. The memory for a key is therefore set to 0 in the
        // deployment's settings.
        self.settings.deployment.idempotency_entry_kb = 0.0;
        self.default_keys();
        self.default_reply();
        self.note_unused_settings();
        let no_records = self.addresses.get().records.is_none();
        if no_records && self.settings.deployment.downstream != Downstream::None {
            return Err(MismatchError::MissingRecords);
        }
        Ok(())
    }

    fn note(&mut self, key: &str, note: &str) {
        self.notes.push(format!("settings: {key}: {note}"));
    }

    /// Enables idempotency keys with default settings. Applies if an operation is idempotent with a key and
    /// the options file does not describe the keys.
    ///
    /// The key is read from the field [`KEY_FIELD`]. Half of the memory for keys is used for entries, and the
    /// other half for results.
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
        self.note("family-info.degraded-worth", "no call is left out, because <calls> defines no reply");
    }

    fn note_unused_settings(&mut self) {
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

    /// Checks the settings and the options file for contradictions. Returns an error in three cases:
    /// - The options file describes a feature that no operation uses.
    /// - The settings define a quota for a shared downstream service, but the deployment has no such service.
    /// - The idempotency keys could use too much memory.
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
