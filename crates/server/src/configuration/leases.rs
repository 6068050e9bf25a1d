//! The names of leases: budgets of one unit, of which at most one process of the fleet holds each. A server
//! only votes on them.

/// Held by whoever coordinates a rollout.
pub const ROLLOUTS: &str = "rollouts";
/// Held by the publisher of replicated configuration.
pub const PUBLISHING: &str = "publishing";
/// All of them.
pub const LEASES: [&str; 2] = [ROLLOUTS, PUBLISHING];
