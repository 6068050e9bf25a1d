//! Configuration of a fleet without I/O: time, the seed, the living members and messages go in; messages to
//! send, what to write to disk and what to put in force come out.
//!
//! - [`replica`]: machines set aside for control keep an ordered log of revisions; a majority commits them.
//! - [`member`]: every server holds the committed log's end, spreads what is new by zone, asks its neighbours
//!   for what it lacks, and reports what it goes by.
//! - [`state`], [`log`], [`transfer`]: the content, its last entries, and checkpoints for who lags far.
//!
//! `docs/replication.md` names the ways weighed and what is promised under which fault.

pub mod committed_log;
mod gossip;
pub mod member;
pub mod message;
pub mod peers;
pub mod persistence;
pub mod progress;
pub mod replica;
mod requests;
pub mod revision;
pub mod simulation;
mod snapshot_fetch;
pub mod snapshot_transfer;
pub mod state;

/// Nanoseconds since the Unix epoch, by a clock that does not go back.
pub type Nanos = u64;
