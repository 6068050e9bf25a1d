//! Calls to downstream services: the task that makes one call, and the pool of idle connections that later
//! calls reuse.

pub mod pool;
pub mod task;
