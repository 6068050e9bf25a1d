//! Connections of balancers: accepting them, the table of those that are open, and the task of each.

pub mod accept;
mod request;
mod state;
pub mod table;
mod task;
