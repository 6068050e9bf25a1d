//! Names of the leases. A lease is a budget of one unit, so at most one process of the fleet holds it.
//! Servers vote on leases, but do not request them.

/// Lease held by the coordinator of a rollout.
pub const ROLLOUTS: &str = "rollouts";
/// Lease held by the publisher of replicated configuration.
pub const PUBLISHING: &str = "publishing";
/// Names of all leases.
pub const LEASES: [&str; 2] = [ROLLOUTS, PUBLISHING];
