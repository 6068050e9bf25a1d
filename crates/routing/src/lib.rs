//! Chooses the service of a downstream tier that receives a call. The crate performs no I/O: its inputs are
//! the time, a seed and the health of each service. `docs/shared-state.md` lists the alternatives considered.
//!
//! - [`choice`]: two services are drawn at random, and the one with fewer outstanding calls is chosen.
//! - [`health`]: a service ejected by the fleet gets no ordinary calls. A service that only this server
//!   finds unhealthy is chosen only over another unhealthy one. Otherwise a service that fails immediately,
//!   and therefore has few outstanding calls, would attract all calls.
//! - [`probing`]: an unhealthy service, ejected or not, receives idempotent calls as probes, one at a time,
//!   to detect its recovery.
//! - [`slow_start`]: a service that has recovered regains its share of calls gradually.
//! - [`router`]: combines the other modules. A retry goes to a different service than the previous attempt,
//!   if there is one.
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

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;
