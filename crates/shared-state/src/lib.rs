//! State that the servers of a fleet share, without I/O: readings of the clocks, the seed, the living members
//! and messages go in; messages to send, allowances, totals and the health of services come out.
//!
//! - [`budget`]: a total of the fleet split into leases; the sum in use never passes it.
//! - [`counters`]: totals over the fleet as a CRDT; exact once all rows have been received.
//! - [`outlier_detection`]: which services below are slow or failing for several servers.
//! - [`permits`]: units of a budget that one server uses.
//! - [`clock`]: bounds of the time passed by two clocks, one of which may be wrong.
//! - [`state`]: one server's part in all of these.
//! - [`simulation`]: a fleet in simulated time, for tests.
//!
//! `docs/shared-state.md` names the alternatives considered and what is promised under partition.
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

/// Longest name of a server, key, service or budget, in bytes.
pub const NAME_MAX: usize = 64;
