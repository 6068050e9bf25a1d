//! Limited resources of the server: memory, file descriptors, idempotency keys and invocations. One module
//! owns each kind of resource, and allocates and releases it. Also the server's counters.

pub mod buffers;
pub mod counters;
pub mod descriptors;
pub mod idempotency;
pub mod invocations;
