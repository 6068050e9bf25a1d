//! Configuration that comes to a server by replication: the element that turns it on, the file of a change
//! that an operator publishes, and what the keys of a replicated configuration mean.

use crate::{Element, NAMESPACE, Options, parse, text_of};
use anyhow::{Context, Result, bail, ensure};
use meadowstream_fair_queueing::NamedTenant;
use roxmltree::{Document, Node};
use std::collections::{BTreeMap, HashMap};
use std::path::{Path, PathBuf};

/// How this member takes part in replicated configuration (`docs/replication.md`). Times in nanoseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replication {
    pub region: String,
    pub zone: String,
    /// The file that keeps the last good revision, as written (relative to the options file).
    pub file: PathBuf,
    /// Names of the control machines that keep the log.
    pub replicas: Vec<String>,
    pub pull_period: u64,
    /// Bytes that a server sends for it a second, at the most.
    pub bytes_a_second: u64,
    /// Without word from the publisher for so long a server says so loudly.
    pub stale_after: u64,
    /// How long the lease of the publisher lasts.
    pub lease: u64,
}

/// The attributes of `<replication>`, each read below.
pub const REPLICATION: &[&str] =
    &["region", "zone", "file", "pull-ms", "bytes-a-second", "stale-ms", "lease-ms"];
/// The attributes of `<set>` and `<remove>` in the file of a change.
pub const CHANGE: &[&str] = &["key", "value"];
/// Longest name of a region or a zone, in bytes.
const PLACE_MAX: usize = 64;

pub(crate) fn replication<'d>(document: &Document<'d>, node: Node<'_, 'd>) -> Result<Replication> {
    let element = Element::new(document, node, REPLICATION)?;
    let needs =
        |name: &str| element.text(name).with_context(|| format!("{}: {name} is missing", element.at()));
    let place = |name: &str| -> Result<String> {
        let text = needs(name)?;
        let good = (1..=PLACE_MAX).contains(&text.len());
        ensure!(good, "{}: {name}: 1 to {PLACE_MAX} bytes, not {}", element.at(), text.len());
        Ok(text.to_string())
    };
    let mut replicas = Vec::new();
    for child in element.children(&["replica"], &["replica"])? {
        let replica = Element::new(document, child, &["name"])?;
        let name = replica.text("name").with_context(|| format!("{}: name is missing", replica.at()))?;
        replicas.push(name.to_string());
    }
    Ok(Replication {
        region: place("region")?,
        zone: place("zone")?,
        file: PathBuf::from(needs("file")?),
        replicas,
        pull_period: element.span("pull-ms", 500_000_000, 10, 60_000)?,
        bytes_a_second: element.whole("bytes-a-second", 12_000, 2_200, 100_000_000)? as u64,
        stale_after: element.span("stale-ms", 60_000_000_000, 1_000, 86_400_000)?,
        lease: element.span("lease-ms", 4_000_000_000, 100, 600_000)?,
    })
}

/// One key of a change; removed where there is no value.
pub type KeyChange = (String, Option<String>);

/// The file of a change to publish: the root `<change>` of the same namespace.
pub fn load_change(path: &Path) -> Result<Vec<KeyChange>> {
    read_change(&text_of(path)?).with_context(|| path.display().to_string())
}

/// Every fault names its line and element. Keys that are not known here are refused before any server has to.
pub fn read_change(text: &str) -> Result<Vec<KeyChange>> {
    let document = parse(text)?;
    let root = Element::new(&document, document.root_element(), &[])?;
    let name = document.root_element().tag_name();
    ensure!(
        name.name() == "change" && name.namespace() == Some(NAMESPACE),
        "{}: the root is to be <change xmlns={NAMESPACE:?}>",
        root.at()
    );
    let mut changes = Vec::new();
    for child in root.children(&["set", "remove"], &["set", "remove"])? {
        let element = Element::new(&document, child, CHANGE)?;
        let key = element.text("key").with_context(|| format!("{}: key is missing", element.at()))?;
        let value = element.text("value");
        match child.tag_name().name() {
            "set" => ensure!(value.is_some(), "{}: value is missing", element.at()),
            _ => ensure!(value.is_none(), "{}: value goes with <set> alone", element.at()),
        }
        let known = Key::read(key).and_then(|known| value.map_or(Ok(()), |value| known.check(value)));
        known.with_context(|| element.at())?;
        changes.push((key.to_string(), value.map(str::to_string)));
    }
    ensure!(!changes.is_empty(), "{}: <set> or <remove> is missing", root.at());
    Ok(changes)
}

