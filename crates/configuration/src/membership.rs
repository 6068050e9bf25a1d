//! `<membership>`: the fleet's view by SWIM over UDP.

use crate::error::Fault;
use crate::xml::{Element, Result, milliseconds};
use roxmltree::{Document, Node};
use std::net::SocketAddr;
use std::path::PathBuf;

/// The attributes of `<membership>`.
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
/// Seeds named at most.
const SEEDS_MAX: usize = 64;
/// Longest name of a member or a fleet, in bytes.
const NAME_BYTES_MAX: usize = 64;

/// How this server takes part in the fleet's view (`docs/membership.md`). Times in nanoseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Membership {
    /// The UDP address that this server listens on.
    pub bind: SocketAddr,
    /// The address that peers are told to send to, where it is not `bind` (behind a relay or a NAT).
    pub advertise: Option<SocketAddr>,
    /// The member's name; the platform's name of the server where absent.
    pub name: Option<String>,
    /// The fleet's name.
    pub fleet: String,
    /// The file that holds the fleet's shared key, as written (relative to the options file).
    pub key_file: PathBuf,
    /// Members to join by, 64 at most.
    pub seeds: Vec<SocketAddr>,
    /// Between two probes; 1 s where absent.
    pub probe_period: u64,
    /// How long a direct probe waits before others are asked to probe; two fifths of the period where absent.
    pub probe_rtt: u64,
    /// Probe periods after which a suspect is declared down; 4 where absent.
    pub suspicion_multiplier: u32,
    /// Fleet size that dissemination is tuned for; 64 where absent.
    pub expected_members: u32,
    /// Between two rounds of gossip; 200 ms where absent.
    pub gossip_period: u64,
    /// Between two announcements; 10 s where absent.
    pub announce_period: u64,
    /// Bytes that the view's own datagrams take in any second; 200,000 where absent.
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

/// Letters, digits and a few marks: names stand in log lines.
fn plain_name(element: &Element, attribute: &str) -> Result<String> {
    let text = element.required(attribute)?;
    let is_plain = text.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b));
    if is_plain && (1..=NAME_BYTES_MAX).contains(&text.len()) {
        return Ok(text.to_string());
    }
    Err(element.error(Fault::NotPlain { attribute: attribute.to_string(), most: NAME_BYTES_MAX }))
}

fn read_seeds<'d>(document: &Document<'d>, element: &Element<'_, 'd>) -> Result<Vec<SocketAddr>> {
    let mut seeds = Vec::new();
    for child in element.children(&["seed"], &["seed"])? {
        let seed = Element::new(document, child, &["address"])?;
        if seeds.len() == SEEDS_MAX {
            return Err(seed.error(Fault::TooMany { most: SEEDS_MAX, what: " seeds" }));
        }
        seeds.push(seed.address("address")?);
    }
    Ok(seeds)
}
