//! State shared by the servers of a fleet, without I/O. The inputs are clock readings, a seed, the members
//! that are alive and received messages; the outputs are messages to send, allowances, totals and the health
//! of services.
//!
//! - [`budget`]: a total for the whole fleet, divided into leases; the units in use never exceed it.
//! - [`counters`]: totals over the fleet as a CRDT; exact once all rows have been received.
//! - [`outlier_detection`]: detection of downstream services that several servers find slow or failing.
//! - [`permits`]: units of a budget in use at one server.
//! - [`clock`]: bounds of elapsed time from two clocks, one of which may be wrong.
//! - [`state`]: one server's part of all of these.
//! - [`simulation`]: a fleet in simulated time, for tests.
//!
//! `docs/shared-state.md` names the alternatives considered and the guarantees under partition.
#![deny(missing_docs, clippy::too_many_lines)]

pub mod budget;
pub mod clock;
pub mod counters;
pub mod message;
pub mod outlier_detection;
mod packing;
pub mod permits;
pub mod server_id;
pub mod settings;
pub mod simulation;
pub mod state;

pub use message::{
    Message, Payload, REPLICATION, ROLLOUT_ORDERS, ROLLOUT_REPORTS, ReceiveError, VERSION_ANNOUNCEMENTS,
};
pub use server_id::ServerId;
pub use settings::{Settings, SettingsError};
pub use state::{MessageCounters, ReceivedOther, SharedState};

/// Maximum length of the name of a server, key, service or budget, in bytes.
pub const NAME_MAX: usize = 64;
