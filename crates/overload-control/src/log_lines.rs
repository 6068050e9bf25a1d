//! The controller's log lines, which report changes of state only; `docs/on-call.md` explains them.

pub const SHEDDING_BEGAN: &str = "load shedding began";
pub const SHEDDING_ENDED: &str = "load shedding ended";
pub const HEALTHY: &str = "healthy";
pub const UNHEALTHY: &str = "unhealthy";
pub const DRAINING_BEGAN: &str = "draining began";
