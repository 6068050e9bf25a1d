//! How a process takes part in the fleet, as the options say at its start; a reload does not change it.

use crate::configuration::leases::{LEASES, PUBLISHING, ROLLOUTS};
use crate::configuration::membership_key;
use crate::configuration::membership_key::KeyFileError;
use crate::error::BoxError;
use meadowstream_configuration::{Budget, Membership, Options, SharedState};
use meadowstream_membership::NAME_BYTES_MAX;
use meadowstream_membership::Settings as MembershipSettings;
use meadowstream_shared_state::Settings as SharedSettings;
use meadowstream_shared_state::budget::BudgetSettings;
use meadowstream_shared_state::counters::Limits;
use meadowstream_shared_state::outlier_detection::Settings as OutlierSettings;
use std::net::SocketAddr;
use std::path::Path;

/// Interval of gossip of the shared state unless the options say otherwise.
const GOSSIP_INTERVAL_NS: u64 = 500_000_000;

/// How a process takes part in the fleet.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Where it receives datagrams.
    pub bind: SocketAddr,
    /// The address that others send to, where it is another one.
    pub advertise: Option<SocketAddr>,
    /// Its name in the fleet.
    pub name: String,
    /// Members that it joins by.
    pub seeds: Vec<SocketAddr>,
    /// Settings of the membership.
    pub settings: MembershipSettings,
    /// Settings of the shared state, where anything is shared.
    pub shared: Option<SharedSettings>,
    /// Addresses of the services below, in the order of their names in the shared state.
    pub tier: Vec<SocketAddr>,
}

/// Why the options make no member of a fleet.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The shared key cannot be used.
    #[error(transparent)]
    Key(#[from] KeyFileError),
    /// A setting of the membership is out of its range.
    #[error("<membership>: {0}")]
    Membership(BoxError),
    /// The name is too long for a datagram.
    #[error("<membership>: name: over {NAME_BYTES_MAX} bytes: {0:?}")]
    NameTooLong(String),
    /// The budget of calls has the name of a lease.
    #[error("<shared-state>: budget: name: one of {LEASES:?} is that of a lease")]
    NameOfLease,
    /// A setting of the shared state is out of its range.
    #[error("<{element}>: {error}")]
    SharedState {
        /// The element that asks for the shared state.
        element: &'static str,
        /// What is wrong.
        error: BoxError,
    },
}

/// The settings of a member that shares nothing yet. `server` is its name unless the options name it.
pub fn fleet_settings(given: &Membership, server: &str, options: &Path) -> Result<FleetSettings, FleetError> {
    let key_file = options.parent().unwrap_or(Path::new(".")).join(&given.key_file);
    let mut settings = MembershipSettings::lan(&given.fleet, &membership_key::read(&key_file)?);
    settings.probe_period = given.probe_period;
    settings.probe_rtt = given.probe_rtt;
    settings.suspicion_multiplier = given.suspicion_multiplier;
    settings.expected_members = given.expected_members;
    settings.gossip_period = given.gossip_period;
    settings.announce_period = given.announce_period;
    settings.bytes_per_second = given.bytes_a_second;
    settings.check().map_err(|error| FleetError::Membership(error.into()))?;
    let name = given.name.clone().unwrap_or_else(|| server.to_string());
    if name.len() > NAME_BYTES_MAX {
        return Err(FleetError::NameTooLong(name));
    }
    Ok(FleetSettings {
        bind: given.bind,
        advertise: given.advertise,
        name,
        seeds: given.seeds.clone(),
        settings,
        shared: None,
        tier: Vec::new(),
    })
}

/// The settings of what is shared; `None` where the options name nothing. A body has so many bytes at most.
pub fn shared_state_settings(
    options: &Options,
    body_max: usize,
) -> Result<Option<SharedSettings>, FleetError> {
    let given = options.shared_state.as_ref();
    let element = match (given, &options.rollout, &options.replication) {
        (Some(_), _, _) => "shared-state",
        (None, Some(_), _) => "rollout",
        (None, None, Some(_)) => "replication",
        (None, None, None) => return Ok(None),
    };
    let settings = SharedSettings {
        budgets: budgets(options)?,
        counters: Limits::default(),
        outlier_detection: given.and_then(outlier_detection),
        gossip_interval: given.map_or(GOSSIP_INTERVAL_NS, |given| given.gossip),
        body_max,
    };
    let checked = settings.check();
    checked.map_err(|error| FleetError::SharedState { element, error: error.into() })?;
    Ok(Some(settings))
}

/// The budget of downstream calls and the leases, in this order.
fn budgets(options: &Options) -> Result<Vec<BudgetSettings>, FleetError> {
    let mut budgets = Vec::new();
    if let Some(calls) = options.shared_state.as_ref().and_then(|given| given.budget.as_ref()) {
        if LEASES.contains(&calls.name.as_str()) {
            return Err(FleetError::NameOfLease);
        }
        budgets.push(budget_of_calls(calls));
    }
    if let Some(rollout) = &options.rollout {
        let (servers, voters) = (rollout.servers, rollout.voters.clone());
        budgets.push(BudgetSettings::new(ROLLOUTS, 1, 0, servers, voters, rollout.lease, 1));
    }
    if let Some(replication) = &options.replication {
        let (servers, voters) = (replication.replicas.len() as u64, replication.replicas.clone());
        budgets.push(BudgetSettings::new(PUBLISHING, 1, 0, servers, voters, replication.lease, 1));
    }
    Ok(budgets)
}

fn budget_of_calls(given: &Budget) -> BudgetSettings {
    let voters = given.voters.clone();
    BudgetSettings::new(
        &given.name,
        given.total,
        given.floor,
        given.servers,
        voters,
        given.lease,
        given.use_most,
    )
}

fn outlier_detection(given: &SharedState) -> Option<OutlierSettings> {
    let tier = given.tier.as_ref()?;
    Some(OutlierSettings {
        services: tier.services.iter().map(|service| service.name.clone()).collect(),
        accusers_min: tier.reports,
        max_ejected_thousandths: tier.share_thousandths,
        expiry: tier.expiry,
    })
}
