//! Resources of the server. Each kind of resource has a single owner, which allocates and releases it.

pub mod buffers;
pub mod counters;
pub mod descriptors;
pub mod idempotency;
pub mod invocations;
