//! A change of settings while the server runs. Files are read, checked and compared on the blocking pool; the
//! serving thread only swaps what is ready and gives the event loop small parts of the change, so that its
//! pauses do not grow with the files. One change is made at a time: files are read when the change before is
//! in force, so that an older reading never follows a newer one.

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

/// Pause between two parts of a change: 250 parts, of 64,000 tenants, take a twentieth of a second more.
const PART_INTERVAL: Duration = Duration::from_micros(200);

/// Why a change of settings was refused; nothing has changed then.
#[derive(Debug, thiserror::Error)]
pub enum ReloadError {
    /// The settings of a rollout cannot be read.
    #[error("cannot read {path}")]
    Read {
        /// Their file.
        path: PathBuf,
        /// Why not.
        #[source]
        error: std::io::Error,
    },
    /// The settings of a rollout are others than were ordered.
    #[error("{path} has the hash {found:016x}, not {expected:016x}")]
    OtherHash {
        /// Their file.
        path: PathBuf,
        /// Its hash.
        found: u64,
        /// The hash that was ordered.
        expected: u64,
    },
    /// The configuration cannot be used.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// It changes what only a restart changes.
    #[error(transparent)]
    RestartRequired(#[from] RestartRequired),
    /// The revision cannot be written to disk.
    #[error("cannot write {path}")]
    Write {
        /// Its file.
        path: PathBuf,
        /// Why not.
        #[source]
        error: std::io::Error,
    },
    /// The options have no rollouts.
    #[error("<rollout> is not in the options")]
    NoRollout,
}

/// The files of a change to be read, and the options in force to compare them with.
struct Request {
    path: PathBuf,
    options_path: Option<PathBuf>,
    /// The settings of a rollout and the hash they must have.
    change: Option<(PathBuf, u64)>,
    replicated: Option<Snapshot>,
    /// What is to be on disk before the change is in force.
    write: Option<(PathBuf, PersistedState)>,
    in_force: Arc<Options>,
}

/// A change that is read and checked; taking it over costs the serving thread no more than its parts.
struct Prepared {
    configuration: Configuration,
    retunes: Vec<SettingsChange>,
    tenant_names: Option<TenantNames>,
}

impl Request {
    /// Reads and compares; runs on the blocking pool.
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
                tenant_names = Some(names_of(after));
            }
        }
        if let Some((file, saved)) = self.write {
            let written = files::write(&file, &persistence::encode(&saved));
            written.map_err(|error| ReloadError::Write { path: file, error })?;
        }
        Ok(Prepared { configuration, retunes, tenant_names })
    }
}

/// The names of the tenants that are counted by name.
pub fn names_of(tenants: &Tenants) -> TenantNames {
    Arc::new(tenants.fair.named.iter().map(|(name, _)| name.clone()).collect())
}

/// Reads the files again and puts them in force; files that cannot be used change nothing. Connections to
/// addresses that are the same stay. Signals that come while a reload waits are one with it.
pub async fn reload(server: Rc<Server>) {
    if server.changes.reload_waits.replace(true) {
        return;
    }
    let _turn = server.changes.lock.lock().await;
    server.changes.reload_waits.set(false);
    let (change, replicated) = (adopted(&server), server.configuration.replicated.borrow().clone());
    if let Err(error) = apply(&server, change, replicated, None).await {
        server.counters.reloads_refused.add();
        warn!("configuration kept as it was: {}", with_causes(&error));
    }
}

/// The settings of a rollout that the server has adopted, and their hash.
fn adopted(server: &Server) -> Option<(PathBuf, u64)> {
    let candidate = server.configuration.candidate.borrow().clone()?;
    Some((candidate.path, candidate.adopted?))
}

/// Puts a revision of replicated configuration in force once it is on disk; an error leaves all as it is.
pub async fn apply_replicated(
    server: &Rc<Server>,
    snapshot: Snapshot,
    saved: PersistedState,
    file: PathBuf,
) -> Result<(), ReloadError> {
    let _turn = server.changes.lock.lock().await;
    apply(server, adopted(server), Some(snapshot), Some((file, saved))).await
}

/// Adopts the settings of a rollout, by their hash, or the server's own again; an error leaves all as it is.
pub async fn adopt(server: &Rc<Server>, change: Option<u64>) -> Result<(), ReloadError> {
    let _turn = server.changes.lock.lock().await;
    let candidate = server.configuration.candidate.borrow().clone();
    let candidate = candidate.ok_or(ReloadError::NoRollout)?;
    let replicated = server.configuration.replicated.borrow().clone();
    apply(server, change.map(|hash| (candidate.path.clone(), hash)), replicated, None).await?;
    *server.configuration.candidate.borrow_mut() = Some(Candidate { adopted: change, ..candidate });
    Ok(())
}

/// Reads the files, checks that they can be taken over while the server runs, and puts them in force.
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
    let place = server.pool.descriptor_for_file(&server.descriptors).await;
    let prepared = blocking::unblock(move || request.prepare()).await;
    drop(place);
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
        (Some(shared), Some(names)) => Some(shared.name_tenants(names)),
        (_, names) => names,
    };
    server.change_pauses.set(Pauses::after_swap(stopwatch.elapsed()));
    // Many thousand names are freed where nobody waits.
    blocking::unblock(move || drop((new, old_options, unused_names))).detach();
    if addresses.records != old_addresses.records {
        server.pool.close_all();
    }
    if addresses.interpreter != old_addresses.interpreter {
        let _ = server.interpreter_address_changed.0.try_send(());
    }
    announce(server, retunes).await;
    Ok(())
}

/// Waits until the event loop has handled all events so far.
async fn processed(server: &Server) {
    let (done, is_done) = async_channel::bounded(1);
    let _ = server.events.send(Event::Barrier(done)).await;
    let _ = is_done.recv().await;
}

/// Puts the settings in force in the event loop and the shared state.
async fn announce(server: &Server, retunes: Vec<SettingsChange>) {
    server.counters.reloads.add();
    let reference = server.configuration.target_utilization.get();
    let _ = server.events.send(Event::SetTargetUtilization(reference)).await;
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
        processed(server).await;
        // The sockets are looked at, and whatever has come is served, before the next part.
        Timer::after(PART_INTERVAL).await;
    }
    processed(server).await;
    let Pauses { longest, longest_part, .. } = server.change_pauses.get();
    let (pause_us, processor_us) = (longest.wall.as_micros() as u64, longest.processor.as_micros() as u64);
    info!(addresses = ?server.configuration.addresses.get(), parts, longest_part, processor_us, pause_us,
        "configuration read again");
}
