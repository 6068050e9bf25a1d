//! Reads `<replication>`, the settings of replicated configuration.

use crate::error::Fault;
use crate::xml::{Element, Result};
use roxmltree::{Document, Node};
use std::path::PathBuf;

/// Attributes of `<replication>`.
pub const ATTRIBUTES: &[&str] =
    &["region", "zone", "file", "pull-ms", "bytes-a-second", "stale-ms", "lease-ms"];
/// Maximum length of a region's or a zone's name, in bytes.
const NAME_BYTES_MAX: usize = 64;

/// Settings of replicated configuration (`docs/replication.md`). Times are in nanoseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replication {
    /// Region in which this member runs.
    pub region: String,
    /// Zone in which this member runs. A zone is a part of a region.
    pub zone: String,
    /// Path of the file in which the server stores the last good revision: the last revision that it applied.
    /// The path is stored as written in the options file and is relative to that file.
    pub file: PathBuf,
    /// Names of the control machines, which store the log of configuration revisions.
    pub replicas: Vec<String>,
    /// Time in nanoseconds between two pulls; default 500 ms. In each pull a member sends its digest to a
    /// random member to fetch missing revisions.
    pub pull_period: u64,
    /// Maximum number of bytes per second that a server sends for replication; default 12,000.
    pub bytes_a_second: u64,
    /// Maximum age in nanoseconds of the last confirmation that the server holds all revisions; default 60 s.
    /// The confirmations come from the leader of the control machines. A server logs a warning if its last
    /// confirmation is older.
    pub stale_after: u64,
    /// Duration in nanoseconds of the lease that the leader of the control machines holds; default 4 s.
    pub lease: u64,
}

pub(crate) fn read<'d>(document: &Document<'d>, node: Node<'_, 'd>) -> Result<Replication> {
    let element = Element::new(document, node, ATTRIBUTES)?;
    let replicas = element.names_of_children("replica")?;
    Ok(Replication {
        region: location_name(&element, "region")?,
        zone: location_name(&element, "zone")?,
        file: PathBuf::from(element.required("file")?),
        replicas,
        pull_period: element.duration_ns("pull-ms", 500, 10, 60_000)?,
        bytes_a_second: element.whole("bytes-a-second", 12_000, 2_200, 100_000_000)? as u64,
        stale_after: element.duration_ns("stale-ms", 60_000, 1_000, 86_400_000)?,
        lease: element.duration_ns("lease-ms", 4_000, 100, 600_000)?,
    })
}

fn location_name(element: &Element, attribute: &str) -> Result<String> {
    let name = element.required(attribute)?;
    if (1..=NAME_BYTES_MAX).contains(&name.len()) {
        return Ok(name.to_string());
    }
    let (attribute, max, length) = (attribute.to_string(), NAME_BYTES_MAX, name.len());
    Err(element.error(Fault::Length { attribute, max, length }))
}
