//! Replicated configuration of a fleet, as state machines without I/O. Callers pass in the time, a seed, the
//! names of the alive members and the received messages. The state machines return messages to send, state to
//! write to disk and revisions of the configuration to apply.
//!
//! - [`replica`]: the consensus protocol. Dedicated control machines keep an ordered log of changes; a change
//!   is committed once a majority of the control machines has stored it.
//! - [`member`]: the part that every server runs. A member holds the end of the committed log, spreads it by
//!   gossip, and reports the revisions that it has applied.
//! - [`committed_log`], [`state`], [`snapshot_transfer`]: the last entries of the log, the configuration that
//!   they result in, and the transfer of checkpoints to members that lag too far to receive the missing
//!   entries.
//!
//! `docs/replication.md` describes the protocol, the alternatives that were considered, and the guarantees
//! under each kind of fault.

#![deny(missing_docs, clippy::too_many_lines)]

pub mod change;
mod codec;
pub mod committed_log;
pub mod content_hash;
pub mod entry;
pub mod member;
pub mod message;
pub mod peers;
pub mod persistence;
pub mod progress;
pub mod replica;
mod requests;
pub mod revision;
pub mod simulation;
pub mod snapshot;
pub mod snapshot_transfer;
pub mod state;
pub mod time;

pub use time::Nanos;
