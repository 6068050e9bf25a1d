//! Calls to the downstream service: the task that makes each call, and the pool of connections that calls
//! share.

pub mod pool;
pub mod task;
