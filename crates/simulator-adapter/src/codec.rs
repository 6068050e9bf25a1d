//! Codec of the protocol between the simulator and this adapter. The input consists of batches of event
//! records. The output consists of replies, which are frames of action records.
//!
//! All integers are little-endian, and all durations on the wire are in microseconds. Only this module
//! contains the numeric codes and field offsets of the protocol.

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
