//! Average CPU use and network traffic per server and second.

use crate::meter::Costs;
use crate::scale::SECOND_NS;
use meadowstream_membership::Nanos;
use serde::Serialize;

/// Average CPU use and network traffic of membership, shared state and replication, per server and second.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct PerServer {
    /// Number of bytes that the membership protocol sent, per server and second.
    pub membership_bytes: f64,
    /// Number of bytes sent for shared state (counters, budgets and leases), per server and second.
    #[serde(rename = "shared_bytes")]
    pub shared_state_bytes: f64,
    /// Number of bytes sent for replicated configuration, per server and second.
    pub replication_bytes: f64,
    /// Number of datagrams sent by membership, shared state and replication together, per server and second.
    pub datagrams: f64,
    /// CPU use of the membership protocol per server, in percent of a core.
    pub membership_processor: f64,
    /// CPU use for shared state (counters, budgets and leases) per server, in percent of a core.
    #[serde(rename = "shared_processor")]
    pub shared_state_processor: f64,
    /// CPU use for replicated configuration per server, in percent of a core.
    pub replication_processor: f64,
}

impl PerServer {
    /// Calculates the averages per server and second. `costs` is the total cost of `servers` servers in a
    /// period of `span` nanoseconds.
    pub fn average(costs: &Costs, servers: usize, span: Nanos) -> PerServer {
        let server_seconds = servers as f64 * span as f64 / SECOND_NS as f64;
        let per_server_second = |count: u64| count as f64 / server_seconds;
        let percent = |processor_ns: u64| processor_ns as f64 / SECOND_NS as f64 / server_seconds * 100.0;
        let mechanisms = [&costs.membership, &costs.shared_state, &costs.replication];
        PerServer {
            membership_bytes: per_server_second(costs.membership.bytes),
            shared_state_bytes: per_server_second(costs.shared_state.bytes),
            replication_bytes: per_server_second(costs.replication.bytes),
            datagrams: per_server_second(mechanisms.iter().map(|cost| cost.datagrams).sum()),
            membership_processor: percent(costs.membership.processor_ns),
            shared_state_processor: percent(costs.shared_state.processor_ns),
            replication_processor: percent(costs.replication.processor_ns),
        }
    }

    /// Returns the bytes sent by membership, shared state and replication together, per server and second.
    pub fn bytes(&self) -> f64 {
        self.membership_bytes + self.shared_state_bytes + self.replication_bytes
    }

    /// Returns the CPU use of membership, shared state and replication together, in percent of a core per
    /// server.
    pub fn processor(&self) -> f64 {
        self.membership_processor + self.shared_state_processor + self.replication_processor
    }
}
