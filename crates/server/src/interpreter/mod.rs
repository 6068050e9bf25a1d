//! The connection to the interpreter, the process that runs the operations.

mod incarnation;
pub mod link;
mod reader;
