//! Reads a configuration: the platform's file, the options, and what lies over them.

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

/// What lies over a server's own options file, the later over the earlier.
#[derive(Clone, Copy, Default)]
pub struct Layers<'a> {
    /// The settings file of a rollout.
    pub change: Option<&'a Path>,
    /// Replicated configuration.
    pub replicated: Option<&'a State>,
}

impl Configuration {
    /// The configuration at the start: by the last good revision of replicated configuration, if there is one
    /// on the server's disk and it can be used.
    pub fn load_at_start(path: &Path, options: Option<&Path>) -> Result<Self, LoadError> {
        let own = Self::load_adopted(path, options)?;
        let Some((file, options_path)) = own.replication_file().zip(options) else { return Ok(own) };
        let started: Result<Self, BoxError> = match persisted_revision::read(&file) {
            Ok(None) => return Ok(own),
            Ok(Some(saved)) => own.with_replicated(path, options_path, saved.committed).map_err(Into::into),
            Err(error) => Err(error.into()),
        };
        match started {
            Ok(started) => {
                let number =
                    started.replicated.borrow().as_ref().map_or(0, |one| one.revision.position.number);
                let written = std::fs::metadata(&file).and_then(|meta| meta.modified()).ok();
                let written_s = written.and_then(|at| at.elapsed().ok()).map_or(0, |age| age.as_secs());
                tracing::info!(target: "fleet", number, written_s, "starts by the configuration on its disk");
                Ok(started)
            }
            Err(error) => {
                let why = with_causes(error.as_ref());
                tracing::warn!(target: "fleet", why, "starts without the configuration on its disk");
                Ok(own)
            }
        }
    }

    /// Where the last good revision is kept.
    pub fn replication_file(&self) -> Option<PathBuf> {
        let options = self.options.borrow();
        let folder = self.options_path.as_deref()?.parent().unwrap_or(Path::new("."));
        options.replication.as_ref().map(|given| folder.join(&given.file))
    }

    /// The same with a revision of replicated configuration over it.
    fn with_replicated(&self, path: &Path, options: &Path, snapshot: Snapshot) -> Result<Self, LoadError> {
        let candidate = self.candidate.borrow().clone();
        let adopted = candidate.as_ref().filter(|candidate| candidate.adopted.is_some());
        let change = adopted.map(|candidate| candidate.path.clone());
        let layers = Layers { change: change.as_deref(), replicated: Some(&snapshot.state) };
        let over = Self::load(path, Some(options), layers)?;
        *over.candidate.borrow_mut() = candidate;
        *over.replicated.borrow_mut() = Some(snapshot);
        Ok(over)
    }

    /// With the settings of a rollout where the server had adopted them before, their file is the same and
    /// they can be used.
    fn load_adopted(path: &Path, options: Option<&Path>) -> Result<Self, LoadError> {
        let own = Self::load(path, options, Layers::default())?;
        let candidate = own.candidate.borrow().clone();
        let Some(candidate) = candidate else { return Ok(own) };
        let why = match candidate.adopted_before() {
            AdoptedBefore::Nothing => return Ok(own),
            AdoptedBefore::Other => "another file".to_string(),
            AdoptedBefore::Same(hash) => {
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

    /// Reads the files and what lies over them.
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
        let Some(given) = &options.membership else { return Ok(()) };
        let mut fleet = fleet_settings(given, &self.name, path)?;
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

/// The server's own options with what lies over them.
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
