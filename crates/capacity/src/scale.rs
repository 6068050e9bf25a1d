//! Sizes and settings of the modelled fleet, and the bounds that its figures must keep.

use crate::fleet::Fleet;
use crate::server::{ReplicationSettings, Settings};
use meadowstream_membership::Nanos;
use meadowstream_replication::message::Location;
use meadowstream_shared_state::budget::BudgetSettings;
use meadowstream_shared_state::counters::Limits;
use serde::Serialize;

/// One second in nanoseconds.
pub const SECOND_NS: Nanos = 1_000_000_000;

/// A server's bytes a second for the fleet's mechanisms.
pub const BYTES_PER_SECOND_BOUND: f64 = 20_000.0;
/// A server's processor time for them, in percent of a core.
pub const PROCESSOR_PERCENT_BOUND: f64 = 1.1;
/// A server's memory for them, in bytes.
pub const MEMORY_BYTES_BOUND: f64 = 256.0 * 1024.0 * 1024.0;

/// Restarts of servers in a day of a fleet of [`STATED_SERVERS`].
pub const RESTARTS_PER_DAY: usize = 870;
/// Failures of servers in such a day.
pub const FAILURES_PER_DAY: usize = 51;
/// Servers of the fleet that the bounds and daily numbers are stated for.
pub const STATED_SERVERS: f64 = 690.0;
/// A lost rack comes back after so long.
pub const RACK_DOWN_NS: Nanos = 60 * SECOND_NS;
/// Machines set aside for control: the first servers, which are the seeds.
pub const CONTROL_MACHINES: usize = 4;
/// The first control machines; they vote on budgets and keep the log of configuration.
pub const VOTERS: usize = 3;
/// Name of the lease on leading the log of configuration.
const LOG_LEASE: &str = "publishing";
const LEASE_NS: Nanos = 4 * SECOND_NS;
const GOSSIP_INTERVAL_NS: Nanos = SECOND_NS / 2;
/// Shared state may use the rest of [`BYTES_PER_SECOND_BOUND`].
const MEMBERSHIP_BYTES_PER_SECOND: u64 = 12_000;
/// Units of the shared budget for each server.
const BUDGET_UNITS_PER_SERVER: u64 = 10;
/// The sizes that are measured: the largest over these.
const SIZE_DIVISORS: [usize; 5] = [16, 8, 4, 2, 1];

/// How large and how long the model is played. Spans are in seconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Scale {
    /// Servers of the largest fleet.
    pub servers: usize,
    /// Of all random numbers.
    pub seed: u64,
    /// A fleet at rest is measured for so long, after as long to settle.
    #[serde(rename = "rest")]
    pub rest_seconds: u64,
    /// A region is cut off for so long.
    #[serde(rename = "region_apart")]
    pub region_cut_seconds: u64,
    /// A zone is cut off for so long.
    #[serde(rename = "zone_away")]
    pub zone_cut_seconds: u64,
    /// The control machines are down for so long.
    #[serde(rename = "control_away")]
    pub control_down_seconds: u64,
}

impl Scale {
    /// The stated spans.
    pub fn full(servers: usize, seed: u64) -> Scale {
        Scale {
            servers,
            seed,
            rest_seconds: 30,
            region_cut_seconds: 3600,
            zone_cut_seconds: 300,
            control_down_seconds: 300,
        }
    }

    /// Short spans.
    pub fn quick(servers: usize, seed: u64) -> Scale {
        Scale {
            servers,
            seed,
            rest_seconds: 10,
            region_cut_seconds: 60,
            zone_cut_seconds: 30,
            control_down_seconds: 30,
        }
    }

    /// Five sizes, the largest last.
    pub fn sizes(&self) -> Vec<usize> {
        SIZE_DIVISORS.iter().map(|divisor| self.servers / divisor).collect()
    }
}

/// The seeds of all servers.
pub fn seeds() -> Vec<usize> {
    (0..CONTROL_MACHINES).collect()
}

/// The settings of a fleet of a size: the defaults of a local network, a budget of calls, counters and
/// replicated configuration.
pub fn settings(size: usize) -> Settings {
    let mut membership = meadowstream_membership::Settings::lan("capacity", b"a key of the scale model");
    membership.expected_members = size as u32;
    membership.bytes_per_second = MEMBERSHIP_BYTES_PER_SECOND;
    let servers = size as u64;
    let voters: Vec<String> = (0..VOTERS).map(Fleet::name).collect();
    let units = BUDGET_UNITS_PER_SERVER * servers;
    let calls = BudgetSettings::new("calls", units, 1, servers, voters.clone(), LEASE_NS, SECOND_NS);
    let log_lease = BudgetSettings::new(LOG_LEASE, 1, 0, VOTERS as u64, voters.clone(), LEASE_NS, 1);
    let member = meadowstream_replication::member::Settings::new(Location::default(), voters);
    let shared_state = meadowstream_shared_state::Settings {
        budgets: vec![calls, log_lease],
        counters: Limits::default(),
        outlier_detection: None,
        gossip_interval: GOSSIP_INTERVAL_NS,
        body_max: membership.packet_max,
    };
    let replication = Some(ReplicationSettings { member, lease: LOG_LEASE });
    Settings { membership, shared_state, replication }
}
