//! Log lines of the controller. Only state changes are logged; `docs/on-call.md` explains each line.

pub const SHEDDING_BEGAN: &str = "load shedding began";
pub const SHEDDING_ENDED: &str = "load shedding ended";
/// The server is ready again: health checks succeed.
pub const HEALTHY: &str = "healthy";
/// The server is not ready: health checks fail because it is unhealthy or draining.
pub const UNHEALTHY: &str = "unhealthy";
pub const DRAINING_BEGAN: &str = "draining began";
