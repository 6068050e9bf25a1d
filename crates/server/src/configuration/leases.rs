//! Names of the leases. A lease is a budget of one unit, so at most one process of the fleet holds the lease
//! at a time. Servers vote on leases, but never request a lease.

/// Name of the lease that the coordinator of a rollout holds.
pub const ROLLOUTS: &str = "rollouts";
/// Name of the lease that the publisher of replicated configuration holds.
pub const PUBLISHING: &str = "publishing";
/// Names of all leases.
pub const LEASES: [&str; 2] = [ROLLOUTS, PUBLISHING];
