//! The connection to the interpreter, the process that runs the operations.

pub mod commands;
mod incarnation;
pub mod link;
mod reader;
