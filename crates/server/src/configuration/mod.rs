//! Configuration of a server, loaded from the platform's file and the options file. A reload changes some
//! parts of the configuration while the server runs.

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

/// Addresses of the processes that the server communicates with.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Address of the interpreter, the process that runs the operations.
    pub interpreter: SocketAddr,
    /// Address of the service registry.
    pub catalog: SocketAddr,
    /// Address of the downstream service that this server calls. `None` for a server of the last tier, which
    /// makes no downstream calls.
    pub records: Option<SocketAddr>,
}

/// Configuration of a server.
pub struct Configuration {
    /// Path of the platform's file.
    pub path: PathBuf,
    /// Name of the server in the service registry.
    pub name: String,
    /// Address on which the server accepts connections.
    pub listen: SocketAddr,
    /// Addresses of the other processes that this server communicates with. A reload may change these
    /// addresses.
    pub addresses: Cell<Addresses>,
    /// Seed for all random number generators of the server.
    pub seed: u64,
    /// Time from the notice to leave (SIGTERM) until the process is stopped, in milliseconds.
    pub stop_ms: u64,
    /// Memory limit, in MiB.
    pub memory_mb: u64,
    /// Maximum number of file descriptors that the server process may have open.
    pub sockets: usize,
    /// Settings of the deployment, from the `settings` object of the platform's file.
    pub settings: DeploymentSettings,
    /// Notes that the server writes to its log at the start. The notes state which defaults were filled in
    /// and which settings have no effect.
    pub notes: Vec<String>,
    /// Contents of the options file; default values if there is no options file.
    pub options: RefCell<Arc<Options>>,
    /// Path of the options file; `None` if there is no options file.
    pub options_path: Option<PathBuf>,
    /// Target utilization of the CPU cores, from 0 to 1. A reload may change the target.
    pub target_utilization: Cell<f64>,
    /// Candidate settings and program of a rollout; `None` if the options file has no `<rollout>` element.
    pub candidate: RefCell<Option<Candidate>>,
    /// Revision of the replicated configuration that the server currently uses; `None` if the server uses no
    /// replicated configuration.
    pub replicated: RefCell<Option<Snapshot>>,
    /// Settings of this process as a member of a fleet; `None` if the options file has no `<membership>`
    /// element.
    pub membership: Option<FleetSettings>,
}

impl Configuration {
    /// Returns the longest client timeout of all operations. A client timeout is the time for which a caller
    /// waits for an answer.
    pub fn longest_client_timeout(&self) -> Nanos {
        let operations = &self.settings.deployment.operations;
        operations.iter().map(|operation| operation.client_timeout).max().unwrap_or(0)
    }

    /// Returns the shortest client timeout of all operations. A client timeout is the time for which a caller
    /// waits for an answer.
    pub fn shortest_client_timeout(&self) -> Nanos {
        let operations = &self.settings.deployment.operations;
        operations.iter().map(|operation| operation.client_timeout).min().unwrap_or(0)
    }
}
