//! `<replication>`: how a member takes part in replicated configuration.

use crate::error::Fault;
use crate::xml::{Element, Result};
use roxmltree::{Document, Node};
use std::path::PathBuf;

/// The attributes of `<replication>`.
pub const ATTRIBUTES: &[&str] =
    &["region", "zone", "file", "pull-ms", "bytes-a-second", "stale-ms", "lease-ms"];
/// Longest name of a region or a zone, in bytes.
const NAME_BYTES_MAX: usize = 64;

/// How this member takes part in replicated configuration (`docs/replication.md`). Times in nanoseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replication {
    /// The region that this member runs in.
    pub region: String,
    /// The zone of that region.
    pub zone: String,
    /// The file that keeps the last good revision, as written (relative to the options file).
    pub file: PathBuf,
    /// Names of the control machines that keep the log.
    pub replicas: Vec<String>,
    /// Between two pulls; 500 ms where absent.
    pub pull_period: u64,
    /// Bytes that a server sends for it a second, at the most; 12,000 where absent.
    pub bytes_a_second: u64,
    /// Without a message from the leader for so long a server warns of it; 60 s where absent.
    pub stale_after: u64,
    /// How long the leader's lease lasts; 4 s where absent.
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
    let (attribute, most, length) = (attribute.to_string(), NAME_BYTES_MAX, name.len());
    Err(element.error(Fault::Length { attribute, most, length }))
}
