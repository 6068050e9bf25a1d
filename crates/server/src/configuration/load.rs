//! Loads a configuration from the platform's file and the options file. The candidate settings of a rollout
//! and the replicated configuration override settings of the options file.

use crate::configuration::candidate::{AdoptedBefore, Candidate, read_change};
use crate::configuration::error::LoadError;
use crate::configuration::fleet::{fleet_settings, shared_state_settings};
use crate::configuration::persisted_revision;
use crate::configuration::{Configuration, platform_file};
use crate::error::{BoxError, with_causes};
use meadowstream_configuration::Options;
use meadowstream_configuration::change::overlay_replicated;
use meadowstream_overload_control::TARGET_UTILIZATION;
use meadowstream_replication::snapshot::Snapshot;
use meadowstream_replication::state::State;
use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Settings that override settings of the server's own options file. The fields are applied in their order,
/// so a later field overrides an earlier field.
#[derive(Clone, Copy, Default)]
pub struct Layers<'a> {
    /// Path of the candidate settings file of a rollout.
    pub change: Option<&'a Path>,
    /// Key-value pairs of the replicated configuration.
    pub replicated: Option<&'a State>,
}

impl Configuration {
    /// Loads the configuration when the server starts. Includes the last good revision of the replicated
    /// configuration, if the server's disk has a usable copy.
    pub fn load_at_start(path: &Path, options: Option<&Path>) -> Result<Self, LoadError> {
        let own = Self::load_adopted(path, options)?;
        let Some((file, options_path)) = own.replication_file().zip(options) else { return Ok(own) };
        let with_revision: Result<Self, BoxError> = match persisted_revision::read(&file) {
            Ok(None) => return Ok(own),
            Ok(Some(saved)) => own.with_replicated(path, options_path, saved.committed).map_err(Into::into),
            Err(error) => Err(error.into()),
        };
        match with_revision {
            Ok(configuration) => {
                let number = configuration
                    .replicated
                    .borrow()
                    .as_ref()
                    .map_or(0, |snapshot| snapshot.revision.position.number);
                let written = std::fs::metadata(&file).and_then(|meta| meta.modified()).ok();
                let written_s = written.and_then(|at| at.elapsed().ok()).map_or(0, |age| age.as_secs());
                tracing::info!(target: "fleet", number, written_s, "starts by the configuration on its disk");
                Ok(configuration)
            }
            Err(error) => {
                let why = with_causes(error.as_ref());
                tracing::warn!(target: "fleet", why, "starts without the configuration on its disk");
                Ok(own)
            }
        }
    }

    /// Returns the path of the file that stores the last good revision of the replicated configuration.
    /// Returns `None` if the options do not enable replication.
    pub fn replication_file(&self) -> Option<PathBuf> {
        let options = self.options.borrow();
        let folder = self.options_path.as_deref()?.parent().unwrap_or(Path::new("."));
        options.replication.as_ref().map(|replication| folder.join(&replication.file))
    }

    /// Loads the configuration again, with a revision of the replicated configuration. The revision overrides
    /// settings of the options file.
    fn with_replicated(&self, path: &Path, options: &Path, snapshot: Snapshot) -> Result<Self, LoadError> {
        let candidate = self.candidate.borrow().clone();
        let adopted = candidate.as_ref().filter(|candidate| candidate.adopted.is_some());
        let change = adopted.map(|candidate| candidate.path.clone());
        let layers = Layers { change: change.as_deref(), replicated: Some(&snapshot.state) };
        let configuration = Self::load(path, Some(options), layers)?;
        *configuration.candidate.borrow_mut() = candidate;
        *configuration.replicated.borrow_mut() = Some(snapshot);
        Ok(configuration)
    }

    /// Loads the configuration. Includes the candidate settings of a rollout if the server had adopted these
    /// settings before its last stop. Leaves out the candidate settings if their file has changed since the
    /// adoption or cannot be used.
    fn load_adopted(path: &Path, options: Option<&Path>) -> Result<Self, LoadError> {
        let own = Self::load(path, options, Layers::default())?;
        let candidate = own.candidate.borrow().clone();
        let Some(candidate) = candidate else { return Ok(own) };
        let why = match candidate.adopted_before() {
            AdoptedBefore::NotAdopted => return Ok(own),
            AdoptedBefore::Changed => "the settings file has changed or is missing".to_string(),
            AdoptedBefore::Unchanged(hash) => {
                let layers = Layers { change: Some(&candidate.path), replicated: None };
                match Self::load(path, options, layers) {
                    Ok(changed) => {
                        let adopted = Some(hash);
                        *changed.candidate.borrow_mut() = Some(Candidate { adopted, ..candidate });
                        return Ok(changed);
                    }
                    Err(error) => with_causes(&error),
                }
            }
        };
        tracing::warn!(target: "fleet", why, "starts by its own settings, not by those of the change");
        Ok(own)
    }

    /// Loads the configuration from two files: the platform's file at `path` and the options file at
    /// `options`. The settings in `layers` override settings of the options file. Fills in defaults and
    /// checks the result for contradictions.
    pub fn load(path: &Path, options: Option<&Path>, layers: Layers) -> Result<Self, LoadError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| LoadError::Read { path: path.to_path_buf(), error })?;
        let mut configuration = platform_file::read(&text, path)?;
        if let Some(options_path) = options {
            let options = read_options(options_path, layers)?;
            configuration.apply(options, options_path)?;
        }
        configuration.fill_defaults()?;
        configuration.check_consistency()?;
        Ok(configuration)
    }

    fn apply(&mut self, options: Options, path: &Path) -> Result<(), LoadError> {
        self.target_utilization.set(options.target_utilization.unwrap_or(TARGET_UTILIZATION));
        if let Some(rollout) = &options.rollout {
            *self.candidate.borrow_mut() = Some(Candidate::new(rollout, path)?);
        }
        if let Some(tenants) = &options.tenants {
            self.settings.deployment.fair_queueing = Some(tenants.fair.clone());
            self.settings.deployment.over_quota_value_ratio = tenants.surplus_value;
        }
        self.apply_fleet(&options, path)?;
        self.options = RefCell::new(Arc::new(options));
        self.options_path = Some(path.to_path_buf());
        Ok(())
    }

    fn apply_fleet(&mut self, options: &Options, path: &Path) -> Result<(), LoadError> {
        let Some(membership) = &options.membership else { return Ok(()) };
        let mut fleet = fleet_settings(membership, &self.name, path)?;
        fleet.shared = shared_state_settings(options, fleet.settings.packet_max)?;
        if let Some(tier) = options.shared_state.as_ref().and_then(|shared| shared.tier.as_ref()) {
            if self.addresses.get().records.is_none() {
                return Err(LoadError::TierWithoutRecords);
            }
            fleet.tier = tier.services.iter().map(|service| service.address).collect();
        }
        self.membership = Some(fleet);
        Ok(())
    }
}

/// Reads the server's own options file at `path`, and then replaces settings by the settings in `layers`.
fn read_options(path: &Path, layers: Layers) -> Result<Options, LoadError> {
    let mut options = Options::load(path).map_err(|error| LoadError::Options(error.into()))?;
    if let Some(change) = layers.change {
        options.overlay(read_change(change)?);
    }
    if let Some(state) = layers.replicated {
        let overlaid = overlay_replicated(&mut options, state.iter());
        overlaid.map_err(|error| LoadError::Replicated(error.into()))?;
    }
    Ok(options)
}
