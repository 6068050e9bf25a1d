//! Names of the leases. At most one process of the fleet holds a lease at a time, because a lease is a budget
//! of one unit. Servers vote on the leases, but never request one.

/// Name of the lease that the coordinator of a rollout holds.
pub const ROLLOUTS: &str = "rollouts";
/// Name of the lease that the publisher of replicated configuration holds.
pub const PUBLISHING: &str = "publishing";
/// Names of all leases.
pub const LEASES: [&str; 2] = [ROLLOUTS, PUBLISHING];
