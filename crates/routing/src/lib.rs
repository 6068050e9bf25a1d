//! Which service of a tier a call goes to, without I/O: time, the seed and the health of each service go in,
//! a service comes out. `docs/shared-state.md` names the alternatives considered.
//!
//! - [`choice`]: of two services drawn at random the one with fewer outstanding calls is chosen.
//! - [`health`]: services that the fleet has ejected get no ordinary call; one that this server alone finds
//!   unhealthy is chosen only over another such. A service that fails at once always has few outstanding
//!   calls and would draw all of them otherwise.
//! - [`probing`]: both kinds are probed by idempotent calls, one at a time, so that their recovery is seen.
//! - [`slow_start`]: a service that has recovered gets its share of calls back little by little.
//! - [`router`]: applies these in this order. A retry goes to another service than the attempt before it.
#![deny(missing_docs, clippy::too_many_lines)]

pub mod choice;
pub mod health;
pub mod probing;
pub mod router;
pub mod settings;
pub mod slow_start;

pub use health::HealthView;
pub use router::{CallPreference, Choice, Router, RouterCounters};
pub use settings::{Settings, SettingsError};

/// Nanoseconds: a point in time or a duration.
pub type Nanos = u64;
