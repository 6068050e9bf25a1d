//! Reads `<shared-state>`, the settings of the call budget and the outlier detection that the servers of a
//! fleet share.

use crate::error::Fault;
use crate::xml::{Element, Result};
use roxmltree::{Document, Node};
use std::net::SocketAddr;

/// Attributes of `<budget>`.
pub const BUDGET: &[&str] = &["name", "total", "floor", "servers", "lease-ms", "use-most-ms"];
/// Attributes of `<tier>`.
pub const TIER: &[&str] = &["reports", "eject-share", "expiry-ms"];
/// Maximum number of downstream services in a tier.
const SERVICES_MAX: usize = 256;
/// Maximum length of a service's name, in bytes.
const NAME_BYTES_MAX: usize = 64;
/// Maximum total of a call budget, in concurrent calls.
pub(crate) const TOTAL_MAX: usize = 1 << 40;

/// Settings of the state that the servers of a fleet share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SharedState {
    /// Time between two rounds of gossip, in nanoseconds; default 500 ms.
    pub gossip_interval: u64,
    /// Budget of downstream calls; `None` if the fleet has no budget.
    pub budget: Option<Budget>,
    /// Tier of downstream services with outlier detection; `None` if the fleet has no tier.
    pub tier: Option<Tier>,
}

/// Budget for the concurrent calls of the whole fleet to the downstream service (`docs/shared-state.md`).
/// Times are in nanoseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Name of the budget, which is the same at all servers of the fleet.
    pub name: String,
    /// Maximum number of concurrent calls of the whole fleet to the downstream service.
    pub total: u64,
    /// Number of concurrent calls that each server may make without a lease; default 0.
    pub floor: u64,
    /// Maximum number of servers of the fleet that run at the same time.
    pub servers: u64,
    /// Duration in nanoseconds of a lease, which permits a server a number of concurrent calls; default 4 s.
    pub lease: u64,
    /// Maximum duration of a call in nanoseconds; default 1 s.
    pub use_max: u64,
    /// Names of the members that elect the grantor, which grants leases to the servers.
    pub voters: Vec<String>,
}

/// A tier of downstream services, and the settings of the outlier detection among these services
/// (`docs/shared-state.md`).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tier {
    /// Number of servers that must report a service as slow or failing before the fleet ejects it, 1 to 1000;
    /// default 2.
    pub accusers_min: usize,
    /// Maximum share of the tier's services that may be ejected at the same time, in thousandths; default
    /// 500.
    pub max_ejected_thousandths: usize,
    /// Time after which a server's report of a slow or failing service expires, in nanoseconds; default 5 s.
    pub expiry: u64,
    /// Services of the tier. All servers of the fleet must list the same services in the same order.
    pub services: Vec<TierService>,
}

/// One service of a tier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TierService {
    /// Name of the service, 1 to 64 bytes.
    pub name: String,
    /// Address on which the service listens.
    pub address: SocketAddr,
}

pub(crate) fn read<'d>(document: &Document<'d>, node: Node<'_, 'd>) -> Result<SharedState> {
    let element = Element::new(document, node, &["gossip-ms"])?;
    let gossip_interval = element.duration_ns("gossip-ms", 500, 10, 60_000)?;
    let (mut budget, mut tier) = (None, None);
    for child in element.children(&["budget", "tier"], &[])? {
        match child.tag_name().name() {
            "budget" => budget = Some(read_budget(document, child)?),
            _ => tier = Some(read_tier(document, child)?),
        }
    }
    Ok(SharedState { gossip_interval, budget, tier })
}

fn read_budget<'d>(document: &Document<'d>, node: Node<'_, 'd>) -> Result<Budget> {
    let element = Element::new(document, node, BUDGET)?;
    let count = |attribute| element.required_whole(attribute, 1, TOTAL_MAX).map(|whole| whole as u64);
    let voters = element.names_of_children("voter")?;
    Ok(Budget {
        name: element.required("name")?.to_string(),
        total: count("total")?,
        servers: count("servers")?,
        floor: element.whole("floor", 0, 0, TOTAL_MAX)? as u64,
        lease: element.duration_ns("lease-ms", 4_000, 100, 600_000)?,
        use_max: element.duration_ns("use-most-ms", 1_000, 1, 600_000)?,
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
        accusers_min: element.whole("reports", 2, 1, 1000)?,
        max_ejected_thousandths: (share * 1000.0).round() as usize,
        expiry: element.duration_ns("expiry-ms", 5_000, 100, 600_000)?,
        services,
    })
}

/// Reads a service of the tier. No two services may have the same name or the same address; `previous`
/// contains the services read so far.
fn read_service(element: &Element, previous: &[TierService]) -> Result<TierService> {
    if previous.len() == SERVICES_MAX {
        return Err(element.error(Fault::TooMany { max: SERVICES_MAX, what: "" }));
    }
    let name = element.required("name")?.to_string();
    if !(1..=NAME_BYTES_MAX).contains(&name.len()) {
        let (attribute, max, length) = ("name".to_string(), NAME_BYTES_MAX, name.len());
        return Err(element.error(Fault::Length { attribute, max, length }));
    }
    let address = element.address("address")?;
    if previous.iter().any(|other| other.name == name || other.address == address) {
        return Err(element.error(Fault::ServiceTwice { name, address }));
    }
    Ok(TierService { name, address })
}
