//! `<rollout>`: settings of staged rollouts on a server.

use crate::xml::{Element, Result};
use roxmltree::{Document, Node};
use std::path::PathBuf;

/// Attributes of `<rollout>`.
pub const ATTRIBUTES: &[&str] = &["candidate", "program", "servers", "lease-ms"];
/// Maximum value of the `servers` attribute.
const SERVERS_MAX: usize = 100_000;

/// Settings of staged rollouts (`docs/rollout.md`).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rollout {
    /// Path of the candidate settings, as written (relative to the options file).
    pub candidate: PathBuf,
    /// Path of the candidate program, as written (relative to the options file). If a path is present, this
    /// server's supervisor must start the program that the file with the suffix `.program` next to the
    /// options file names, and must restart the program when it exits.
    pub program: Option<PathBuf>,
    /// Maximum number of servers that run at the same time, including coordinators.
    pub servers: u64,
    /// Names of the members that elect the holder of the rollout lease.
    pub voters: Vec<String>,
    /// Duration of the rollout lease, in nanoseconds; default 4 s.
    pub lease: u64,
}

pub(crate) fn read<'d>(document: &Document<'d>, node: Node<'_, 'd>) -> Result<Rollout> {
    let element = Element::new(document, node, ATTRIBUTES)?;
    let candidate = PathBuf::from(element.required("candidate")?);
    let servers = element.required_whole("servers", 1, SERVERS_MAX)? as u64;
    Ok(Rollout {
        candidate,
        program: element.text("program").map(PathBuf::from),
        servers,
        voters: element.names_of_children("voter")?,
        lease: element.duration_ns("lease-ms", 4_000, 100, 600_000)?,
    })
}
