//! Connections from balancers: the listener, the table of open connections, and the task that serves each
//! connection.

pub mod accept;
mod request;
mod state;
pub mod table;
mod task;
