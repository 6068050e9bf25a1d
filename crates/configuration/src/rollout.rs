//! Reads `<rollout>`, a server's settings of staged rollouts.

use crate::xml::{Element, Result};
use roxmltree::{Document, Node};
use std::path::PathBuf;

/// Attributes of `<rollout>`.
pub const ATTRIBUTES: &[&str] = &["candidate", "program", "servers", "lease-ms"];
/// Maximum value of the `servers` attribute of `<rollout>`. The attribute limits the number of servers of the
/// fleet that run at the same time.
const SERVERS_MAX: usize = 100_000;

/// A server's settings of staged rollouts (`docs/rollout.md`).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rollout {
    /// Path of the candidate settings, which a rollout applies to this server. The path is stored as written
    /// in the options file and is relative to that file.
    pub candidate: PathBuf,
    /// Path of the candidate program, stored as written in the options file and relative to that file. `None`
    /// if rollouts cannot change this server's program.
    ///
    /// If a path is present, the supervisor of this server must restart the program when it exits. A file
    /// next to the options file, with the suffix `.program`, names the program to start.
    pub program: Option<PathBuf>,
    /// Maximum number of servers of the fleet that run at the same time. Coordinators of rollouts count as
    /// servers.
    pub servers: u64,
    /// Names of the members that vote for the holder of the rollout lease.
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
