//! The simulator's wire: batches of event records come in, frames of action records go out.
//!
//! All integers are little-endian, all durations on the wire are microseconds. Each side's words are mapped
//! to terms here and nowhere else.

mod batch;
mod error;
mod event;
mod reply;

pub use batch::{Batch, Record};
pub use error::{EventError, FrameError};
pub use event::{Event, GaugeReadings, code};
pub use reply::Reply;

#[cfg(test)]
mod tests;
