//! `<membership>`: settings of the SWIM membership protocol over UDP.

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
/// Maximum length of the name of a member or a fleet, in bytes.
const NAME_BYTES_MAX: usize = 64;

/// Settings of the membership protocol (`docs/membership.md`). Times are in nanoseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Membership {
    /// Address of the server's UDP socket.
    pub bind: SocketAddr,
    /// Address that other members send to, if it differs from `bind` (behind a relay or a NAT).
    pub advertise: Option<SocketAddr>,
    /// Name of this member; default is the server's name in the platform's file.
    pub name: Option<String>,
    /// Name of the fleet.
    pub fleet: String,
    /// Path of the file with the fleet's shared key, as written (relative to the options file).
    pub key_file: PathBuf,
    /// Addresses of the members through which the server joins the fleet, 64 at most.
    pub seeds: Vec<SocketAddr>,
    /// Time between two probes; default 1 s.
    pub probe_period: u64,
    /// Time to wait for the answer to a direct probe before other members are asked to probe; default two
    /// fifths of the probe period.
    pub probe_rtt: u64,
    /// Number of probe periods after which a suspect is declared down; default 4.
    pub suspicion_multiplier: u32,
    /// Number of members expected in the fleet, from which the number of transmissions of each update is
    /// calculated; default 64.
    pub expected_members: u32,
    /// Time between two rounds of gossip; default 200 ms.
    pub gossip_period: u64,
    /// Time between two announcements; default 10 s.
    pub announce_period: u64,
    /// Limit on the bytes of membership datagrams sent in any second; default 200,000.
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

/// Reads a name. Only letters, digits, `-`, `_` and `.` are allowed, because names appear in log lines.
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
