//! Downstream calls: the task that makes one call, and the pool of connections that calls reuse.

pub mod pool;
pub mod task;
