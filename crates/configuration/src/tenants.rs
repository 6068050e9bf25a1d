//! Reads `<tenants>`: how tenants are identified, and the settings of fair queueing among tenants.

use crate::error::Fault;
use crate::idempotency_keys::free_field;
use crate::xml::{Element, Result, milliseconds};
use meadowstream_fair_queueing::{NamedTenant, Settings};
use roxmltree::{Document, Node};
use std::collections::HashSet;

/// Maximum length of a tenant's name, in bytes.
const NAME_BYTES_MAX: usize = 2048;
/// Minimum weight of a tenant; the default weight is 1. The next constant is the maximum weight.
pub(crate) const WEIGHT_MIN: f64 = 1e-3;
pub(crate) const WEIGHT_MAX: f64 = 1e3;

const ATTRIBUTES: &[&str] = &["by", "field", "origin", "default-weight", "surplus-value", "shown"];
const CEILINGS: &[&str] = &["accounts", "cells", "origins", "promises", "names-per-origin"];
const SHARE: &[&str] = &["at-once-ms", "probation-ms", "late-ms"];

/// Part of a call that identifies the tenant of the call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TenantSource {
    /// The sender number that the call contains.
    Sender,
    /// The IP address of the peer.
    Peer,
    /// The call field with this name.
    Field(String),
}

/// Part of a call that identifies the network origin of the call. A tenant must not be able to forge this
/// part, because all new tenant names from one origin share one quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The connection.
    Connection,
    /// The IP address of the peer. This is the default.
    Peer,
    /// The sender number that the call contains. Suitable only if all senders belong to the operator, because
    /// other senders could forge the number.
    Sender,
}

/// Settings of tenants.
#[derive(Clone, Debug)]
pub struct Tenants {
    /// Part of a call that identifies the tenant of the call.
    pub source: TenantSource,
    /// Part of a call that identifies the network origin of the call; a tenant cannot forge this part.
    pub origin: Origin,
    /// Factor by which the priority weight of an invocation is multiplied if the tenant exceeds its quota;
    /// default 0.1.
    pub surplus_value: f64,
    /// Maximum number of tenants that the log shows by name, 0 to 64; default 8. The log shows the tenants
    /// with the highest demand.
    pub shown: usize,
    /// Settings of fair queueing: weights, quotas and memory limits.
    pub fair: Settings,
}

pub(crate) fn read<'d>(document: &Document<'d>, node: Node<'_, 'd>) -> Result<Tenants> {
    let element = Element::new(document, node, ATTRIBUTES)?;
    let source = read_source(&element)?;
    let origin = read_origin(&element)?;
    let weight = element.number("default-weight", 1.0, WEIGHT_MIN, WEIGHT_MAX)?;
    let mut fair = Settings { default_weight: weight, ..Settings::default() };
    let children = element.children(&["ceilings", "share", "tenant"], &["tenant"])?;
    let (named, limits): (Vec<_>, Vec<_>) =
        children.into_iter().partition(|child| child.tag_name().name() == "tenant");
    for child in limits {
        match child.tag_name().name() {
            "ceilings" => read_ceilings(&Element::new(document, child, CEILINGS)?, &mut fair)?,
            _ => read_share(&Element::new(document, child, SHARE)?, &mut fair)?,
        }
    }
    fair.named = read_named(document, named, &fair)?.into();
    fair.check().map_err(|fault| element.error(Fault::TenantLimit(fault)))?;
    let surplus_value = element.number("surplus-value", 0.1, 1e-6, 1.0)?;
    let shown = element.whole("shown", 8, 0, 64)?;
    Ok(Tenants { source, origin, surplus_value, shown, fair })
}

fn read_source(element: &Element) -> Result<TenantSource> {
    let choice = element.required("by")?;
    let has_field = element.text("field").is_some();
    match (choice, has_field) {
        ("sender", false) => Ok(TenantSource::Sender),
        ("peer", false) => Ok(TenantSource::Peer),
        ("field", true) => Ok(TenantSource::Field(free_field(element, "a tenant")?.to_string())),
        ("field", false) => Err(element.error(Fault::FieldNeeded)),
        (_, true) => Err(element.error(Fault::FieldWithoutChoice)),
        (other, false) => Err(unknown_choice(element, "by", other)),
    }
}

fn read_origin(element: &Element) -> Result<Origin> {
    match element.text("origin").unwrap_or("peer") {
        "connection" => Ok(Origin::Connection),
        "peer" => Ok(Origin::Peer),
        "sender" => Ok(Origin::Sender),
        other => Err(unknown_choice(element, "origin", other)),
    }
}

fn unknown_choice(
    element: &Element,
    attribute: &'static str,
    choice: &str,
) -> crate::error::ConfigurationError {
    element.error(Fault::UnknownChoice { attribute, choice: choice.to_string() })
}

/// Reads the `<tenant>` elements in the order of the file. Names must be unique. `<ceilings accounts>` limits
/// the number of elements.
fn read_named<'d>(
    document: &Document<'d>,
    elements: Vec<Node<'_, 'd>>,
    fair: &Settings,
) -> Result<Vec<NamedTenant>> {
    let (max, count) = (fair.named_max(), elements.len());
    let mut named = Vec::with_capacity(count);
    let mut names = HashSet::with_capacity(count);
    for child in elements {
        let tenant = Element::new(document, child, &["name", "weight"])?;
        let name = tenant.required("name")?;
        if name.len() > NAME_BYTES_MAX {
            return Err(tenant.error(Fault::TooLong { attribute: "name", max: NAME_BYTES_MAX }));
        }
        let weight = tenant.number("weight", fair.default_weight, WEIGHT_MIN, WEIGHT_MAX)?;
        if !names.insert(name) {
            return Err(tenant.error(Fault::ValueTwice { attribute: "name", value: name.to_string() }));
        }
        if named.len() == max {
            return Err(tenant.error(too_many_tenants(fair, count, max)));
        }
        named.push((name.as_bytes().to_vec(), weight));
    }
    Ok(named)
}

fn too_many_tenants(fair: &Settings, named: usize, max: usize) -> Fault {
    let wanted = Settings { named: vec![(Vec::new(), 1.0); named].into(), ..fair.clone() };
    let limit = wanted.check().err().map(|fault| fault.to_string());
    Fault::TooManyTenants { limit: limit.unwrap_or_default(), named, max }
}

fn read_ceilings(element: &Element, fair: &mut Settings) -> Result<()> {
    fair.accounts = element.whole("accounts", fair.accounts, 16, 1 << 20)?;
    fair.cells = element.whole("cells", fair.cells, 64, 1 << 26)?;
    fair.origins = element.whole("origins", fair.origins, 1, 1 << 16)?;
    fair.promises = element.whole("promises", fair.promises, 1, 1 << 20)?;
    fair.names_per_origin = element.number("names-per-origin", fair.names_per_origin, 1.0, 1e9)?;
    Ok(())
}

fn read_share(element: &Element, fair: &mut Settings) -> Result<()> {
    fair.burst = element.duration_ns("at-once-ms", milliseconds(fair.burst), 1, 3_600_000)?;
    fair.probation = element.duration_ns("probation-ms", milliseconds(fair.probation), 0, 3_600_000)?;
    fair.return_grace = element.duration_ns("late-ms", milliseconds(fair.return_grace), 1, 60_000)?;
    Ok(())
}
