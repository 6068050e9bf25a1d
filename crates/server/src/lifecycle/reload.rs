//! Applies changes of settings while the server runs.
//!
//! Files are read and checked on the blocking pool. The serving thread only swaps in the new configuration
//! and passes the change to the event loop in small parts. The pauses of the serving thread therefore do not
//! grow with the size of the files.
//!
//! Changes are applied one at a time. A change reads its files only after the previous change has taken
//! effect. Otherwise an older version of a file could replace a newer version.

use crate::configuration::Configuration;
use crate::configuration::Layers;
use crate::configuration::LoadError;
use crate::configuration::candidate::Candidate;
use crate::configuration::candidate::hash_of;
use crate::error::with_causes;
use crate::event::Event;
use crate::lifecycle::changes::TenantNames;
use crate::lifecycle::files;
use crate::lifecycle::pause::{Pauses, Stopwatch};
use crate::lifecycle::reload_check::{RestartRequired, changed_tenants, check_unchanged};
use crate::server::Server;
use async_io::Timer;
use meadowstream_configuration::{Options, Tenants};
use meadowstream_fair_queueing::SettingsChange;
use meadowstream_replication::persistence;
use meadowstream_replication::persistence::PersistedState;
use meadowstream_replication::snapshot::Snapshot;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tracing::{info, warn};

/// Delay between two parts of a change of settings. A change that affects 64,000 tenants has 250 parts, so
/// the delays of this change add up to 50 ms.
const PART_INTERVAL: Duration = Duration::from_micros(200);

/// Reason why a change of settings is refused. The server continues with the previous settings.
#[derive(Debug, thiserror::Error)]
pub enum ReloadError {
    /// The candidate settings file of a rollout cannot be read.
    #[error("cannot read {path}")]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Cause of the failure.
        #[source]
        error: std::io::Error,
    },
    /// The hash of the candidate settings file differs from the hash that the rollout's order states.
    #[error("{path} has the hash {found:016x}, not {expected:016x}")]
    OtherHash {
        /// Path of the file.
        path: PathBuf,
        /// Hash of the file.
        found: u64,
        /// Hash in the order.
        expected: u64,
    },
    /// The new configuration cannot be loaded or used.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// The change affects a setting that can only be changed by a restart.
    #[error(transparent)]
    RestartRequired(#[from] RestartRequired),
    /// The new revision of the replicated configuration cannot be written to disk.
    #[error("cannot write {path}")]
    Write {
        /// Path of the file.
        path: PathBuf,
        /// Cause of the failure.
        #[source]
        error: std::io::Error,
    },
    /// The options do not enable rollouts.
    #[error("the options have no <rollout>")]
    NoRollout,
}

/// Input of a change of settings: the files to read, and the current options with which the new options are
/// compared.
struct Request {
    path: PathBuf,
    options_path: Option<PathBuf>,
    /// Path of the candidate settings file of a rollout, and the hash that this file must have.
    change: Option<(PathBuf, u64)>,
    replicated: Option<Snapshot>,
    /// State of the replicated configuration, and the path of a file. The state must be written to this file
    /// before the change takes effect. `None` if nothing must be written.
    write: Option<(PathBuf, PersistedState)>,
    in_force: Arc<Options>,
}

/// A change of settings that was read and checked, but not applied yet. The change is applied in parts, so
/// that the serving thread is never busy for long.
struct Prepared {
    configuration: Configuration,
    /// Changes of the settings for fair queueing, split into small parts. The event loop applies one part
    /// after the other.
    retunes: Vec<SettingsChange>,
    tenant_names: Option<TenantNames>,
}

impl Request {
    /// Reads and checks the files of a change of settings, and compares the new options with the current
    /// options. Runs on the blocking pool.
    fn prepare(self) -> Result<Prepared, ReloadError> {
        let change = self.change.as_ref().map(|(path, _)| path.as_path());
        if let Some((path, hash)) = &self.change {
            let unreadable = |error| ReloadError::Read { path: path.clone(), error };
            let (found, expected) = (hash_of(&std::fs::read(path).map_err(unreadable)?), *hash);
            if found != expected {
                return Err(ReloadError::OtherHash { path: path.clone(), found, expected });
            }
        }
        let replicated = self.replicated.as_ref().map(|snapshot| &snapshot.state);
        let layers = Layers { change, replicated };
        let configuration = Configuration::load(&self.path, self.options_path.as_deref(), layers)?;
        *configuration.replicated.borrow_mut() = self.replicated;
        let (mut retunes, mut tenant_names) = (Vec::new(), None);
        {
            let new = configuration.options.borrow();
            if let Some((before, after)) = changed_tenants(&self.in_force, &new)? {
                retunes = SettingsChange::between(&before.fair, &after.fair);
                tenant_names = Some(named_tenants(after));
            }
        }
        if let Some((file, saved)) = self.write {
            let written = files::write(&file, &persistence::encode(&saved));
            written.map_err(|error| ReloadError::Write { path: file, error })?;
        }
        Ok(Prepared { configuration, retunes, tenant_names })
    }
}

/// Returns the names of the tenants for which the fleet keeps separate counts: the tenants that are named in
/// the settings `tenants`.
pub fn named_tenants(tenants: &Tenants) -> TenantNames {
    Arc::new(tenants.fair.named.iter().map(|(name, _)| name.clone()).collect())
}

