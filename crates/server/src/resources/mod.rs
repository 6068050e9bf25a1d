//! What the server holds: each kind of resource has one owner and one place where it is given back.

pub mod buffers;
pub mod counters;
pub mod descriptors;
pub mod idempotency;
pub mod invocations;
