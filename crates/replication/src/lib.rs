//! Configuration of a fleet without I/O: time, the seed, the living members and messages go in; messages to
//! send, what to write to disk and what to put in force come out.
//!
//! - [`replica`]: machines set aside for control keep an ordered log of revisions; a majority commits them.
//! - [`member`]: every server holds the committed log's end, spreads what is new by zone, asks its neighbours
//!   for what it lacks, and reports what it goes by.
//! - [`state`], [`history`], [`transfer`]: the content, its last entries, and checkpoints for who lags far.
//!
//! `docs/replication.md` names the ways weighed and what is promised under which fault.

mod checkpoints;
pub mod history;
pub mod member;
pub mod message;
mod operator;
pub mod peers;
pub mod replica;
pub mod revision;
pub mod sim;
mod spread;
pub mod state;
pub mod status;
pub mod store;
pub mod transfer;

/// Nanoseconds since the Unix epoch, by a clock that does not go back.
pub type Nanos = u64;
