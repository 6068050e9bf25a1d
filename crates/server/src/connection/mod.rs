//! Connections of balancers: the listener, the table of open connections, and the task of each connection.

pub mod accept;
mod request;
mod state;
pub mod table;
mod task;
