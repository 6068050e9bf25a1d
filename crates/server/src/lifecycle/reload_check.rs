//! Checks that a change of settings affects only settings that may change while the server runs.

use crate::configuration::Configuration;
use crate::configuration::fleet::FleetSettings;
use meadowstream_configuration::{Options, Tenants};
use meadowstream_shared_state::budget::BudgetSettings;

/// Error: a change of settings affects a setting that can only be changed by a restart. The variant states
/// which setting.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum RestartRequired {
    /// The change affects the server's name or the address on which the server accepts connections.
    #[error("name, listen: a change takes a restart")]
    NameOrAddress,
    /// The change adds or removes the address of the server's downstream service. Replacing an existing
    /// address by another address needs no restart.
    #[error("records: adding or removing it takes a restart")]
    Records,
    /// The change affects an element of the options file that is read only at the start.
    #[error("options: <tokens>, <calls>, <rollout>, <replication>: a change takes a restart")]
    Options,
    /// The change affects the membership settings.
    #[error("options: <membership>: a change takes a restart")]
    Membership,
    /// The change affects a setting of the shared state other than the total of the call budget.
    #[error("options: <shared-state>: a change of anything but the total takes a restart")]
    SharedState,
    /// The change adds or removes the element `<tenants>` of the options file.
    #[error("tenants: telling them apart or not takes a restart")]
    Tenants,
    /// The change affects how the tenant or the origin of a call is identified, or affects the setting
    /// `surplus-value`. An invocation beyond its tenant's quota has its priority weight multiplied by
    /// `surplus-value`.
    #[error("tenants: a change of by, field, origin or surplus-value takes a restart")]
    TenantSource,
    /// The change affects the maximum memory for the accounts of tenants. An account is the data that the
    /// server stores about a tenant.
    #[error("ceilings: a change takes a restart")]
    Ceilings,
}

fn require(is_same: bool, otherwise: RestartRequired) -> Result<(), RestartRequired> {
    if is_same { Ok(()) } else { Err(otherwise) }
}

/// Returns an error if the two configurations differ in a setting that can only be changed by a restart.
pub fn check_unchanged(old: &Configuration, new: &Configuration) -> Result<(), RestartRequired> {
    let is_same = (&new.name, new.listen) == (&old.name, old.listen);
    require(is_same, RestartRequired::NameOrAddress)?;
    let has_records = |configuration: &Configuration| configuration.addresses.get().records.is_some();
    require(has_records(old) == has_records(new), RestartRequired::Records)?;
    require(has_same_options(&old.options.borrow(), &new.options.borrow()), RestartRequired::Options)?;
    let (old, new) = (old.membership.as_ref(), new.membership.as_ref());
    require(has_same_membership(old, new), RestartRequired::Membership)?;
    require(has_same_shared_state(old, new), RestartRequired::SharedState)
}

fn has_same_options(old: &Options, new: &Options) -> bool {
    old.idempotency_keys == new.idempotency_keys
        && old.skipped_call_reply == new.skipped_call_reply
        && old.rollout == new.rollout
        && old.replication == new.replication
}

fn has_same_membership(old: Option<&FleetSettings>, new: Option<&FleetSettings>) -> bool {
    let (Some(old), Some(new)) = (old, new) else { return old.is_some() == new.is_some() };
    old.bind == new.bind
        && old.advertise == new.advertise
        && old.name == new.name
        && old.seeds == new.seeds
        && old.settings == new.settings
}

/// Returns whether the two configurations have the same settings of the shared state. The totals of budgets
/// are not compared, because a total may be changed without a restart.
fn has_same_shared_state(old: Option<&FleetSettings>, new: Option<&FleetSettings>) -> bool {
    let (Some(old), Some(new)) = (old, new) else { return old.is_some() == new.is_some() };
    if old.tier != new.tier {
        return false;
    }
    let (Some(old), Some(new)) = (&old.shared, &new.shared) else {
        return old.shared.is_some() == new.shared.is_some();
    };
    let without_total = |budget: &BudgetSettings| BudgetSettings { total: 0, ..budget.clone() };
    old.budgets.iter().map(without_total).eq(new.budgets.iter().map(without_total))
        && old.gossip_interval == new.gossip_interval
        && old.outlier_detection == new.outlier_detection
}

/// Returns the old and the new settings of tenants, or `None` if the options do not configure tenants. The
/// weights and quotas in the two settings may differ. Returns an error if another difference requires a
/// restart of the server.
pub fn changed_tenants<'a>(
    old: &'a Options,
    new: &'a Options,
) -> Result<Option<(&'a Tenants, &'a Tenants)>, RestartRequired> {
    let (Some(old), Some(new)) = (&old.tenants, &new.tenants) else {
        require(old.tenants.is_some() == new.tenants.is_some(), RestartRequired::Tenants)?;
        return Ok(None);
    };
    let is_same =
        (&old.source, old.origin, old.surplus_value) == (&new.source, new.origin, new.surplus_value);
    require(is_same, RestartRequired::TenantSource)?;
    require(old.fair.bytes_max() == new.fair.bytes_max(), RestartRequired::Ceilings)?;
    Ok(Some((old, new)))
}
