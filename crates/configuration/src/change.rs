//! Reads change files (`<change>`). A change file contains the configuration keys that an operator sets or
//! removes in the fleet's replicated configuration. The module also maps each key to the setting that it
//! changes.

use crate::error::{Fault, KeyError};
use crate::options::{Options, UTILIZATION_MAX, UTILIZATION_MIN};
use crate::shared_state::TOTAL_MAX;
use crate::tenants::{WEIGHT_MAX, WEIGHT_MIN};
use crate::xml::{Element, Result, in_file, parse, read_file};
use meadowstream_fair_queueing::NamedTenant;
use std::collections::{BTreeMap, HashMap};
use std::path::Path;

/// Names of the attributes that the elements `<set>` and `<remove>` of a change file accept.
pub const ATTRIBUTES: &[&str] = &["key", "value"];

const TENANT_WEIGHT: &str = "tenants/tenant/";
const TARGET_UTILIZATION: &str = "control/reference";
const BUDGET_TOTAL: &str = "shared-state/budget/total";

/// Change of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyChange {
    /// Key in the replicated configuration, such as `control/reference`.
    pub key: String,
    /// New value of the key, or `None` to remove the key.
    pub value: Option<String>,
}

/// Reads a change file. Errors contain the path, the line and the element.
pub fn load_change(path: &Path) -> Result<Vec<KeyChange>> {
    in_file(path, read_change(&read_file(path)?))
}

/// Reads the text of a change file. An unknown key is an error, so that a change with such a key is never
/// published to the servers.
pub fn read_change(text: &str) -> Result<Vec<KeyChange>> {
    let document = parse(text)?;
    let root = Element::root(&document, "change", &[])?;
    let mut changes = Vec::new();
    for child in root.children(&["set", "remove"], &["set", "remove"])? {
        let element = Element::new(&document, child, ATTRIBUTES)?;
        changes.push(read_key_change(&element)?);
    }
    if changes.is_empty() {
        return Err(root.error(Fault::NoChange));
    }
    Ok(changes)
}

fn read_key_change(element: &Element) -> Result<KeyChange> {
    let key = element.required("key")?;
    let value = element.text("value");
    match (element.name(), value) {
        ("set", None) => return Err(element.error(Fault::Missing { name: "value".to_string() })),
        ("remove", Some(_)) => return Err(element.error(Fault::ValueOfRemove)),
        _ => {}
    }
    let setting = Setting::parse(key);
    let checked = setting.and_then(|setting| value.map_or(Ok(()), |value| setting.check(value)));
    checked.map_err(|error| element.error(Fault::Key(Box::new(error))))?;
    Ok(KeyChange { key: key.to_string(), value: value.map(str::to_string) })
}

/// A setting that a key of the replicated configuration changes.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Setting<'a> {
    /// Key `tenants/tenant/NAME`: the weight of the tenant with this name.
    TenantWeight(&'a str),
    /// Key `control/reference`: the target utilization of the cores, as a ratio.
    TargetUtilization,
    /// Key `shared-state/budget/total`: the total of the fleet's call budget, in concurrent calls.
    BudgetTotal,
}

type KeyResult<T> = std::result::Result<T, KeyError>;

fn key_error(key: &str, fault: Fault) -> KeyError {
    KeyError { key: key.to_string(), fault }
}

fn number_within(key: &str, value: &str, min: f64, max: f64) -> KeyResult<f64> {
    let unreadable = || key_error(key, Fault::UnreadableValue(value.to_string()));
    let number: f64 = value.parse().map_err(|_| unreadable())?;
    if number.is_finite() && (min..=max).contains(&number) {
        return Ok(number);
    }
    Err(key_error(key, Fault::ValueOutOfRange { value: number, min, max }))
}

impl<'a> Setting<'a> {
    fn parse(key: &'a str) -> KeyResult<Setting<'a>> {
        match key {
            TARGET_UTILIZATION => Ok(Setting::TargetUtilization),
            BUDGET_TOTAL => Ok(Setting::BudgetTotal),
            _ => match key.strip_prefix(TENANT_WEIGHT) {
                Some(name) if !name.is_empty() => Ok(Setting::TenantWeight(name)),
                _ => Err(key_error(key, Fault::UnknownElement)),
            },
        }
    }

    /// Parses the value of a setting as a number and checks it against the bounds of the setting.
    fn number(&self, value: &str) -> KeyResult<f64> {
        match self {
            Setting::TenantWeight(name) => {
                number_within(&format!("{TENANT_WEIGHT}{name}"), value, WEIGHT_MIN, WEIGHT_MAX)
            }
            Setting::TargetUtilization => {
                number_within(TARGET_UTILIZATION, value, UTILIZATION_MIN, UTILIZATION_MAX)
            }
            Setting::BudgetTotal => number_within(BUDGET_TOTAL, value, 1.0, TOTAL_MAX as f64),
        }
    }

    fn check(&self, value: &str) -> KeyResult<()> {
        self.number(value).map(drop)
    }
}

/// Replaces options of a server by the values of the replicated configuration. Errors contain the key. After
/// an error, some options are already replaced, so the options must not be used.
pub fn overlay_replicated<'a>(
    options: &mut Options,
    pairs: impl Iterator<Item = (&'a str, &'a str)>,
) -> Result<()> {
    let mut weights: BTreeMap<&str, f64> = BTreeMap::new();
    for (key, value) in pairs {
        let setting = Setting::parse(key)?;
        let number = setting.number(value)?;
        match setting {
            Setting::TenantWeight(name) => {
                weights.insert(name, number);
            }
            Setting::TargetUtilization => options.target_utilization = Some(number),
            Setting::BudgetTotal => set_budget_total(options, key, value)?,
        }
    }
    if !weights.is_empty() {
        set_weights(options, &weights)?;
    }
    Ok(())
}

/// Sets the total of the call budget. Parses the value as an integer, because a floating-point number cannot
/// represent every total exactly.
fn set_budget_total(options: &mut Options, key: &str, value: &str) -> KeyResult<()> {
    let unreadable = || key_error(key, Fault::UnreadableValue(value.to_string()));
    let total = value.parse().map_err(|_| unreadable())?;
    let budget = options.shared_state.as_mut().and_then(|shared| shared.budget.as_mut());
    budget.ok_or_else(|| key_error(key, Fault::NoBudget))?.total = total;
    Ok(())
}

/// Sets the weights of named tenants. Tenants in the options keep their order. New tenants are appended.
fn set_weights(options: &mut Options, weights: &BTreeMap<&str, f64>) -> KeyResult<()> {
    let tenants = options.tenants.as_mut();
    let fair = &mut tenants.ok_or_else(|| key_error(TENANT_WEIGHT, Fault::NoTenants))?.fair;
    let mut named: Vec<NamedTenant> = fair.named.to_vec();
    let indexes: HashMap<&[u8], usize> =
        fair.named.iter().enumerate().map(|(index, (name, _))| (name.as_slice(), index)).collect();
    for (name, weight) in weights {
        match indexes.get(name.as_bytes()) {
            Some(index) => named[*index].1 = *weight,
            None => named.push((name.as_bytes().to_vec(), *weight)),
        }
    }
    fair.named = named.into();
    fair.check().map_err(|fault| key_error(TENANT_WEIGHT, Fault::TenantLimit(fault)))
}
