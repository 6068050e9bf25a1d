//! `<rollout>`: how a server takes part in changes by stages.

use crate::xml::{Element, Result};
use roxmltree::{Document, Node};
use std::path::PathBuf;

/// The attributes of `<rollout>`.
pub const ATTRIBUTES: &[&str] = &["candidate", "program", "servers", "lease-ms"];
/// Servers that may run at once, at most.
const SERVERS_MAX: usize = 100_000;

/// How this server takes part in changes by stages (`docs/rollout.md`).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rollout {
    /// The file with the settings of a change, as written (relative to the options file).
    pub candidate: PathBuf,
    /// The program of a change, likewise. Where it is named, whoever starts this server starts what stands
    /// in the file of its mark, and starts it again when it ends.
    pub program: Option<PathBuf>,
    /// Servers that run at once, coordinators included, at most.
    pub servers: u64,
    /// Names of the members that elect the holder of the lease on rollouts.
    pub voters: Vec<String>,
    /// How long that lease lasts, in nanoseconds; 4 s where absent.
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
