//! Texts of the controller's log lines. The controller logs only changes of state; `docs/on-call.md` explains
//! each line.

pub const SHEDDING_BEGAN: &str = "load shedding began";
pub const SHEDDING_ENDED: &str = "load shedding ended";
/// Logged when the server becomes ready again: health checks succeed.
pub const HEALTHY: &str = "healthy";
/// Logged when the server is no longer ready: health checks fail because the server is unhealthy or draining.
pub const UNHEALTHY: &str = "unhealthy";
/// Logged when runs are on the cores and none has left them for some time.
pub const STANDSTILL_BEGAN: &str = "cores stand still";
/// Logged when a run leaves the cores after they stood still.
pub const STANDSTILL_ENDED: &str = "cores move again";
pub const DRAINING_BEGAN: &str = "draining began";
