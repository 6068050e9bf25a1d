//! What a server is told at its start, by the platform's file and by its options, and what of it a reload
//! changes.

pub mod candidate;
mod defaults;
mod error;
pub mod fleet;
pub mod leases;
mod load;
mod membership_key;
pub mod persisted_revision;
mod platform_file;

pub use defaults::TENANT_FIELD;
pub use error::LoadError;
pub use load::Layers;

use candidate::Candidate;
use fleet::FleetSettings;
use meadowstream_configuration::Options;
use meadowstream_deployment_settings::DeploymentSettings;
use meadowstream_overload_control::Nanos;
use meadowstream_replication::snapshot::Snapshot;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

/// Where the other parties are.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// The interpreter that runs the work.
    pub interpreter: SocketAddr,
    /// The service registry.
    pub catalog: SocketAddr,
    /// The downstream service; the last tier calls none.
    pub records: Option<SocketAddr>,
}

/// Everything that a server is told.
pub struct Configuration {
    /// The platform's file.
    pub path: PathBuf,
    /// The server's name for the service registry.
    pub name: String,
    /// Where it accepts connections.
    pub listen: SocketAddr,
    /// Where the other parties are; a reload may change them.
    pub addresses: Cell<Addresses>,
    /// Seed of everything random.
    pub seed: u64,
    /// From the notice to leave to the stop, in milliseconds.
    pub stop_ms: u64,
    /// Memory limit, in MiB.
    pub memory_mb: u64,
    /// Limit of descriptors.
    pub sockets: usize,
    /// Settings of the deployment.
    pub settings: DeploymentSettings,
    /// What is done by default, for the log.
    pub notes: Vec<String>,
    /// This project's own settings.
    pub options: RefCell<Arc<Options>>,
    /// The file of the options, where there is one.
    pub options_path: Option<PathBuf>,
    /// Utilization of the cores to steer to; a reload may change it.
    pub target_utilization: Cell<f64>,
    /// What a rollout may have the server adopt, where the options name it.
    pub candidate: RefCell<Option<Candidate>>,
    /// The revision of replicated configuration that is in force, if any.
    pub replicated: RefCell<Option<Snapshot>>,
    /// How the server takes part in the fleet, where the options have `<membership>`.
    pub membership: Option<FleetSettings>,
}

impl Configuration {
    /// The longest time that the clients of any operation wait.
    pub fn longest_client_timeout(&self) -> Nanos {
        let operations = &self.settings.deployment.operations;
        operations.iter().map(|operation| operation.client_timeout).max().unwrap_or(0)
    }

    /// The shortest time that the clients of any operation wait.
    pub fn shortest_client_timeout(&self) -> Nanos {
        let operations = &self.settings.deployment.operations;
        operations.iter().map(|operation| operation.client_timeout).min().unwrap_or(0)
    }
}
