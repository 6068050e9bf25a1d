//! Settings of a process as a member of the fleet. The settings are read from the options at the start, and
//! do not change in a reload.

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

/// Default interval, in nanoseconds, between two gossip rounds of the shared state.
const GOSSIP_INTERVAL_NS: u64 = 500_000_000;

/// Fleet settings of a process.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Address of the UDP socket.
    pub bind: SocketAddr,
    /// Address of this member to which other members send datagrams; `None` if this address equals `bind`.
    pub advertise: Option<SocketAddr>,
    /// Name of this member.
    pub name: String,
    /// Addresses of the members that this process contacts first to join the fleet.
    pub seeds: Vec<SocketAddr>,
    /// Settings of the membership protocol.
    pub settings: MembershipSettings,
    /// Settings of the state that the members share. `None` if the options enable no feature with shared
    /// state.
    pub shared: Option<SharedSettings>,
    /// Addresses of the downstream services. The settings of the shared state list the names of the services
    /// in the same order.
    pub tier: Vec<SocketAddr>,
}

/// Error in the fleet settings of the options.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The shared key cannot be used.
    #[error(transparent)]
    Key(#[from] KeyFileError),
    /// A setting of the membership protocol is out of range.
    #[error("<membership>: {0}")]
    Membership(BoxError),
    /// The member's name is longer than the maximum length of a name in a datagram.
    #[error("<membership>: name: more than {NAME_BYTES_MAX} bytes: {0:?}")]
    NameTooLong(String),
    /// The budget of downstream calls has a name that is reserved for a lease.
    #[error("<shared-state>: budget: name: {LEASES:?} are reserved for leases")]
    ReservedBudgetName,
    /// A setting of the shared state is out of range.
    #[error("<{element}>: {error}")]
    SharedState {
        /// Name of the element that enables the shared state in the options file. The error message begins
        /// with this name.
        element: &'static str,
        /// The invalid setting.
        error: BoxError,
    },
}

/// Builds the fleet settings from the element `<membership>`. The result does not yet contain the settings of
/// the shared state.
///
/// If the element contains no member name, the member receives the server's name `server`. `options_path` is
/// the path of the options file.
pub fn fleet_settings(
    membership: &Membership,
    server: &str,
    options_path: &Path,
) -> Result<FleetSettings, FleetError> {
    let key_file = options_path.parent().unwrap_or(Path::new(".")).join(&membership.key_file);
    let mut settings = MembershipSettings::lan(&membership.fleet, &membership_key::read(&key_file)?);
    settings.probe_period = membership.probe_period;
    settings.probe_rtt = membership.probe_rtt;
    settings.suspicion_multiplier = membership.suspicion_multiplier;
    settings.expected_members = membership.expected_members;
    settings.gossip_period = membership.gossip_period;
    settings.announce_period = membership.announce_period;
    settings.bytes_per_second = membership.bytes_a_second;
    settings.check().map_err(|error| FleetError::Membership(error.into()))?;
    let name = membership.name.clone().unwrap_or_else(|| server.to_string());
    if name.len() > NAME_BYTES_MAX {
        return Err(FleetError::NameTooLong(name));
    }
    Ok(FleetSettings {
        bind: membership.bind,
        advertise: membership.advertise,
        name,
        seeds: membership.seeds.clone(),
        settings,
        shared: None,
        tier: Vec::new(),
    })
}

/// Builds the settings of the state that the members share. Returns `None` if the options enable no feature
/// that uses shared state. `body_max` is the maximum size of a message, in bytes.
pub fn shared_state_settings(
    options: &Options,
    body_max: usize,
) -> Result<Option<SharedSettings>, FleetError> {
    let shared_state = options.shared_state.as_ref();
    let element = match (shared_state, &options.rollout, &options.replication) {
        (Some(_), _, _) => "shared-state",
        (None, Some(_), _) => "rollout",
        (None, None, Some(_)) => "replication",
        (None, None, None) => return Ok(None),
    };
    let settings = SharedSettings {
        budgets: budgets(options)?,
        counters: Limits::default(),
        outlier_detection: shared_state.and_then(outlier_detection),
        gossip_interval: shared_state.map_or(GOSSIP_INTERVAL_NS, |shared| shared.gossip_interval),
        body_max,
    };
    let checked = settings.check();
    checked.map_err(|error| FleetError::SharedState { element, error: error.into() })?;
    Ok(Some(settings))
}

/// Returns all budgets that the options require. The list begins with the budget of downstream calls, if the
/// options define this budget. One budget for each required lease follows.
fn budgets(options: &Options) -> Result<Vec<BudgetSettings>, FleetError> {
    let mut budgets = Vec::new();
    if let Some(calls) = options.shared_state.as_ref().and_then(|shared| shared.budget.as_ref()) {
        if LEASES.contains(&calls.name.as_str()) {
            return Err(FleetError::ReservedBudgetName);
        }
        budgets.push(call_budget(calls));
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

fn call_budget(budget: &Budget) -> BudgetSettings {
    let voters = budget.voters.clone();
    BudgetSettings::new(
        &budget.name,
        budget.total,
        budget.floor,
        budget.servers,
        voters,
        budget.lease,
        budget.use_max,
    )
}

fn outlier_detection(shared_state: &SharedState) -> Option<OutlierSettings> {
    let tier = shared_state.tier.as_ref()?;
    Some(OutlierSettings {
        services: tier.services.iter().map(|service| service.name.clone()).collect(),
        accusers_min: tier.accusers_min,
        max_ejected_thousandths: tier.max_ejected_thousandths,
        expiry: tier.expiry,
    })
}
