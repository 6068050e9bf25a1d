//! Configuration of a fleet without I/O: time, the seed, the living members and messages are arguments;
//! messages to send, state to write to disk and revisions to apply are results.
//!
//! - [`replica`]: machines set aside for control keep an ordered log of changes; a majority commits them.
//! - [`member`]: every server holds the end of the committed log, spreads it by gossip, and reports what it
//!   has applied.
//! - [`committed_log`], [`state`], [`snapshot_transfer`]: the log's last entries, its content, and
//!   checkpoints for members that lag far.
//!
//! `docs/replication.md` describes the protocol, the alternatives, and what is promised under which fault.

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
