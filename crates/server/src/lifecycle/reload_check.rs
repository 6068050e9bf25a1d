//! Checks that a change of settings while the server runs affects no setting that requires a restart.

use crate::configuration::Configuration;
use crate::configuration::fleet::FleetSettings;
use meadowstream_configuration::{Options, Tenants};
use meadowstream_shared_state::budget::BudgetSettings;

/// A setting that only a restart can change, and that a change of settings would affect.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum RestartRequired {
    /// The server's name or the address on which it accepts connections.
    #[error("name, listen: a change takes a restart")]
    NameOrAddress,
    /// The presence of a downstream service: a change adds or removes its address.
    #[error("records: adding or removing it takes a restart")]
    Records,
    /// An element of the options that is only read at the start.
    #[error("options: <tokens>, <calls>, <rollout>, <replication>: a change takes a restart")]
    Options,
    /// The membership settings.
    #[error("options: <membership>: a change takes a restart")]
    Membership,
    /// The settings of the shared state, except for the total of its budget.
    #[error("options: <shared-state>: a change of anything but the total takes a restart")]
    SharedState,
    /// The presence of the `<tenants>` element: a change adds or removes it.
    #[error("tenants: telling them apart or not takes a restart")]
    Tenants,
    /// The part of a call that identifies its tenant, the part that identifies its origin, or
    /// `surplus-value`, the fraction of its priority weight that an invocation beyond its tenant's quota
    /// keeps.
    #[error("tenants: a change of by, field, origin or surplus-value takes a restart")]
    TenantSource,
    /// The memory limit of the tenants' accounts.
    #[error("ceilings: a change takes a restart")]
    Ceilings,
}

fn require(is_same: bool, otherwise: RestartRequired) -> Result<(), RestartRequired> {
    if is_same { Ok(()) } else { Err(otherwise) }
}

/// Returns an error if the configurations differ in a setting that only a restart can change.
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

/// Returns whether all settings of the shared state are equal, except for the totals of budgets. A total may
/// change while leases are held.
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

/// Returns the settings of tenants before and after a change, or `None` if neither the old nor the new
/// options have any. Weights and quotas may change while the server runs; other changes are an error.
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
