//! Calls to the service below: one task a call, and the connections they share.

pub mod pool;
pub mod task;
