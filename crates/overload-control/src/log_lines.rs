//! The controller's log lines, which report changes of state only; `docs/on-call.md` explains them.

pub const SHEDDING_BEGAN: &str = "load shedding began";
pub const SHEDDING_ENDED: &str = "load shedding ended";
/// Ready again: health checks succeed.
pub const HEALTHY: &str = "healthy";
/// Not ready: health checks fail, since the server is unhealthy or draining.
pub const UNHEALTHY: &str = "unhealthy";
pub const DRAINING_BEGAN: &str = "draining began";
