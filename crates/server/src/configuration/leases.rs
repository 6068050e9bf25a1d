//! Names of the leases. A lease is a budget of one unit, so at most one process of the fleet holds the lease
//! at a time. Servers never request a lease, but may vote on the requests of other processes.

/// Name of the lease that the coordinator of a rollout holds.
pub const ROLLOUTS: &str = "rollouts";
/// Name of the lease that the publisher of replicated configuration holds.
pub const PUBLISHING: &str = "publishing";
/// Names of all leases.
pub const LEASES: [&str; 2] = [ROLLOUTS, PUBLISHING];