/// What a key of the replicated configuration sets.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Key<'a> {
    /// `tenants/tenant/NAME`: the weight of a named tenant.
    TenantWeight(&'a str),
    /// `control/reference`: the busy share of the cores to steer to.
    Reference,
    /// `shared-state/budget/total`: units of the budget of calls.
    BudgetTotal,
}

const TENANT_WEIGHT: &str = "tenants/tenant/";
const REFERENCE: &str = "control/reference";
const BUDGET_TOTAL: &str = "shared-state/budget/total";
const WEIGHT_LEAST: f64 = 1e-3;
const WEIGHT_MOST: f64 = 1e3;

fn number_within(key: &str, value: &str, least: f64, most: f64) -> Result<f64> {
    let number: f64 = value.parse().ok().with_context(|| format!("{key}: cannot read {value:?}"))?;
    ensure!(
        number.is_finite() && (least..=most).contains(&number),
        "{key}: {number} is not within {least} and {most}"
    );
    Ok(number)
}

impl<'a> Key<'a> {
    fn read(key: &'a str) -> Result<Key<'a>> {
        match key {
            REFERENCE => Ok(Key::Reference),
            BUDGET_TOTAL => Ok(Key::BudgetTotal),
            _ => match key.strip_prefix(TENANT_WEIGHT) {
                Some(name) if !name.is_empty() => Ok(Key::TenantWeight(name)),
                _ => bail!("{key}: unknown element"),
            },
        }
    }

    fn check(&self, value: &str) -> Result<()> {
        match self {
            Key::TenantWeight(name) => {
                number_within(&format!("{TENANT_WEIGHT}{name}"), value, WEIGHT_LEAST, WEIGHT_MOST).map(drop)
            }
            Key::Reference => number_within(REFERENCE, value, 0.05, 1.0).map(drop),
            Key::BudgetTotal => number_within(BUDGET_TOTAL, value, 1.0, (1_u64 << 40) as f64).map(drop),
        }
    }
}

/// Lays a replicated configuration over a server's own options; an error names the key, and then nothing of
/// it is to be used.
pub fn overlay_replicated<'a>(
    options: &mut Options,
    pairs: impl Iterator<Item = (&'a str, &'a str)>,
) -> Result<()> {
    let mut weights: BTreeMap<&str, f64> = BTreeMap::new();
    for (key, value) in pairs {
        let known = Key::read(key)?;
        known.check(value)?;
        match known {
            Key::TenantWeight(name) => {
                weights.insert(name, number_within(key, value, WEIGHT_LEAST, WEIGHT_MOST)?);
            }
            Key::Reference => options.reference = Some(number_within(key, value, 0.05, 1.0)?),
            Key::BudgetTotal => {
                let total = value.parse().ok().with_context(|| format!("{key}: cannot read {value:?}"))?;
                let shared = options.shared_state.as_mut().and_then(|shared| shared.budget.as_mut());
                shared.with_context(|| format!("{key}: the options name no <budget>"))?.total = total;
            }
        }
    }
    if weights.is_empty() {
        return Ok(());
    }
    let tenants = options.tenants.as_mut();
    let fair = &mut tenants.with_context(|| format!("{TENANT_WEIGHT}: the options name no <tenants>"))?.fair;
    let mut named: Vec<NamedTenant> = fair.named.to_vec();
    let places: HashMap<&[u8], usize> =
        fair.named.iter().enumerate().map(|(place, (name, _))| (name.as_slice(), place)).collect();
    for (name, weight) in weights {
        match places.get(name.as_bytes()) {
            Some(place) => named[*place].1 = weight,
            None => named.push((name.as_bytes().to_vec(), weight)),
        }
    }
    fair.named = named.into();
    match fair.fault() {
        Some((what, why)) => bail!("{TENANT_WEIGHT}: {what}: {why}"),
        None => Ok(()),
    }
}
