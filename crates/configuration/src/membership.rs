//! Reads `<membership>`, the settings of the SWIM membership protocol over UDP.

use crate::error::Fault;
use crate::xml::{Element, Result, milliseconds};
use roxmltree::{Document, Node};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Attributes of `<membership>`.
pub const ATTRIBUTES: &[&str] = &[
    "bind",
    "advertise",
    "name",
    "fleet",
    "key-file",
    "probe-period-ms",
    "probe-rtt-ms",
    "suspicion-multiplier",
    "expected-members",
    "gossip-period-ms",
    "announce-period-ms",
    "bytes-a-second",
];
/// Maximum number of seeds.
const SEEDS_MAX: usize = 64;
/// Maximum length of a member's name or of the fleet's name, in bytes.
const NAME_BYTES_MAX: usize = 64;

/// Settings of the membership protocol (`docs/membership.md`). Times are in nanoseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Membership {
    /// Address to which the server binds its UDP socket for membership messages.
    pub bind: SocketAddr,
    /// Address to which other members send messages. Required only if it differs from `bind`, for example
    /// behind a relay or a NAT.
    pub advertise: Option<SocketAddr>,
    /// Name of this member. By default the name of the server in the platform's settings file.
    pub name: Option<String>,
    /// Name of the fleet.
    pub fleet: String,
    /// Path of the file with the shared key of the fleet. The path is stored as written in the options file
    /// and is relative to that file.
    pub key_file: PathBuf,
    /// Addresses of members that the server contacts to join the fleet, at most 64.
    pub seeds: Vec<SocketAddr>,
    /// Probe period: time in nanoseconds between two probes that this member sends; default 1 s.
    pub probe_period: u64,
    /// Time in nanoseconds to wait for the answer to a direct probe. After this time, this member requests
    /// other members to probe the target. Default: two fifths of the probe period.
    pub probe_rtt: u64,
    /// Suspicion time in probe periods: a suspected member is declared down after this time; default 4.
    pub suspicion_multiplier: u32,
    /// Expected number of members of the fleet; default 64. The number of times that each update is sent is
    /// calculated from this number.
    pub expected_members: u32,
    /// Time in nanoseconds between two rounds of gossip; default 200 ms.
    pub gossip_period: u64,
    /// Time in nanoseconds between two announcements of this member to the fleet; default 10 s.
    pub announce_period: u64,
    /// Maximum number of bytes of membership datagrams that this member sends in any second; default 200,000.
    pub bytes_a_second: u64,
}

pub(crate) fn read<'d>(document: &Document<'d>, node: Node<'_, 'd>) -> Result<Membership> {
    let element = Element::new(document, node, ATTRIBUTES)?;
    element.required("fleet")?;
    let fleet = plain_name(&element, "fleet")?;
    let key_file = PathBuf::from(element.required("key-file")?);
    let probe_period = element.duration_ns("probe-period-ms", 1_000, 10, 60_000)?;
    let probe_period_ms = milliseconds(probe_period);
    let probe_rtt = element.duration_ns("probe-rtt-ms", probe_period_ms * 2 / 5, 1, 60_000)?;
    if probe_rtt >= probe_period {
        return Err(element.error(Fault::ProbeTime));
    }
    let seeds = read_seeds(document, &element)?;
    Ok(Membership {
        bind: element.address("bind")?,
        advertise: element.text("advertise").map(|_| element.address("advertise")).transpose()?,
        name: element.text("name").map(|_| plain_name(&element, "name")).transpose()?,
        fleet,
        key_file,
        seeds,
        probe_period,
        probe_rtt,
        suspicion_multiplier: element.whole("suspicion-multiplier", 4, 1, 60)? as u32,
        expected_members: element.whole("expected-members", 64, 1, 100_000)? as u32,
        gossip_period: element.duration_ns("gossip-period-ms", 200, 10, 60_000)?,
        announce_period: element.duration_ns("announce-period-ms", 10_000, 100, 600_000)?,
        bytes_a_second: element.whole("bytes-a-second", 200_000, 6_000, 1_000_000_000)? as u64,
    })
}

/// Reads an attribute that contains a name. Only letters, digits, `-`, `_` and `.` are allowed, because names
/// appear in log lines.
fn plain_name(element: &Element, attribute: &str) -> Result<String> {
    let text = element.required(attribute)?;
    let is_plain = text.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b));
    if is_plain && (1..=NAME_BYTES_MAX).contains(&text.len()) {
        return Ok(text.to_string());
    }
    Err(element.error(Fault::NotPlain { attribute: attribute.to_string(), max: NAME_BYTES_MAX }))
}

fn read_seeds<'d>(document: &Document<'d>, element: &Element<'_, 'd>) -> Result<Vec<SocketAddr>> {
    let mut seeds = Vec::new();
    for child in element.children(&["seed"], &["seed"])? {
        let seed = Element::new(document, child, &["address"])?;
        if seeds.len() == SEEDS_MAX {
            return Err(seed.error(Fault::TooMany { max: SEEDS_MAX, what: " seeds" }));
        }
        seeds.push(seed.address("address")?);
    }
    Ok(seeds)
}
