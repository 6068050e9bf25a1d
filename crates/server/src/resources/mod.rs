//! Limited resources of the server: memory for buffers, file descriptors, idempotency keys and invocations.
//! Each kind of resource has one module, which allocates and releases the resource. Another module contains
//! the server's counters.

pub mod buffers;
pub mod counters;
pub mod descriptors;
pub mod idempotency;
pub mod invocations;
pub mod recent_runs;
