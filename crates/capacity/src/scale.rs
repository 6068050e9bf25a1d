//! Sizes and settings of the modelled fleet, and upper bounds of each server's CPU use, network traffic and
//! memory.

use crate::fleet::Fleet;
use crate::server::{ReplicationSettings, Settings};
use meadowstream_membership::Nanos;
use meadowstream_replication::message::Location;
use meadowstream_shared_state::budget::BudgetSettings;
use meadowstream_shared_state::counters::Limits;
use serde::Serialize;

/// One second in nanoseconds.
pub const SECOND_NS: Nanos = 1_000_000_000;

/// Upper bound of the bytes per second that one server sends for membership, shared state and replication
/// together.
pub const BYTES_PER_SECOND_BOUND: f64 = 20_000.0;
/// Upper bound of one server's CPU use for membership, shared state and replication together, in percent of a
/// core.
pub const PROCESSOR_PERCENT_BOUND: f64 = 1.1;
/// Upper bound of one server's memory for membership, shared state and replication together, in bytes.
pub const MEMORY_BYTES_BOUND: f64 = 256.0 * 1024.0 * 1024.0;

/// Number of server restarts per day in a fleet of [`STATED_SERVERS`] servers.
pub const RESTARTS_PER_DAY: usize = 870;
/// Number of server failures per day in a fleet of [`STATED_SERVERS`] servers.
pub const FAILURES_PER_DAY: usize = 51;
/// Number of servers in the reference fleet. The bounds and the numbers of restarts and failures per day are
/// stated for a fleet of this size.
pub const STATED_SERVERS: f64 = 690.0;
/// Time in simulated nanoseconds before the servers of a failed rack start again. In a simulated day, the
/// time counts from the failure. If the day is very short, the time is shortened, too. In
/// [`crate::incidents::rack_lost`], the time counts from the end of the wait for the other servers'
/// membership views to agree.
pub const RACK_DOWN_NS: Nanos = 60 * SECOND_NS;
/// Number of control machines. The control machines are the first servers of the fleet. They are also the
/// seeds, through which every server joins the fleet.
pub const CONTROL_MACHINES: usize = 4;
/// Number of control machines that vote on budget leases and store the replicated configuration log. These
/// voters are the first control machines of the fleet.
pub const VOTERS: usize = 3;
/// Name of the lease that selects the leader of the replicated configuration log. The server that holds the
/// lease is the leader.
const LOG_LEASE: &str = "publishing";
const LEASE_NS: Nanos = 4 * SECOND_NS;
const GOSSIP_INTERVAL_NS: Nanos = SECOND_NS / 2;
/// Maximum number of bytes per second that the membership protocol of one server sends. The rest of
/// [`BYTES_PER_SECOND_BOUND`] is for shared state.
const MEMBERSHIP_BYTES_PER_SECOND: u64 = 12_000;
/// Number of units in the call budget, per server of the fleet.
const BUDGET_UNITS_PER_SERVER: u64 = 10;
/// Divisors that give the fleet sizes to measure. Each size is the largest fleet size divided by one of these
/// numbers.
const SIZE_DIVISORS: [usize; 5] = [16, 8, 4, 2, 1];

/// Fleet size and time spans of simulations with the fleet model.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Scale {
    /// Number of servers in the largest simulated fleet.
    pub servers: usize,
    /// Seed of all random number generators.
    pub seed: u64,
    /// Duration of the measurement of a fleet without failures, in seconds. The fleet first runs for an equal
    /// time that is not measured.
    #[serde(rename = "rest")]
    pub rest_seconds: u64,
    /// Time for which a region is cut off from the other regions, in seconds.
    #[serde(rename = "region_apart")]
    pub region_cut_seconds: u64,
    /// Time for which a zone is cut off from the other zones, in seconds.
    #[serde(rename = "zone_away")]
    pub zone_cut_seconds: u64,
    /// Time for which all control machines are down, in seconds.
    #[serde(rename = "control_away")]
    pub control_down_seconds: u64,
}

impl Scale {
    /// Returns a scale with the time spans of a full run.
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

    /// Returns a scale with the shorter time spans of a quick run.
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

    /// Returns the five fleet sizes to measure, in ascending order.
    pub fn sizes(&self) -> Vec<usize> {
        SIZE_DIVISORS.iter().map(|divisor| self.servers / divisor).collect()
    }
}

/// Returns the indexes of the seed servers. Every server joins the fleet through the seeds.
pub fn seeds() -> Vec<usize> {
    (0..CONTROL_MACHINES).collect()
}

/// Returns the settings for a fleet of `size` servers: the membership defaults for a local network, a call
/// budget, counters and replicated configuration.
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