/// Reads the configuration files again and applies their settings. If the files cannot be used, the server
/// continues with the previous settings.
///
/// Connections to addresses that did not change stay open. A request has no effect if another reload is
/// already waiting for an earlier change. The waiting reload has not read the files yet, so it also applies
/// the newest files.
pub async fn reload(server: Rc<Server>) {
    if server.changes.reload_pending.replace(true) {
        return;
    }
    let _guard = server.changes.lock.lock().await;
    server.changes.reload_pending.set(false);
    let (change, replicated) = (adopted(&server), server.configuration.replicated.borrow().clone());
    if let Err(error) = apply(&server, change, replicated, None).await {
        server.counters.reloads_refused.add();
        warn!("configuration kept as it was: {}", with_causes(&error));
    }
}

/// Returns the path and the hash of the candidate settings that the server has adopted for a rollout. Returns
/// `None` if the server runs its own settings.
fn adopted(server: &Server) -> Option<(PathBuf, u64)> {
    let candidate = server.configuration.candidate.borrow().clone()?;
    Some((candidate.path, candidate.adopted?))
}

/// Writes a revision of the replicated configuration to disk and applies it. If an error is returned, the
/// server continues with the previous settings.
pub async fn apply_replicated(
    server: &Rc<Server>,
    snapshot: Snapshot,
    saved: PersistedState,
    file: PathBuf,
) -> Result<(), ReloadError> {
    let _guard = server.changes.lock.lock().await;
    apply(server, adopted(server), Some(snapshot), Some((file, saved))).await
}

/// Adopts the candidate settings of a rollout. `change` is the hash of these settings. If `change` is `None`,
/// returns to the server's own settings. If an error is returned, the server continues with the previous
/// settings.
pub async fn adopt(server: &Rc<Server>, change: Option<u64>) -> Result<(), ReloadError> {
    let _guard = server.changes.lock.lock().await;
    let candidate = server.configuration.candidate.borrow().clone();
    let candidate = candidate.ok_or(ReloadError::NoRollout)?;
    let replicated = server.configuration.replicated.borrow().clone();
    apply(server, change.map(|hash| (candidate.path.clone(), hash)), replicated, None).await?;
    *server.configuration.candidate.borrow_mut() = Some(Candidate { adopted: change, ..candidate });
    Ok(())
}

/// Reads the configuration files and applies their settings. Returns an error if the files cannot be used or
/// if a changed setting requires a restart.
async fn apply(
    server: &Rc<Server>,
    change: Option<(PathBuf, u64)>,
    replicated: Option<Snapshot>,
    write: Option<(PathBuf, PersistedState)>,
) -> Result<(), ReloadError> {
    let configuration = &server.configuration;
    let request = Request {
        path: configuration.path.clone(),
        options_path: configuration.options_path.clone(),
        change,
        replicated,
        write,
        in_force: configuration.options.borrow().clone(),
    };
    let descriptor = server.pool.descriptor_for_file(&server.descriptors).await;
    let prepared = blocking::unblock(move || request.prepare()).await;
    drop(descriptor);
    let Prepared { configuration: new, retunes, tenant_names } = prepared?;
    let stopwatch = Stopwatch::start();
    check_unchanged(configuration, &new)?;
    configuration.target_utilization.set(new.target_utilization.get());
    let (old_addresses, addresses) = (configuration.addresses.get(), new.addresses.get());
    configuration.addresses.set(addresses);
    configuration.replicated.swap(&new.replicated);
    let new_options = new.options.borrow().clone();
    let old_options = configuration.options.replace(new_options);
    let unused_names = match (&server.shared, tenant_names) {
        (Some(shared), Some(names)) => Some(shared.set_named_tenants(names)),
        (_, names) => names,
    };
    server.change_pauses.set(Pauses::after_swap(stopwatch.elapsed()));
    // The old settings may contain thousands of tenant names. The settings are freed on the blocking pool,
    // because freeing so many names takes time.
    blocking::unblock(move || drop((new, old_options, unused_names))).detach();
    if addresses.records != old_addresses.records {
        server.pool.close_all();
    }
    if addresses.interpreter != old_addresses.interpreter {
        let _ = server.interpreter_address_changed.0.try_send(());
    }
    notify_event_loop(server, retunes).await;
    Ok(())
}

/// Waits until the event loop has handled all events that were queued before this call.
async fn wait_until_processed(server: &Server) {
    let (done, is_done) = async_channel::bounded(1);
    let _ = server.events.send(Event::Barrier(done)).await;
    let _ = is_done.recv().await;
}

/// Passes the new settings to the event loop and to the shared state. Then logs for how long the change has
/// paused the serving thread.
async fn notify_event_loop(server: &Server, retunes: Vec<SettingsChange>) {
    server.counters.reloads.add();
    let target = server.configuration.target_utilization.get();
    let _ = server.events.send(Event::SetTargetUtilization(target)).await;
    let budget = |options: &Options| {
        options.shared_state.as_ref().and_then(|shared| Some(shared.budget.as_ref()?.total))
    };
    let total = budget(&server.configuration.options.borrow());
    if let Some((shared, total)) = server.shared.as_ref().zip(total)
        && let Err(fault) = shared.set_total(total)
    {
        warn!("<shared-state>: {fault}");
    }
    let parts = retunes.len();
    for retune in retunes {
        let _ = server.events.send(Event::ReconfigureFairQueueing(Box::new(retune))).await;
        wait_until_processed(server).await;
        // Gives the executor time to poll the sockets and to serve pending requests before the next part is
        // applied.
        Timer::after(PART_INTERVAL).await;
    }
    wait_until_processed(server).await;
    let Pauses { longest, longest_part, .. } = server.change_pauses.get();
    let (pause_us, processor_us) = (longest.wall.as_micros() as u64, longest.processor.as_micros() as u64);
    info!(addresses = ?server.configuration.addresses.get(), parts, longest_part, processor_us, pause_us,
        "configuration read again");
}
