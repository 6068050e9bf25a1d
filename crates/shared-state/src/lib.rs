//! State shared by the servers of a fleet, as a library without I/O. Its inputs are clock readings, a seed,
//! the names of the members that are alive, and received messages. Its outputs are messages to send,
//! allowances, totals and the health of services.
//!
//! - [`budget`]: a number of units for the whole fleet, divided into leases; the units in use never exceed
//!   this number.
//! - [`counters`]: totals over the fleet, kept in a CRDT; a total is exact once all servers' rows have been
//!   received.
//! - [`outlier_detection`]: detection of downstream services that several servers find slow or failing.
//! - [`permits`]: the units of a budget that calls of one server use.
//! - [`clock`]: bounds of the elapsed time, computed from two clocks of which one may be wrong.
//! - [`state`]: one server's part of the budgets, counters and outlier detection, and its messages.
//! - [`simulation`]: a fleet of servers in simulated time, for tests.
//!
//! `docs/shared-state.md` describes the alternatives considered and the guarantees under network partitions.
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
