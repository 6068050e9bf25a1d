//! `<shared-state>`: a budget of calls and a judged tier that the servers of a fleet share.

use crate::error::Fault;
use crate::xml::{Element, Result};
use roxmltree::{Document, Node};
use std::net::SocketAddr;

/// The attributes of `<budget>`.
pub const BUDGET: &[&str] = &["name", "total", "floor", "servers", "lease-ms", "use-most-ms"];
/// The attributes of `<tier>`.
pub const TIER: &[&str] = &["reports", "eject-share", "expiry-ms"];
/// Services of a tier named at most.
const SERVICES_MAX: usize = 256;
/// Longest name of a service, in bytes.
const NAME_BYTES_MAX: usize = 64;
/// Largest total of a budget, in units.
pub(crate) const TOTAL_MOST: usize = 1 << 40;

/// What this server shares with the others of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SharedState {
    /// Nanoseconds between two rounds of gossip; 500 ms where absent.
    pub gossip: u64,
    /// The budget of calls, where there is one.
    pub budget: Option<Budget>,
    /// The services below that are judged, where they are.
    pub tier: Option<Tier>,
}

/// A budget of the whole fleet for calls to the service below (`docs/shared-state.md`). Times in nanoseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Its name in the fleet.
    pub name: String,
    /// Calls that the whole fleet may have in flight.
    pub total: u64,
    /// Calls that each server may have in flight without a lease; 0 where absent.
    pub floor: u64,
    /// Servers that may run at once, at most.
    pub servers: u64,
    /// How long a lease lasts; 4 s where absent.
    pub lease: u64,
    /// Longest time that a call stays in flight; 1 s where absent.
    pub use_most: u64,
    /// Names of the members that elect who grants leases.
    pub voters: Vec<String>,
}

/// The services of the tier below, judged by the fleet (`docs/shared-state.md`).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tier {
    /// Servers that must find a service slow or failing, 1 to 1000; 2 where absent.
    pub reports: usize,
    /// Part of the tier that is ejected at most, in thousandths; 500 where absent.
    pub share_thousandths: usize,
    /// How long a report counts, in nanoseconds; 5 s where absent.
    pub expiry: u64,
    /// The same on every server and in the same order.
    pub services: Vec<TierService>,
}

/// One service of a tier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TierService {
    /// Its name, 1 to 64 bytes.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
}

pub(crate) fn read<'d>(document: &Document<'d>, node: Node<'_, 'd>) -> Result<SharedState> {
    let element = Element::new(document, node, &["gossip-ms"])?;
    let gossip = element.duration_ns("gossip-ms", 500, 10, 60_000)?;
    let (mut budget, mut tier) = (None, None);
    for child in element.children(&["budget", "tier"], &[])? {
        match child.tag_name().name() {
            "budget" => budget = Some(read_budget(document, child)?),
            _ => tier = Some(read_tier(document, child)?),
        }
    }
    Ok(SharedState { gossip, budget, tier })
}

fn read_budget<'d>(document: &Document<'d>, node: Node<'_, 'd>) -> Result<Budget> {
    let element = Element::new(document, node, BUDGET)?;
    let count = |attribute| element.required_whole(attribute, 1, TOTAL_MOST).map(|whole| whole as u64);
    let voters = element.names_of_children("voter")?;
    Ok(Budget {
        name: element.required("name")?.to_string(),
        total: count("total")?,
        servers: count("servers")?,
        floor: element.whole("floor", 0, 0, TOTAL_MOST)? as u64,
        lease: element.duration_ns("lease-ms", 4_000, 100, 600_000)?,
        use_most: element.duration_ns("use-most-ms", 1_000, 1, 600_000)?,
        voters,
    })
}

fn read_tier<'d>(document: &Document<'d>, node: Node<'_, 'd>) -> Result<Tier> {
    let element = Element::new(document, node, TIER)?;
    let mut services: Vec<TierService> = Vec::new();
    for child in element.children(&["service"], &["service"])? {
        let child = Element::new(document, child, &["name", "address"])?;
        let service = read_service(&child, &services)?;
        services.push(service);
    }
    if services.is_empty() {
        return Err(element.error(Fault::Missing { name: "service".to_string() }));
    }
    let share = element.number("eject-share", 0.5, 0.0, 1.0)?;
    Ok(Tier {
        reports: element.whole("reports", 2, 1, 1000)?,
        share_thousandths: (share * 1000.0).round() as usize,
        expiry: element.duration_ns("expiry-ms", 5_000, 100, 600_000)?,
        services,
    })
}

/// A service whose name and address none before it has.
fn read_service(element: &Element, before: &[TierService]) -> Result<TierService> {
    if before.len() == SERVICES_MAX {
        return Err(element.error(Fault::TooMany { most: SERVICES_MAX, what: "" }));
    }
    let name = element.required("name")?.to_string();
    if !(1..=NAME_BYTES_MAX).contains(&name.len()) {
        let (attribute, most, length) = ("name".to_string(), NAME_BYTES_MAX, name.len());
        return Err(element.error(Fault::Length { attribute, most, length }));
    }
    let address = element.address("address")?;
    if before.iter().any(|other| other.name == name || other.address == address) {
        return Err(element.error(Fault::ServiceTwice { name, address }));
    }
    Ok(TierService { name, address })
}
