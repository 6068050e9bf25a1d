//! What is kept. Each kind of thing has one owner and one place where it is given back.

pub mod buffers;
pub mod counters;
pub mod descriptors;
pub mod idempotency;
pub mod invocations;
